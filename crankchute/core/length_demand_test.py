"""Tests of the division of engines by what is asked for."""

import pytest

from crankchute.core.engine_fakes import make_work
from crankchute.core.length_demand import LengthDemand

SLOT_MS = 200
STEP_MS = 100


def send(demand, now_ms, *, longs, shorts):
    """Note work at some moment; a long prompt is read in four parts."""
    for number in range(longs):
        work = make_work(f'{number}', 'e', read_ms=400, weight=20)
        work.is_writer = number % 4 == 0
        demand.note(work, now_ms)
    for number in range(shorts):
        demand.note(make_work(f's{number}', 'e', read_ms=25), now_ms)


def run(demand, start_ms, seconds, **rates):
    """Send the same in every step for some seconds; return the end."""
    end_ms = start_ms + seconds * 1000
    for now_ms in range(start_ms, end_ms, STEP_MS):
        send(demand, now_ms, **rates)
    return end_ms


def share_of(demand, now_ms):
    return round(demand.estimate_long_share(now_ms, SLOT_MS), 2)


def test_half_until_anything_is_seen():
    assert share_of(LengthDemand(), 0) == pytest.approx(0.5)


@pytest.mark.parametrize(
    ('longs', 'shorts', 'least', 'most'),
    [
        (0, 20, 0.1, 0.11),
        (20, 0, 0.89, 0.9),
        (4, 14, 0.45, 0.55),
        (4, 4, 0.7, 0.85),
        (1, 14, 0.15, 0.25),
    ],
)
def test_share_follows_what_is_asked_for(longs, shorts, least, most):
    demand = LengthDemand()
    end_ms = run(demand, 0, 10, longs=longs, shorts=shorts)
    assert least <= share_of(demand, end_ms) <= most


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ({'longs': 0, 'shorts': 35}, {'longs': 12, 'shorts': 4}),
        ({'longs': 12, 'shorts': 4}, {'longs': 0, 'shorts': 35}),
    ],
)
def test_swing_is_followed_both_ways(before, after):
    """A quarter of the way within a second, and most within ten."""
    demand = LengthDemand()
    turn_ms = run(demand, 0, 10, **before)
    first = share_of(demand, turn_ms)
    later_ms = run(demand, turn_ms, 1, **after)
    soon = share_of(demand, later_ms)
    last = share_of(demand, run(demand, later_ms, 10, **after))
    moved = round(100 * abs(soon - first) / abs(last - first))
    assert moved >= 25
    assert sorted((first, last)) == pytest.approx([0.1, 0.9], abs=0.05)


def test_what_was_seen_long_ago_counts_little():
    demand = LengthDemand()
    end_ms = run(demand, 0, 10, longs=20, shorts=0)
    assert share_of(demand, end_ms + 60_000) == pytest.approx(0.5)
