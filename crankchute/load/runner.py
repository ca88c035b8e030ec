"""Sends the requests of a load plan to a running system in real time."""

from functools import partial

from crankchute.adapters.loop import Loop
from crankchute.client.caller import Caller, CallOptions
from crankchute.core.job import length_band, length_bands
from crankchute.load.mix import make_prompt
from crankchute.load.report import LoadReport
from crankchute.standins.engine_model import expected_answer

_UNLOADED_SAMPLES = 3


class LoadRunner:
    """Sends the requests of a load plan at their times (open loop)."""

    def __init__(self, seeds, model, *, checks_answers):
        """Create a runner.

        Args:
          seeds: Addresses of entry instances, pairs of IP address and port.
          model: The name of the model.
          checks_answers: Whether to compare each answer with the one that the
            engine stand-in gives.
        """
        self._loop = Loop()
        self._seeds = seeds
        self._model = model
        self._checks_answers = checks_answers
        self._callers = {}
        self._pending = 0

    def measure_alone(self, profiles):
        """Measure the time to first token without concurrent requests.

        Args:
          profiles: A list of Part.
        Returns:
          A map from length band to the median in milliseconds.
        """
        unloaded_ms = {}
        for profile in profiles:
            for tokens in (profile.shortest_prompt, profile.longest_prompt):
                band = length_band(tokens)
                if band not in unloaded_ms:
                    unloaded_ms[band] = self._measure_first_token(
                        profile, tokens
                    )
        return {
            band: unloaded_ms[band]
            for band in length_bands()
            if unloaded_ms.get(band)
        }

    def run(self, arrivals, unloaded_ms):
        """Send all requests and wait until they have completed.

        Args:
          arrivals: A list of Arrival.
          unloaded_ms: The map from measure_alone, or an empty map.
        Returns:
          A LoadReport.
        """
        report = LoadReport(unloaded_ms)
        self._pending = len(arrivals)
        requests = [
            _ScheduledRequest(self, report, number, arrival)
            for number, arrival in enumerate(arrivals)
        ]
        for request in requests:
            self._loop.timers.after(request.at_ms, request.start)
        self._loop.run_until(lambda: not self._pending)
        return report

    def send(self, profile, prompt, on_result):
        """Send one request.

        Args:
          profile: A Part.
          prompt: A string.
          on_result: A function that is called with the CallResult.
        """
        options = CallOptions(
            profile.workload,
            profile.deadline_ms,
            model=self._model,
            max_tokens=profile.max_tokens,
        )
        self._find_caller(profile.account).complete(prompt, options, on_result)

    def find_expected_answer(self, profile, prompt):
        """Return the expected answer, or None if answers are not checked."""
        if not self._checks_answers:
            return None
        return expected_answer(self._model, prompt.encode(), profile.max_tokens)

    def count_completed(self):
        """Count a request as completed."""
        self._pending -= 1

    def _measure_first_token(self, profile, tokens):
        call_results = []
        for number in range(_UNLOADED_SAMPLES):
            prompt = make_prompt(tokens, f'alone-{tokens}-{number}')
            self.send(profile, prompt, call_results.append)
            self._loop.run_until(
                partial(_has_results, call_results, number + 1)
            )
        times = sorted(
            call_result.first_token_ms
            for call_result in call_results
            if call_result.is_ok
        )
        return times[len(times) // 2] if times else None

    def _find_caller(self, account):
        caller = self._callers.get(account)
        if caller is None:
            channel = f'caller-{len(self._callers)}'
            caller = Caller(self._loop, self._seeds, account, channel)
            self._callers[account] = caller
        return caller


def _has_results(call_results, count):
    return len(call_results) >= count


class _ScheduledRequest:
    """Sends one request of the plan and records its result."""

    __slots__ = (
        '_arrival',
        '_prompt',
        '_report',
        '_runner',
        '_expected',
        'at_ms',
    )

    def __init__(self, runner, report, number, arrival):
        self._runner = runner
        self._report = report
        self._arrival = arrival
        self._prompt = make_prompt(arrival.tokens, number)
        self._expected = runner.find_expected_answer(arrival.part, self._prompt)
        self.at_ms = arrival.at_ms

    def start(self):
        self._runner.send(self._arrival.part, self._prompt, self._on_result)

    def _on_result(self, call_result):
        self._runner.count_completed()
        self._report.record(self._arrival.tokens, call_result, self._expected)
