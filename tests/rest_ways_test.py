"""Tests that instances respect the Retry-After of servers, in virtual time.

Two of 18 servers reject nearly all requests for 6 s, each time with a
Retry-After of 3 s; all servers reject everything for 2 s; six servers reject
half of the requests for 10 s.
"""

import pytest

from bench.rest_ways import BY_REST, World

_SEEDS = range(1, 7)


def run_world(policy, seed):
    world = World(policy, seed)
    world.play()
    return world


@pytest.mark.parametrize('seed', _SEEDS)
def test_no_requests_before_retry_after(seed):
    world = run_world(BY_REST, seed)
    assert world.unwanted == 0
    assert world.asked > 2000


def test_fewer_requests_are_rejected():
    """More requests succeed at the first attempt and fewer are rejected."""
    respecting = [run_world(BY_REST, seed) for seed in _SEEDS]
    ignoring = [run_world('ignored', seed) for seed in _SEEDS]
    for name in ('refused', 'with_room'):
        respecting_total = sum(getattr(world, name) for world in respecting)
        assert respecting_total < sum(
            getattr(world, name) for world in ignoring
        )
    first_attempts = sum(world.at_once for world in respecting)
    assert first_attempts > sum(world.at_once for world in ignoring)
