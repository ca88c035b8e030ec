"""Concurrent calls of several kinds, with actions such as faults among them."""

import random
from functools import partial

import orjson

from bench.cluster import wait_for
from crankchute.adapters.loop import Loop
from crankchute.client.caller import Caller, CallOptions
from crankchute.client.service_call import ServiceRequest
from crankchute.core.outcomes import Outcome
from crankchute.load.mix import make_prompt
from crankchute.standins.engine_model import expected_answer

_MODEL = 'small'
_MAX_TOKENS = 40
_TOLERANCE_MS = 500
_PROMPT_KINDS = (
    ('north-terminal', 'fares', 1_200),
    ('south-terminal', 'fares', 3_000),
    ('dispatch-north', 'manifests', 20_000),
)


class CallRecord:
    """A call of a workload and its result.

    Attributes:
      expected: The text of the correct answer, or None for a booking.
      deadline_ms: The deadline of the call, in milliseconds from its start.
      call_result: A CallResult, or None while the call is in progress.
    """

    __slots__ = ('call_result', 'deadline_ms', 'expected')

    def __init__(self, expected, deadline_ms):
        """Create the record of a call without a result.

        Args:
          expected: See the class.
          deadline_ms: See the class.
        """
        self.expected = expected
        self.deadline_ms = deadline_ms
        self.call_result = None

    @property
    def is_correct(self):
        """Whether the call has the complete and correct answer."""
        if not self.call_result.is_ok:
            return False
        return self.expected is None or self.call_result.text == self.expected

    @property
    def is_corrupt(self):
        """Whether the call succeeded with an incorrect answer."""
        return self.call_result.is_ok and not self.is_correct

    @property
    def is_late(self):
        """Whether the call ended after its deadline."""
        return self.call_result.total_ms > self.deadline_ms + _TOLERANCE_MS


class Workload:
    """Sends calls spread over a period, and runs actions at given times.

    Attributes:
      records: A list of CallRecords.
    """

    def __init__(self, cluster, seed=1):
        """Create a workload without calls.

        Args:
          cluster: A Cluster.
          seed: The seed of the arrival times and prompts.
        """
        self._cluster = cluster
        self._loop = Loop()
        self._callers = {}
        self._random = random.Random(seed)
        self.records = []

    def schedule(self, time_ms, action, *args):
        """Schedule an action.

        Args:
          time_ms: The delay from now in milliseconds.
          action: A function.
          args: The arguments of the function.
        """
        self._loop.timers.after(time_ms, partial(action, *args))

    def add_prompts(self, count, over_ms, deadline_ms=20_000):
        """Schedule short and medium prompts, spread over a period."""
        for number in range(count):
            account, workload, tokens = self._random.choice(_PROMPT_KINDS)
            seed = self._random.random()
            self._add_prompt(
                account,
                workload,
                make_prompt(tokens, f'{seed}-{number}'),
                self._random.uniform(0, over_ms),
                deadline_ms,
            )

    def add_long_prompt(self, tokens, at_ms, deadline_ms=55_000):
        """Schedule a prompt that exceeds the memory of one engine."""
        prompt = make_prompt(tokens, f'long-{self._random.random()}')
        self._add_prompt('audit-desk', 'complaints', prompt, at_ms, deadline_ms)

    def add_bookings(self, count, over_ms, deadline_ms=6_000):
        """Schedule bookings, spread over a period."""
        for seat in range(count):
            record = self._add_record(None, deadline_ms)
            body = orjson.dumps({'seat': seat})
            request = ServiceRequest('booking', 'POST', '/bookings', body)
            options = CallOptions('booking', deadline_ms)
            self.schedule(
                self._random.uniform(0, over_ms),
                self._get_caller('travel-web').call_service,
                request,
                options,
                partial(_store_result, record),
            )

    def run(self):
        """Run until every call has ended.

        Returns:
          The list of CallRecords.
        """
        self._loop.run_until(self._have_all_ended)
        return self.records

    def _have_all_ended(self):
        return all(record.call_result is not None for record in self.records)

    def _add_prompt(self, account, workload, prompt, at_ms, deadline_ms):
        expected = expected_answer(_MODEL, prompt.encode(), _MAX_TOKENS)
        record = self._add_record(expected, deadline_ms)
        options = CallOptions(
            workload,
            deadline_ms,
            model=_MODEL,
            max_tokens=_MAX_TOKENS,
        )
        self.schedule(
            at_ms,
            self._get_caller(account).complete,
            prompt,
            options,
            partial(_store_result, record),
        )

    def _add_record(self, expected, deadline_ms):
        record = CallRecord(expected, deadline_ms)
        self.records.append(record)
        return record

    def _get_caller(self, account):
        caller = self._callers.get(account)
        if caller is None:
            channel = f'storm-{len(self._callers)}'
            seeds = self._cluster.seeds
            caller = Caller(self._loop, seeds, account, channel)
            self._callers[account] = caller
        return caller


def count_runs(cluster, key):
    """Return how often a request key was executed, as the services count it.

    Args:
      cluster: A Cluster.
      key: The text of a request key.
    """
    return sum(
        service.fetch('GET', '/admin/counts')[1].get(key, 0)
        for service in cluster.services
    )


def wait_until_idle(cluster, timeout_s=30):
    """Wait until no running engine holds memory or work.

    Args:
      cluster: A Cluster.
      timeout_s: The timeout in seconds.
    Raises:
      TimeoutError: If an engine still holds memory or work.
    """
    running = [one for one in cluster.engines if one.exit_code is None]
    for engine in running:
        wait_for(partial(_is_idle, engine), timeout_s)


def find_violations(records, cluster):
    """Return descriptions of incorrect answers and wrong execution counts.

    Args:
      records: A list of CallRecords.
      cluster: A Cluster whose services have not restarted since the calls.
    """
    violations = []
    for record in records:
        if record.is_corrupt:
            violations.append('a successful call returned an incorrect answer')
        if record.call_result.key is not None:
            violations.extend(_check_executions(record.call_result, cluster))
    return violations


def find_overruns(records):
    """Return descriptions of calls that ended after their deadline.

    Args:
      records: A list of CallRecords.
    """
    return [
        f'a call ended after {round(record.call_result.total_ms)} ms'
        for record in records
        if record.is_late
    ]


def _check_executions(call_result, cluster):
    runs = count_runs(cluster, call_result.key)
    if runs > 1:
        yield f'{call_result.key} ran {runs} times'
    if runs and call_result.outcome == Outcome.NOT_RUN:
        yield f'{call_result.key} ran but was reported as not run'
    if call_result.is_ok and not runs:
        yield f'{call_result.key} was answered but did not run'


def _store_result(record, call_result):
    record.call_result = call_result


def _is_idle(engine):
    state = engine.fetch('GET', '/admin/state')[1]
    return not (state['pinned'] or state['holds'] or state['works'])
