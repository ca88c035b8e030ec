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


def record_by_priority(demand, now_ms, counts, refused=0):
    """Record prompts sent for each priority, and short ones refused at 0.

    Args:
      counts: A map from priority to the numbers of long and short prompts.
    """
    for priority, (long_count, short_count) in counts.items():
        for number in range(long_count):
            work = make_work_item(
                f'l{now_ms}-{priority}-{number}',
                'e',
                prefill_ms=1000,
                weight=20,
                priority=priority,
            )
            demand.record(work, now_ms)
        for number in range(short_count):
            work = make_work_item(
                f's{now_ms}-{priority}-{number}',
                'e',
                prefill_ms=50,
                priority=priority,
            )
            demand.record(work, now_ms)
    for _ in range(refused):
        work = make_work_item('', 'e', prefill_ms=50, priority=0)
        demand.record_refused(work, 3, now_ms)


@pytest.mark.parametrize(
    ('counts', 'refused', 'engines'),
    [
        # Four short prompts in 100 ms, of 250 ms each, fill ten engines.
        ({0: (0, 4), 2: (1, 0)}, 0, 10),
        # Without long prompts nothing has to be divided.
        ({0: (0, 4)}, 0, 0),
        # Equal or less urgent short prompts do not limit long ones.
        ({1: (1, 4)}, 0, 0),
        ({1: (1, 0), 2: (0, 4)}, 0, 0),
        # Half of the long work is less urgent.
        ({0: (1, 4), 2: (1, 0)}, 0, 5),
        # Refused prompts count for each of three instances.
        ({0: (0, 1), 2: (1, 0)}, 1, 10),
    ],
)
def test_urgent_demand_counts_engines(counts, refused, engines):
    """Refusals must not hide the demand that causes them."""
    demand = LengthDemand()
    for now_ms in range(0, 10_000, STEP_MS):
        record_by_priority(demand, now_ms, counts, refused)
    measured = demand.estimate_urgent_engines(10_000, SLOT_MS)
    assert measured == pytest.approx(engines, rel=0.05)


def test_urgent_demand_follows_a_burst_within_a_second():
    """A division that follows late loses the first seconds of a burst."""
    demand = LengthDemand()
    for now_ms in range(0, 5000, STEP_MS):
        record_by_priority(demand, now_ms, {0: (0, 1), 2: (1, 0)})
    for now_ms in range(5000, 6000, STEP_MS):
        record_by_priority(demand, now_ms, {0: (0, 8), 2: (1, 0)})
    assert demand.estimate_urgent_engines(6000, SLOT_MS) > 10


@pytest.mark.parametrize(('priority', 'expected'), [(0, False), (2, True)])
def test_only_less_urgent_prompts_are_deferrable(priority, expected):
    demand = LengthDemand()
    record_by_priority(demand, 0, {0: (0, 4), 2: (1, 0)})
    assert demand.is_deferrable(priority, 100) == expected
