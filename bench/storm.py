"""Calls of many kinds at once, with faults that are timed among them."""

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
_SLACK_MS = 500
_PROMPT_KINDS = (
    ('north-terminal', 'fares', 1_200),
    ('south-terminal', 'fares', 3_000),
    ('dispatch-north', 'manifests', 20_000),
)


class Asked:
    """One call of a storm and its end.

    Attributes:
      wanted: The whole answer that is right, or None for a booking.
      deadline_ms: The call's time.
      end: A CallResult, or None before the end.
    """

    __slots__ = ('deadline_ms', 'end', 'wanted')

    def __init__(self, wanted, deadline_ms):
        """Create the record of a call that is under way.

        Args:
          wanted: The right answer, or None.
          deadline_ms: The call's time.
        """
        self.wanted = wanted
        self.deadline_ms = deadline_ms
        self.end = None

    @property
    def is_whole(self):
        """Whether the answer is there, whole and its own."""
        if not self.end.is_ok:
            return False
        return self.wanted is None or self.end.text == self.wanted

    @property
    def is_wrong(self):
        """Whether an answer looks whole and is not the right one."""
        return self.end.is_ok and not self.is_whole

    @property
    def is_late(self):
        """Whether the end came after the call's time."""
        return self.end.total_ms > self.deadline_ms + _SLACK_MS


class Storm:
    """Sends calls over a time and runs actions among them.

    Attributes:
      asked: The Asked records, a list.
    """

    def __init__(self, cluster, seed=1):
        """Create a storm without calls.

        Args:
          cluster: A Cluster.
          seed: An int, for the times of the calls.
        """
        self._cluster = cluster
        self._loop = Loop()
        self._callers = {}
        self._random = random.Random(seed)
        self.asked = []

    def at(self, time_ms, action, *args):
        """Run an action at a time from now.

        Args:
          time_ms: Milliseconds.
          action: A function.
          args: Its arguments.
        """
        self._loop.timers.after(time_ms, partial(action, *args))

    def add_prompts(self, count, over_ms, deadline_ms=20_000):
        """Send short and middling prompts, spread over a time."""
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
        """Send one prompt beyond an engine's memory."""
        prompt = make_prompt(tokens, f'long-{self._random.random()}')
        self._add_prompt('audit-desk', 'complaints', prompt, at_ms, deadline_ms)

    def add_bookings(self, count, over_ms, deadline_ms=6_000):
        """Send bookings, spread over a time."""
        for seat in range(count):
            record = self._add_record(None, deadline_ms)
            body = orjson.dumps({'seat': seat})
            request = ServiceRequest('booking', 'POST', '/bookings', body)
            options = CallOptions('booking', deadline_ms)
            self.at(
                self._random.uniform(0, over_ms),
                self._caller('travel-web').call_service,
                request,
                options,
                partial(_record_end, record),
            )

    def run(self):
        """Run until every call has ended.

        Returns:
          The Asked records.
        """
        self._loop.run_until(self._is_over)
        return self.asked

    def _is_over(self):
        return all(record.end is not None for record in self.asked)

    def _add_prompt(self, account, workload, prompt, at_ms, deadline_ms):
        wanted = expected_answer(_MODEL, prompt.encode(), _MAX_TOKENS)
        record = self._add_record(wanted, deadline_ms)
        options = CallOptions(
            workload,
            deadline_ms,
            model=_MODEL,
            max_tokens=_MAX_TOKENS,
        )
        self.at(
            at_ms,
            self._caller(account).complete,
            prompt,
            options,
            partial(_record_end, record),
        )

    def _add_record(self, wanted, deadline_ms):
        record = Asked(wanted, deadline_ms)
        self.asked.append(record)
        return record

    def _caller(self, account):
        caller = self._callers.get(account)
        if caller is None:
            channel = f'storm-{len(self._callers)}'
            seeds = self._cluster.seeds
            caller = Caller(self._loop, seeds, account, channel)
            self._callers[account] = caller
        return caller


def count_runs(cluster, key):
    """Return how often a key was executed, by the services' own counts.

    Args:
      cluster: A Cluster.
      key: The text of a request key.
    """
    return sum(
        service.fetch('GET', '/admin/counts')[1].get(key, 0)
        for service in cluster.services
    )


def wait_memory_free(cluster, timeout_s=30):
    """Wait until no engine holds memory or work for anybody.

    Args:
      cluster: A Cluster.
      timeout_s: Seconds after which to give up.
    Raises:
      TimeoutError: If an engine keeps something.
    """
    alive = [one for one in cluster.engines if one.exit_code is None]
    for engine in alive:
        wait_for(partial(_is_free, engine), timeout_s)


def find_broken(asked, cluster):
    """Return what a storm's ends say against the promises, as sentences.

    Args:
      asked: Asked records.
      cluster: A Cluster whose services were not ended meanwhile.
    """
    broken = []
    for record in asked:
        if record.is_wrong:
            broken.append('an answer that looks whole is not the right one')
        if record.end.key is not None:
            broken.extend(_check_runs(record.end, cluster))
    return broken


def find_late(asked):
    """Return which ends came after the time of their calls, as sentences.

    Args:
      asked: Asked records.
    """
    return [
        f'an end came after {round(record.end.total_ms)} ms'
        for record in asked
        if record.is_late
    ]


def _check_runs(end, cluster):
    runs = count_runs(cluster, end.key)
    if runs > 1:
        yield f'{end.key} ran {runs} times'
    if runs and end.outcome == Outcome.NOT_RUN:
        yield f'{end.key} ran and was said not to have run'
    if end.is_ok and not runs:
        yield f'{end.key} was answered and did not run'


def _record_end(record, end):
    record.end = end


def _is_free(engine):
    state = engine.fetch('GET', '/admin/state')[1]
    return not (state['pinned'] or state['holds'] or state['works'])
