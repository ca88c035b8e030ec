"""Runs a plan of requests against a running system, in real time."""

from functools import partial

from crankchute.adapters.loop import Loop
from crankchute.client.caller import Caller, CallOptions
from crankchute.core.job import length_band, length_bands
from crankchute.load.mix import make_prompt
from crankchute.load.report import LoadReport
from crankchute.standins.engine_model import expected_answer

_ALONE_TRIES = 3


class LoadRunner:
    """Sends the requests of a plan at their times, whatever comes back."""

    def __init__(self, seeds, model, *, checks_answers):
        """Create a runner.

        Args:
          seeds: Pairs of IP number and port of entry instances.
          model: The model's name.
          checks_answers: Whether answers are those of the engine stand-in.
        """
        self._loop = Loop()
        self._seeds = seeds
        self._model = model
        self._checks = checks_answers
        self._callers = {}
        self._open = 0

    def measure_alone(self, parts):
        """Send a few requests of each band, one at a time.

        Args:
          parts: A list of Part.
        Returns:
          A map from band to the median time to first token.
        """
        alone_ms = {}
        for part in parts:
            for tokens in (part.shortest, part.longest):
                band = length_band(tokens)
                if band not in alone_ms:
                    alone_ms[band] = self._measure_one(part, tokens)
        return {
            band: alone_ms[band]
            for band in length_bands()
            if alone_ms.get(band)
        }

    def run(self, arrivals, alone_ms):
        """Send all requests and wait for their ends.

        Args:
          arrivals: A list of Arrival.
          alone_ms: What measure_alone returned, or an empty map.
        Returns:
          A LoadReport.
        """
        report = LoadReport(alone_ms)
        self._open = len(arrivals)
        sendings = [
            _Sending(self, report, number, arrival)
            for number, arrival in enumerate(arrivals)
        ]
        for sending in sendings:
            self._loop.timers.after(sending.at_ms, sending.start)
        self._loop.run_until(lambda: not self._open)
        return report

    def send(self, part, prompt, on_end):
        """Send one request.

        Args:
          part: A Part.
          prompt: A string.
          on_end: A function of a CallResult.
        """
        options = CallOptions(
            part.workload,
            part.deadline_ms,
            model=self._model,
            max_tokens=part.max_tokens,
        )
        self._caller(part.account).complete(prompt, options, on_end)

    def expect(self, part, prompt):
        """Return the right answer, or None if answers are not checked."""
        if not self._checks:
            return None
        return expected_answer(self._model, prompt.encode(), part.max_tokens)

    def record_end(self):
        """Count a request as ended."""
        self._open -= 1

    def _measure_one(self, part, tokens):
        ends = []
        for number in range(_ALONE_TRIES):
            prompt = make_prompt(tokens, f'alone-{tokens}-{number}')
            self.send(part, prompt, ends.append)
            self._loop.run_until(partial(_has_length, ends, number + 1))
        times = sorted(end.first_token_ms for end in ends if end.is_ok)
        return times[len(times) // 2] if times else None

    def _caller(self, account):
        caller = self._callers.get(account)
        if caller is None:
            channel = f'caller-{len(self._callers)}'
            caller = Caller(self._loop, self._seeds, account, channel)
            self._callers[account] = caller
        return caller


def _has_length(ends, length):
    return len(ends) >= length


class _Sending:
    """One request of a run."""

    __slots__ = (
        '_arrival',
        '_prompt',
        '_report',
        '_runner',
        '_wanted',
        'at_ms',
    )

    def __init__(self, runner, report, number, arrival):
        self._runner = runner
        self._report = report
        self._arrival = arrival
        self._prompt = make_prompt(arrival.tokens, number)
        self._wanted = runner.expect(arrival.part, self._prompt)
        self.at_ms = arrival.at_ms

    def start(self):
        self._runner.send(self._arrival.part, self._prompt, self._on_end)

    def _on_end(self, end):
        self._runner.record_end()
        self._report.note(self._arrival.tokens, end, self._wanted)
