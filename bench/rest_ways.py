"""Compares strategies for backend servers that ask clients to back off.

A few instances send requests to a pool of servers in virtual time.  At times
some or all servers reject a fraction of the requests and ask the sending
instance to back off for some time.  Refused callers retry once, after the delay
that they were given.  Runs are deterministic.  Run it with
`python -m bench.rest_ways`.
"""

import argparse
import random
from functools import partial

from bench.model_desk import EndSink, SentCall, make_plain_desk
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.registry import Registry
from crankchute.core.retry_hints import RetryHints
from crankchute.ports.forwarding import AnswerHead, ForwardPort, Rejection

#: Backoff strategies by name: functions of the simulated world, the number of
#: the instance, the index of the server, and the backoff in milliseconds.
strategies = Registry()
#: The strategy that crankchute uses.
BY_REST = 'rest'

_INSTANCE_COUNT = 3
_SERVER_COUNT = 18
_SLOTS = 8
_DURATION_MS = 60_000
_ARRIVAL_INTERVAL_MS = 25
_PROCESSING_MS = (100, 1500)
#: The delay of a rejection.
_NETWORK_MS = 2
#: Requests count as unwanted from this time after the backoff began.
_GRACE_MS = 500
_MAX_ATTEMPTS = 2
_DEADLINE_MS = 10_000
#: Long enough that no server counts as unresponsive.
_LATENCY_TARGET_MS = 2000
#: Callers wait at most this fraction of their remaining time.
_MAX_WAIT_FRACTION = 1 / 3


class OverloadPeriod:
    """A period in which servers reject requests.

    Attributes:
      begin_ms: The start of the period.
      end_ms: The end of the period.
      server_count: How many servers are affected, from the first on.
      reject_ratio: The fraction of requests that they reject.
      backoff_ms: The backoff that they ask for.
    """

    __slots__ = (
        'backoff_ms',
        'begin_ms',
        'end_ms',
        'reject_ratio',
        'server_count',
    )

    def __init__(
        self, begin_ms, end_ms, server_count, *, reject_ratio, backoff_ms
    ):
        """Create the period."""
        self.begin_ms = begin_ms
        self.end_ms = end_ms
        self.server_count = server_count
        self.reject_ratio = reject_ratio
        self.backoff_ms = backoff_ms


_OVERLOAD_PERIODS = (
    OverloadPeriod(5000, 11_000, 2, reject_ratio=0.9, backoff_ms=3000),
    OverloadPeriod(
        20_000, 22_000, _SERVER_COUNT, reject_ratio=1, backoff_ms=1000
    ),
    OverloadPeriod(30_000, 40_000, 6, reject_ratio=0.5, backoff_ms=2000),
)


@strategies.register('ignored')
def ignore_backoff(_world, _instance, _server_index, _backoff_ms):
    """Ignore the backoff; the baseline."""


@strategies.register(BY_REST)
def back_off(world, instance, server_index, backoff_ms):
    """Stop sending from the instance whose request the server rejected."""
    backend = world.fleets[instance][server_index]
    backend.pause_until(world.timers.clock.now_ms() + backoff_ms)


@strategies.register('rest and suspicion')
def back_off_and_record_failure(world, instance, server_index, backoff_ms):
    """Back off, and record a failure of the server."""
    back_off(world, instance, server_index, backoff_ms)
    backend = world.fleets[instance][server_index]
    backend.failure_estimator.record_failure(world.timers.clock.now_ms())


@strategies.register('rest, all suspect')
def back_off_and_record_everywhere(world, instance, server_index, backoff_ms):
    """Back off, and record a failure of the server at every instance."""
    back_off(world, instance, server_index, backoff_ms)
    for fleet in world.fleets:
        fleet[server_index].failure_estimator.record_failure(
            world.timers.clock.now_ms()
        )


@strategies.register('rest at all instances')
def back_off_everywhere(world, _instance, server_index, backoff_ms):
    """Send nothing to the server from any instance."""
    for instance in range(_INSTANCE_COUNT):
        back_off(world, instance, server_index, backoff_ms)


class ServerPort(ForwardPort):
    """Sends the requests of one instance to the simulated servers."""

    def __init__(self, world, instance):
        """Create the port of the instance with the given number."""
        self._world = world
        self._instance = instance
        self._backoffs = {}

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        world = self._world
        server_index = world.fleets[self._instance].index(placement.backend)
        self._record_arrival(server_index)
        period = world.find_period(server_index)
        call = SentCall()
        if period is not None and world.random.random() < period.reject_ratio:
            world.timers.after(
                _NETWORK_MS,
                partial(self._reject, server_index, period, listener),
            )
        elif world.running[server_index] >= _SLOTS:
            reject = partial(listener.on_not_run, Rejection('full'))
            world.timers.after(_NETWORK_MS, reject)
        else:
            world.running[server_index] += 1
            processing_ms = world.random.uniform(*_PROCESSING_MS)
            world.timers.after(
                processing_ms,
                partial(_finish_request, world, server_index, listener),
            )
        return call

    def _record_arrival(self, server_index):
        now_ms = self._world.timers.clock.now_ms()
        begin_ms, end_ms, count = self._backoffs.get(server_index, (0, 0, 0))
        if begin_ms < now_ms < end_ms:
            self._backoffs[server_index] = (begin_ms, end_ms, count + 1)
            self._world.unwanted += 1
            self._world.max_unwanted = max(self._world.max_unwanted, count + 1)

    def _reject(self, server_index, period, listener):
        now_ms = self._world.timers.clock.now_ms()
        if now_ms >= self._backoffs.get(server_index, (0, 0, 0))[1]:
            until_ms = now_ms + period.backoff_ms
            self._backoffs[server_index] = (now_ms + _GRACE_MS, until_ms, 0)
        self._world.apply_backoff(
            self._instance, server_index, period.backoff_ms
        )
        listener.on_not_run(Rejection('full'))


