"""Tests that all instances together keep to the rate of cold servers.

In virtual time, servers return cold into more load than they may get, while one
instance is cut off and one is replaced.
"""

import pytest

from bench.cold_return import CASES, ColdWorld

#: Bounds for the use of the cold servers' rate.  While one of three active
#: instances is cut off, a part of the rate is lost.
_QUIET_UTILISATION = 0.9
_LOWEST_UTILISATION = 0.5


@pytest.mark.parametrize('case', CASES)
def test_no_second_exceeds_the_bound_and_the_rate_is_used(case):
    """Cold servers fail above it, and requests are refused below it.

    Nor is a request refused while servers without a limit are listed.
    """
    world = ColdWorld(case, seed=1)
    world.play()
    assert world.max_per_second() <= case.allowed
    assert not world.refused_beside_warm
    if case.is_quiet:
        assert world.used() > _QUIET_UTILISATION
    elif case.per_second > 1:
        assert world.used() > _LOWEST_UTILISATION


def test_bound_is_exceeded_where_cold_servers_are_not_limited():
    """Otherwise the load of the cases would show nothing."""
    world = ColdWorld(CASES[0], seed=1)
    for instance in world._instances.values():
        instance.limits.cold.bounds = None
    world.play()
    assert world.max_per_second() > CASES[0].allowed
