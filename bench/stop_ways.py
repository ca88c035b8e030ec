"""Compares ways to admit requests while an instance shuts down.

A whole instance serves requests of many durations at a constant rate while it
is stopped, from callers that keep using their connections.  The clock is
simulated.  Run it with `python -m bench.stop_ways`.
"""

import random
from collections import Counter

from crankchute.core import shutdown_admission
from crankchute.platform.standin_paced import Ending
from crankchute.platform.standin_stop import GRACE_MS, StoppingInstance

_INTERVAL_MS = 40
_BEFORE_MS = 2000
_CACHED_MS = 3000
_SEEDS = 3
_KINDS = ('once', 'again', 'stream')
#: The mean duration of a kind of request, and the spread of its logarithm.
_DURATIONS = (
    ('short plain requests, streams of seconds', (30, 0.5), (2500, 0.5)),
    ('all take seconds', (2500, 0.5), (2500, 0.5)),
)


class Everything(shutdown_admission.ShutdownAdmission):
    """Accepts every request until the end."""

    def _estimate_ms(self, job, now_ms):
        return 0


class ByTime(shutdown_admission.ShutdownAdmission):
    """Accepts requests while callers may keep old addresses."""

    def _estimate_ms(self, job, now_ms):
        is_early = job.arrived_ms <= self.schedule.known_ms
        return 0 if is_early else float('inf')


class ByDeadline(shutdown_admission.ShutdownAdmission):
    """Accepts requests whose deadline comes before the end."""

    def _estimate_ms(self, job, now_ms):
        return job.remaining_ms(now_ms)


WAYS = (
    ('everything', Everything),
    ('by time', ByTime),
    ('by deadline', ByDeadline),
    ('by recent durations', shutdown_admission.ShutdownAdmission),
)


def run_way(way, durations, seed):
    """Stop an instance under load.

    Args:
      way: A class of ShutdownAdmission.
      durations: Mean and spread of plain requests and of streams.
      seed: An int.
    Returns:
      A Counter of pairs: whether the request was sent before callers know of
      the shutdown, and its Ending.
    """
    draw = random.Random(seed)
    instance = StoppingInstance()
    desk = instance.node.desk
    desk.shutdown = way(desk, desk._hints)  # noqa: SLF001, WPS437
    count = GRACE_MS // _INTERVAL_MS
    connections = [instance.connect() for _ in range(count)]
    for number in range(_BEFORE_MS // _INTERVAL_MS):
        _send(instance, draw, durations, number, None)
    instance.stop()
    for number, connection in enumerate(connections):
        if instance.ended_ms is None:
            _send(instance, draw, durations, number, connection)
    instance.run_for(GRACE_MS)
    return Counter(
        (caller.sent_ms <= _CACHED_MS, caller.ending)
        for caller in instance.requests
        if caller.sent_ms >= 0
    )


def _send(instance, draw, durations, number, connection):
    kind = _KINDS[number % len(_KINDS)]
    mean_ms, spread = durations[kind == 'stream']
    takes_ms = int(mean_ms * draw.lognormvariate(0, spread))
    instance.send(f'/{kind}/?ms={takes_ms}', sock=connection)
    instance.run_for(_INTERVAL_MS)


def main():
    """Print a table for each mix of durations."""
    for title, *durations in _DURATIONS:
        print(title)
        for name, way in WAYS:
            counts = [run_way(way, durations, seed) for seed in range(_SEEDS)]
            _print_rows(name, counts)


def _print_rows(name, counts):
    for is_early in (True, False):
        cells = [
            f'{ending.value} {sum(one[is_early, ending] for one in counts)}'
            for ending in Ending
        ]
        stage = 'first 3 s' if is_early else 'later'
        print(f'  {name:20} {stage:10} {", ".join(cells)}')


if __name__ == '__main__':
    main()
