"""Tests of the share of engines reserved for long prompts."""

import pytest

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.length_demand import LengthDemand

SLOT_MS = 200
STEP_MS = 100


def record(demand, now_ms, *, long_count, short_count):
    """Record prompts; each long one is split into four parts."""
    for number in range(long_count):
        work = make_work_item(f'{number}', 'e', prefill_ms=400, weight=20)
        work.is_decoding = number % 4 == 0
        demand.record(work, now_ms)
    for number in range(short_count):
        demand.record(make_work_item(f's{number}', 'e', prefill_ms=25), now_ms)


def record_steadily(demand, start_ms, seconds, **rates):
    """Record the same demand in every step; return the end time."""
    end_ms = start_ms + seconds * 1000
    for now_ms in range(start_ms, end_ms, STEP_MS):
        record(demand, now_ms, **rates)
    return end_ms


def long_share(demand, now_ms):
    return round(demand.estimate_long_share(now_ms, SLOT_MS), 2)


def test_default_share_without_demand():
    assert long_share(LengthDemand(), 0) == pytest.approx(0.5)


@pytest.mark.parametrize(
    ('long_count', 'short_count', 'lowest', 'highest'),
    [
        (0, 20, 0.1, 0.11),
        (20, 0, 0.89, 0.9),
        (4, 14, 0.45, 0.55),
        (4, 4, 0.7, 0.85),
        (1, 14, 0.15, 0.25),
    ],
)
def test_share_follows_demand(long_count, short_count, lowest, highest):
    demand = LengthDemand()
    end_ms = record_steadily(
        demand, 0, 10, long_count=long_count, short_count=short_count
    )
    assert lowest <= long_share(demand, end_ms) <= highest


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (
            {'long_count': 0, 'short_count': 35},
            {'long_count': 12, 'short_count': 4},
        ),
        (
            {'long_count': 12, 'short_count': 4},
            {'long_count': 0, 'short_count': 35},
        ),
    ],
)
def test_share_follows_a_change_of_the_mix(before, after):
    """A quarter of the change within a second, nearly all within eleven."""
    demand = LengthDemand()
    change_ms = record_steadily(demand, 0, 10, **before)
    first = long_share(demand, change_ms)
    later_ms = record_steadily(demand, change_ms, 1, **after)
    early = long_share(demand, later_ms)
    last = long_share(demand, record_steadily(demand, later_ms, 10, **after))
    percent = round(100 * abs(early - first) / abs(last - first))
    assert percent >= 25
    assert sorted((first, last)) == pytest.approx([0.1, 0.9], abs=0.05)


def test_old_demand_decays():
    demand = LengthDemand()
    end_ms = record_steadily(demand, 0, 10, long_count=20, short_count=0)
    assert long_share(demand, end_ms + 60_000) == pytest.approx(0.5)
