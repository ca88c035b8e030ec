"""Tests of the look-up of decode costs."""

import pytest

from crankchute.core.engine_model import estimate_decode_ms
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_config import (
    ForwardConfig,
    ForwardConfigHolder,
    PoolConfig,
)
from crankchute.core.forward_fakes import make_figures
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.forward_fleet_test import POOL, make_listed
from crankchute.entry.engine_costs import EngineCosts

FIGURES = make_figures(slots=4)


@pytest.mark.parametrize(
    ('engine', 'pools', 'expected_ms'),
    [
        ('a', [PoolConfig(POOL, 9, FIGURES)], estimate_decode_ms(FIGURES) / 4),
        # Other instances report work at servers that are not known here yet.
        ('unknown', [PoolConfig(POOL, 9, FIGURES)], 0),
        ('a', [PoolConfig(POOL, 9, None)], 0),
        ('a', [], 0),
        # Reports of work may arrive before the first configuration.
        ('a', None, 0),
    ],
)
def test_decode_cost_is_that_of_the_pool(engine, pools, expected_ms):
    """Work of unknown engines must not fail the message that reports it."""
    fleet = ForwardFleet(ManualTimers(), 'pool')
    fleet.put(make_listed('a'))
    holder = ForwardConfigHolder()
    if pools is not None:
        holder.offer(ForwardConfig(1, [], pools), b'')
    costs = EngineCosts(fleet, holder)
    assert costs.estimate_slot_ms(engine) == pytest.approx(expected_ms)