class World:
    """Simulated instances, servers and callers.

    Attributes:
      fleets: A list of Backends for each instance.
      running: The number of requests in progress at each server.
      unwanted: How many requests reached a server during a backoff.
      max_unwanted: The most of them in one backoff.
      refused: How many requests were refused.
      with_room: How many of those while a server was available.
      answered: How many callers received an answer.
      at_once: How many of those at their first attempt.
      asked: The number of callers.
    """

    def __init__(self, strategy, seed):
        """Create the simulation.

        Args:
          strategy: The name of a strategy.
          seed: An int.
        """
        self.timers = ManualTimers()
        self.random = random.Random(seed)
        self.fleets = [
            make_backends(_SERVER_COUNT) for _ in range(_INSTANCE_COUNT)
        ]
        self.running = [0 for _ in range(_SERVER_COUNT)]
        self.unwanted = 0
        self.max_unwanted = 0
        self.refused = 0
        self.with_room = 0
        self.answered = 0
        self.at_once = 0
        self.asked = 0
        self._apply_strategy = strategies[strategy]
        self._desks = [self._make_desk(one) for one in range(_INSTANCE_COUNT)]

    def play(self):
        """Simulate the arrivals of callers until all have an outcome."""
        for _ in range(_DURATION_MS // _ARRIVAL_INTERVAL_MS):
            at_ms = self.random.uniform(0, _DURATION_MS)
            deadline_ms = at_ms + _DEADLINE_MS
            self.asked += 1
            self.timers.after(
                at_ms, partial(self._submit, deadline_ms, _MAX_ATTEMPTS)
            )
        self.timers.advance(_DURATION_MS * 2)

    def find_period(self, server_index):
        """Return the period that affects a server now, or None."""
        now_ms = self.timers.clock.now_ms()
        for period in _OVERLOAD_PERIODS:
            is_active = period.begin_ms <= now_ms < period.end_ms
            if is_active and server_index < period.server_count:
                return period
        return None

    def apply_backoff(self, instance, server_index, backoff_ms):
        """Apply the strategy to a backoff that a server asked for."""
        self._apply_strategy(self, instance, server_index, backoff_ms)

    def _submit(self, deadline_ms, attempts_left):
        job = make_job(
            arrived_ms=self.timers.clock.now_ms(),
            deadline_ms=deadline_ms,
            goal_ms=_LATENCY_TARGET_MS,
            repeat=RetryMode.AGAIN,
            size=None,
        )
        sink = EndSink(partial(self._on_end, deadline_ms, attempts_left))
        self.random.choice(self._desks).submit(job, sink)

    def _on_end(self, deadline_ms, attempts_left, refusal):
        if refusal is None:
            self.answered += 1
            self.at_once += attempts_left == _MAX_ATTEMPTS
            return
        self.refused += 1
        self.with_room += self._has_available_server()
        left_ms = deadline_ms - self.timers.clock.now_ms()
        if attempts_left > 1 and refusal.outcome == Outcome.NOT_RUN:
            wait_ms = min(refusal.retry_after_ms, left_ms * _MAX_WAIT_FRACTION)
            retry = partial(self._submit, deadline_ms, attempts_left - 1)
            self.timers.after(wait_ms, retry)

    def _has_available_server(self):
        return any(
            running < _SLOTS and self.find_period(server_index) is None
            for server_index, running in enumerate(self.running)
        )

    def _make_desk(self, instance):
        parts = make_chooser_parts(
            self.timers, lambda: list(self.fleets[instance])
        )
        parts.random = self.random
        parts.hints = RetryHints(self.random)
        return make_plain_desk(ServerPort(self, instance), parts, parts.hints)


def _finish_request(world, server_index, listener):
    world.running[server_index] -= 1
    listener.on_head(AnswerHead(200))
    listener.on_end()


def main():
    """Print a row for each strategy, with means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    seeds = parser.parse_args().seeds
    print(
        'way                     unwanted   refused with room   at once', end=''
    )
    print('  answered worst')
    for strategy in sorted(strategies):
        worlds = [World(strategy, seed) for seed in range(seeds)]
        for world in worlds:
            world.play()
        print(f'{strategy:22}', _format_means(worlds))


def _format_means(worlds):
    """Format the means over simulations of one strategy as a line."""
    means = [
        sum(getattr(one, name) for one in worlds) / len(worlds)
        for name in ('unwanted', 'refused', 'with_room', 'at_once', 'answered')
    ]
    max_unwanted = max(one.max_unwanted for one in worlds)
    return ' '.join(f'{mean:9.1f}' for mean in (*means, max_unwanted))


if __name__ == '__main__':
    main()
