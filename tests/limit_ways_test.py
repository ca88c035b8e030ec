"""Tests that replay servers that name limits, in virtual time.

For half a minute servers name how many requests a second they take from all
instances, while one of these is cut off and two are replaced.  Where nobody listens,
or each instance keeps to it by itself, more reaches them than they stand.
"""

import pytest

from bench.limit_ways import BY_LENDING, CASES, World

_SEEDS = (1, 2)
_QUIET = tuple(case for case in CASES if case.is_quiet)
_SMALL = tuple(case for case in CASES if case.instances < 100)
#: Parts of a limit that are well used, and hardly.
_MUCH = 0.9
_LITTLE = 0.7


def play(way, case, seed):
    world = World(way, case, seed)
    world.play()
    return world


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('case', _SMALL)
def test_no_window_has_more_than_is_allowed(case, seed):
    """Nor is anybody refused while a server without a limit has room."""
    world = play(BY_LENDING, case, seed)
    assert world.most_over() <= 1
    assert not world.with_room


@pytest.mark.parametrize('case', _QUIET)
def test_limit_of_a_whole_pool_is_used(case):
    assert play(BY_LENDING, case, 1).used() > _MUCH


def test_limits_that_each_keeps_by_itself_are_exceeded():
    """And an even part for everybody leaves most of a limit unused."""
    many = CASES[4]
    assert play('ignored', many, 1).most_over() > 1
    assert play('each for itself', many, 1).most_over() > 1
    assert play('even over all', CASES[1], 1).used() < _LITTLE
