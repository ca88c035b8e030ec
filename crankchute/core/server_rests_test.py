"""Tests of how long servers are left alone."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.forward_fleet_test import POOL, make_listed
from crankchute.core.limit_desk import LimitDesk
from crankchute.core.server_notice import ServerNotice, ServerNotices


class SilentJournal:
    """Takes the lines that nobody reads here."""

    def log_notice(self, backend, notice):
        """Write nothing."""


class World:
    """A fleet with one server, and what takes its word."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, POOL)
        self.fleet.put(make_listed('a'))
        limits = LimitDesk(self.timers, 'entry-0', 'boot')
        self.notices = ServerNotices(self.fleet, SilentJournal(), limits)

    @property
    def backend(self):
        return self.fleet.get('a')

    def say(self, rest_ms, backend=None):
        notice = ServerNotice(rest_ms=rest_ms)
        self.notices.take(backend or self.backend, notice, 0)


@pytest.mark.parametrize(
    ('rests', 'until_ms'),
    [
        ([(0, 3000)], 3000),
        ([(0, 3000), (100, 3000)], 3100),
        # An answer that asks for less takes nothing back.
        ([(0, 3000), (100, 200)], 3000),
        ([(0, 300), (1000, 400)], 1400),
    ],
)
def test_longest_rest_counts(rests, until_ms):
    world = World()
    for at_ms, rest_ms in rests:
        world.timers.advance(at_ms - world.timers.clock.now_ms())
        world.say(rest_ms)
    assert world.backend.refused_until_ms == until_ms


def test_rest_outlasts_an_entry_that_lapses():
    """Also if the word came while the entry was gone."""
    world = World()
    asked = world.backend
    world.say(3000)
    world.fleet.remove('a', may_lapse=False)
    world.timers.advance(100)
    world.say(9000, asked)
    world.fleet.put(make_listed('a'))
    assert world.backend is not asked
    assert world.backend.refused_until_ms == 9100


def test_rest_that_another_server_told_of_outlasts_an_entry_that_lapses():
    """A helper says so through the server that was asked.

    That went to the helper's record alone, which a lapse of its entry ends.
    """
    world = World()
    world.backend.leave_alone(3000)
    world.fleet.remove('a', may_lapse=False)
    world.timers.advance(100)
    world.fleet.put(make_listed('a'))
    assert world.backend.refused_until_ms == 3000


def test_rest_of_one_start_is_not_that_of_the_next():
    world = World()
    world.fleet.put(make_listed('a', born=1))
    first = next(iter(world.fleet))
    world.say(9000, first)
    world.fleet.put(make_listed('a', born=2))
    second = next(iter(world.fleet))
    assert first.refused_until_ms == 9000
    assert second.refused_until_ms == 0
