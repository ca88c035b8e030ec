"""Tests in virtual time that a part that crashes servers is held, and no other."""

import pytest

from bench.crash_parts import PartsWorld
from bench.crash_scenarios import DURATION_MS
from crankchute.core.crash_attribution import BY_COMMON_CAUSE

_MAX_LATE_ARRIVALS = 3
_MIN_SERVED = 0.98


def play(scenario, seed):
    world = PartsWorld(BY_COMMON_CAUSE, seed, scenario)
    world.play()
    return world


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    'scenario',
    ['one part', 'and a rare part', 'two parts', 'seldom', 'few sound ones'],
)
def test_requests_with_a_crashing_part_arrive_late(scenario, seed):
    world = play(scenario, seed)
    assert max(world.late.values()) <= _MAX_LATE_ARRIVALS
    assert world.held == 0
    assert world.share_served(DURATION_MS / 2, DURATION_MS) >= _MIN_SERVED


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    'scenario',
    ['no part, single crashes', 'no part, racks', 'no part, few requests'],
)
def test_sound_requests_are_held_for_other_crashes(scenario, seed):
    assert play(scenario, seed).held == 0


@pytest.mark.parametrize('seed', [6, 13, 27, 35])
def test_two_crashing_parts_arrive_late(seed):
    """Both crash servers in the same seconds."""
    world = play('two parts', seed)
    assert max(world.late.values()) <= _MAX_LATE_ARRIVALS


@pytest.mark.parametrize('seed', [3, 15, 39])
def test_part_that_was_sound_before_arrives_late(seed):
    """It begins to crash servers while requests with it are in progress."""
    world = play('sound before', seed)
    assert max(world.late.values()) <= _MAX_LATE_ARRIVALS


def test_sound_requests_are_held_while_all_servers_fail():
    assert play('no part, all servers', 2).held == 0
