"""Tests of the age at which the platform is asked for confirmation."""

import pytest

from crankchute.core.freshness_proof import choose_max_age_ms


@pytest.mark.parametrize(
    ('in_force_ms', 'stale_ms'),
    [(1000, 2050), (2000, 2050), (2500, 2500), (3000, 3000), (9000, 3000)],
)
def test_stale_age_follows_the_time_to_take_effect(in_force_ms, stale_ms):
    """A version takes effect in time even if all readers disconnect."""
    assert choose_max_age_ms(in_force_ms) == stale_ms
