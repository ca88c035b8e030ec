"""Tests that replay servers that want rest, in virtual time.

Two of 18 servers turn nearly all away for 6 s and want 3 s of rest each time, all
turn everything away for 2 s, and six turn half away for 10 s.  Where nobody
listens to them, 234 requests reach servers that rest, up to 14 in one rest, and 26
callers are refused while a sound server has room (means of 10 seeds).
"""

import pytest

from bench.rest_ways import BY_REST, World

_SEEDS = range(1, 7)


def play(way, seed):
    world = World(way, seed)
    world.play()
    return world


@pytest.mark.parametrize('seed', _SEEDS)
def test_servers_get_their_rest(seed):
    world = play(BY_REST, seed)
    assert world.unwanted == 0
    assert world.asked > 2000


def test_callers_gain_by_the_rest_of_servers():
    """More are served at their first try, and fewer refused for nothing."""
    resting = [play(BY_REST, seed) for seed in _SEEDS]
    ignoring = [play('ignored', seed) for seed in _SEEDS]
    for name in ('refused', 'with_room'):
        kept = sum(getattr(one, name) for one in resting)
        assert kept < sum(getattr(one, name) for one in ignoring)
    at_once = sum(one.at_once for one in resting)
    assert at_once > sum(one.at_once for one in ignoring)
