"""Tests that the instances together keep to the rate limits of servers.

In virtual time, servers announce a limit for the requests per second from all
instances, while one instance is partitioned and two are replaced.
"""

import pytest

from bench.limit_ways import BY_LENDING, CASES, World

_SEEDS = (1, 2)
_QUIET_CASES = tuple(case for case in CASES if case.is_quiet)
_SMALL_CASES = tuple(case for case in CASES if case.instances < 100)
#: Bounds for a high and a low utilisation of a limit.
_HIGH_UTILISATION = 0.9
_LOW_UTILISATION = 0.7


def run_world(policy, case, seed):
    world = World(policy, case, seed)
    world.play()
    return world


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('case', _SMALL_CASES)
def test_no_window_exceeds_the_limit(case, seed):
    """Nor is a request rejected while a server without a limit has capacity."""
    world = run_world(BY_LENDING, case, seed)
    assert world.most_over() <= 1
    assert not world.with_room


@pytest.mark.parametrize('case', _QUIET_CASES)
def test_limit_of_a_whole_pool_is_utilised(case):
    assert run_world(BY_LENDING, case, 1).used() > _HIGH_UTILISATION


def test_limits_are_exceeded_without_coordination():
    """Equal shares for all instances leave much of a limit unused instead."""
    many_instances = CASES[4]
    assert run_world('ignored', many_instances, 1).most_over() > 1
    assert run_world('each for itself', many_instances, 1).most_over() > 1
    assert run_world('even over all', CASES[1], 1).used() < _LOW_UTILISATION
