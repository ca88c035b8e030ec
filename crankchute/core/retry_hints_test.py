"""Tests of the retry delays suggested to refused callers."""

import random

import pytest

from crankchute.core.retry_hints import RetryHints


@pytest.mark.parametrize(
    ('remaining_ms', 'recovery_ms', 'expected_ms'),
    [
        (10_000, None, 2000),
        (1000, None, 200),
        (10_000, 300, 300),
        # Limited by the remaining time and by the minimum delay.
        (10_000, 60_000, 3000),
        (10, None, 100),
        (10_000, 0, 100),
    ],
)
def test_delay_fits_recovery_and_remaining_time(
    remaining_ms,
    recovery_ms,
    expected_ms,
):
    hints = RetryHints(random.Random(1))
    delays_ms = [hints.choose_ms(remaining_ms, recovery_ms) for _ in range(200)]
    assert min(delays_ms) >= expected_ms * 0.75
    assert max(delays_ms) <= expected_ms * 1.25


def test_delays_of_simultaneous_refusals_differ():
    hints = RetryHints(random.Random(1))
    delays_ms = {round(hints.choose_ms(10_000)) for _ in range(50)}
    assert len(delays_ms) > 40
