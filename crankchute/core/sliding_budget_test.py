"""Tests of the sliding retry budget of one and of several instances."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankchute.core.sliding_budget import RetryLimits, SlidingRetryBudget

WINDOW_MS = 1000


@pytest.mark.parametrize(
    ('requests', 'slack', 'allowed'),
    [(0, 0, 0), (100, 0, 16), (0, 100, 64), (100, 100, 80)],
)
def test_retries_in_one_window(requests, slack, allowed):
    budget = make_budget(0.2, slack)
    for _ in range(requests):
        budget.record_request(0)
    taken = sum(budget.take(500) for _ in range(200))
    assert taken == allowed


def test_budget_is_restored_after_the_window():
    budget = make_budget(0, 2)
    assert budget.take(0)
    assert not budget.take(WINDOW_MS)
    assert budget.take(WINDOW_MS + 1)


def test_fewer_known_instances_do_not_enlarge_the_share():
    budget = make_budget(0, 100)
    budget.record_instances(10)
    budget.record_instances(2)
    assert sum(budget.take(0) for _ in range(100)) == 6


@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.integers(0, 11), st.booleans(), st.integers(0, 90)),
        max_size=120,
    ),
)
def test_all_instances_together_stay_within_the_limit(instances, steps):
    """No window has more retries than the limit, for any interleaving."""
    ratio, slack = 0.2, 20
    budgets = [make_budget(ratio, slack, instances) for _ in range(instances)]
    now_ms = 0
    requests, retries = [], []
    for index, is_request, pause_ms in steps:
        now_ms += pause_ms
        budget = budgets[index % instances]
        if is_request:
            budget.record_request(now_ms)
            requests.append(now_ms)
        elif budget.take(now_ms):
            retries.append(now_ms)
            allowed = ratio * _count_in_window(requests, now_ms) + slack
            assert _count_in_window(retries, now_ms) <= allowed


def make_budget(ratio, slack, instances=1):
    limits = RetryLimits(ratio=ratio, slack=slack, window_ms=WINDOW_MS)
    budget = SlidingRetryBudget(limits)
    budget.record_instances(instances)
    return budget


def _count_in_window(times_ms, now_ms):
    return sum(time_ms >= now_ms - WINDOW_MS for time_ms in times_ms)
