"""Tests of the age at which a proof is too old."""

import pytest

from crankchute.core.proof import choose_stale_ms


@pytest.mark.parametrize(
    ('in_force_ms', 'stale_ms'),
    [(1000, 2050), (2000, 2050), (2500, 2500), (3000, 3000), (9000, 3000)],
)
def test_platform_is_asked_in_time_for_a_version_to_be_in_force(
    in_force_ms, stale_ms
):
    """Where 2 s are granted, 3 s were too late when all readers were lost."""
    assert choose_stale_ms(in_force_ms) == stale_ms
