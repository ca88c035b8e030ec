"""Tests of which instances count as silent, and for how long."""

import pytest

from crankchute.core.peer_exchange_test import SimulatedFleet

_NAMES = tuple(f'a{number}' for number in range(8))
_SILENT_MS = 750


@pytest.fixture
def fleet():
    fleet = SimulatedFleet(_NAMES)
    fleet.timers.advance(5000)
    return fleet


def list_silent(fleet, name):
    """Return the instances that one of them takes for silent."""
    instances = fleet.instances[name].instances
    awake_ms = instances.awake.now_ms()
    return [
        other
        for other in _NAMES
        if instances.view(other).is_silent(awake_ms, _SILENT_MS)
    ]


def list_inactive(fleet):
    active = fleet.list_active_at(_NAMES[0])
    return [name for name in _NAMES if name not in active]


def test_first_message_for_long_is_not_an_unanswered_one(fleet):
    name = list_inactive(fleet)[0]
    asked = set(fleet.list_active_at(name))
    fleet.send_work(name, 'earlier')
    fleet.timers.advance(5000)
    fleet.isolated.update(asked)
    fleet.send_work(name, 'key')
    fleet.timers.advance(100)
    assert not list_silent(fleet, name)
    fleet.timers.advance(_SILENT_MS)
    assert set(list_silent(fleet, name)) == asked


@pytest.mark.parametrize('pause_ms', [400, 700, 900, 600_000])
@pytest.mark.parametrize('is_active', [False, True])
def test_own_pause_is_not_taken_for_silence_of_others(
    fleet, pause_ms, is_active
):
    """A paused process has read none of the messages that have arrived."""
    active = fleet.list_active_at(_NAMES[0])
    name = active[0] if is_active else list_inactive(fleet)[0]
    fleet.isolated.add(name)
    fleet.timers.advance(200)
    fleet.timers.suspend(pause_ms)
    assert fleet.list_active_at(name) == active
    assert not list_silent(fleet, name)


def test_others_are_silent_if_they_do_not_answer_after_a_pause(fleet):
    active = fleet.list_active_at(_NAMES[0])
    fleet.timers.suspend(2000)
    fleet.isolated.update(active[1:])
    fleet.timers.advance(1400)
    assert not set(active[1:]) & set(fleet.list_active_at(active[0]))
    assert set(list_silent(fleet, active[0])) == set(active[1:])


def test_instances_that_stop_answering_are_silent(fleet):
    active = fleet.list_active_at(_NAMES[0])
    fleet.isolated.update(active[1:])
    fleet.timers.advance(1000)
    assert not set(active[1:]) & set(fleet.list_active_at(active[0]))
    assert set(list_silent(fleet, active[0])) == set(active[1:])
