"""Tests of load balancing over the servers of plain services."""

import random
from collections import Counter

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.outcomes import Outcome


def make_chooser(backends, connected):
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    parts.is_connected = lambda backend: backend.identity in connected
    return LeastBusyChooser(parts)


@pytest.mark.parametrize(
    ('in_flight', 'connected', 'chosen'),
    [
        ((0, 0, 0), {'server-01'}, {'server-01'}),
        # A new connection costs less than one more request.
        ((0, 1, 0), {'server-01'}, {'server-00', 'server-02'}),
        ((1, 1, 1), {'server-02'}, {'server-02'}),
        ((0, 0, 0), (), {'server-00', 'server-01', 'server-02'}),
    ],
)
def test_idle_connections_are_reused(in_flight, connected, chosen):
    backends = make_backends(3)
    for backend, count in zip(backends, in_flight, strict=True):
        backend.in_flight = count
    chooser = make_chooser(backends, connected)
    counts = Counter(
        chooser.choose(make_job(), set()).backend.identity for _ in range(60)
    )
    assert set(counts) == chosen


@pytest.mark.parametrize(
    ('until_ms', 'avoided', 'chosen'),
    [
        ((0, 0, 0), (), {'server-00', 'server-01', 'server-02'}),
        ((900, 0, 0), (), {'server-01', 'server-02'}),
        ((900, 500, 501), (), {'server-01'}),
        ((900, 0, 900), {'server-01'}, None),
        ((900, 700, 800), (), None),
    ],
)
def test_pausing_servers_are_excluded(until_ms, avoided, chosen):
    """Even if all others have open breakers, and only until the pause ends."""
    backends = make_backends(3)
    chooser = make_chooser(backends, ())
    chooser._parts.timers.advance(500)
    for backend, end_ms in zip(backends, until_ms, strict=True):
        backend.paused_until_ms = end_ms
        if end_ms <= 500:
            backend.breaker.trip(500)
    choices = [chooser.choose(make_job(), avoided) for _ in range(60)]
    if chosen is None:
        assert {choice.outcome for choice in choices} == {Outcome.NOT_RUN}
    else:
        assert {choice.backend.identity for choice in choices} == chosen


def test_retry_hint_is_the_earliest_end_of_a_pause():
    """Retries start no earlier than that, and are spread out."""
    backends = make_backends(3)
    chooser = make_chooser(backends, ())
    for backend, end_ms in zip(backends, (9000, 2000, 5000), strict=True):
        backend.paused_until_ms = end_ms
    refusal = chooser.choose(make_job(), set())
    assert refusal.code == 'servers_rest'
    assert 2000 <= refusal.retry_after_ms <= 2500
    backends[2].paused_until_ms = 0
    refusal = chooser.choose(make_job(), {'server-02'})
    # A server excluded after a failure may accept requests sooner.
    assert (refusal.code, refusal.retry_after_ms) == ('no_backend', None)
