"""Tests of the division of engines between short and long prompts."""

import pytest

from crankchute.core.engine_division import divide_engines


@pytest.mark.parametrize(
    ('total', 'long_share', 'urgent_engines', 'reserved', 'is_limited'),
    [
        # Without more urgent prompts, demand alone decides.
        (60, 0.5, 0, 30, False),
        (60, 0.9, 0, 54, False),
        (1, 0.1, 0, 1, False),
        # Urgent prompts have room next to the demanded share.
        (60, 0.5, 20, 30, False),
        # They need more: the rest is reserved for long prompts.
        (60, 0.9, 24, 30, True),
        (60, 0.5, 40, 10, True),
        # Long prompts keep a part under any load, also in small pools.
        (60, 0.9, 500, 9, True),
        (6, 0.5, 500, 1, True),
        (1, 0.9, 500, 1, False),
    ],
)
def test_urgent_prompts_limit_the_share_of_long_ones(
    total, long_share, urgent_engines, reserved, is_limited
):
    """Long prompts took nine tenths of the engines beside urgent ones."""
    division = divide_engines(total, long_share, urgent_engines)
    assert division.reserved_count == reserved
    assert division.is_limited == is_limited
