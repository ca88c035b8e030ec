"""Tests of the pauses that servers ask for."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.forward_fleet_test import POOL, make_listed
from crankchute.core.server_notice import ServerNotice, ServerNotices
from crankchute.core.server_rate_limits import ServerRateLimits


class NullJournal:
    """A journal that discards its lines."""

    def log_notice(self, backend, notice):
        """Discard the line."""


class World:
    """A fleet with one server, and the handler of its notices."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, POOL)
        self.fleet.put(make_listed('a'))
        limits = ServerRateLimits(self.timers, 'entry-0', 'boot')
        self.notices = ServerNotices(self.fleet, NullJournal(), limits)

    @property
    def backend(self):
        return self.fleet.get('a')

    def request_pause(self, pause_ms, backend=None):
        notice = ServerNotice(pause_ms=pause_ms)
        self.notices.take(backend or self.backend, notice, 0)


@pytest.mark.parametrize(
    ('pauses', 'until_ms'),
    [
        ([(0, 3000)], 3000),
        ([(0, 3000), (100, 3000)], 3100),
        # A shorter pause does not replace a longer one.
        ([(0, 3000), (100, 200)], 3000),
        ([(0, 300), (1000, 400)], 1400),
    ],
)
def test_latest_end_of_pause_counts(pauses, until_ms):
    world = World()
    for at_ms, pause_ms in pauses:
        world.timers.advance(at_ms - world.timers.clock.now_ms())
        world.request_pause(pause_ms)
    assert world.backend.paused_until_ms == until_ms


def test_pause_outlasts_the_entry():
    """Also if the server asks for it while its entry is missing."""
    world = World()
    before = world.backend
    world.request_pause(3000)
    world.fleet.remove('a', may_have_expired=False)
    world.timers.advance(100)
    world.request_pause(9000, before)
    world.fleet.put(make_listed('a'))
    assert world.backend is not before
    assert world.backend.paused_until_ms == 9100


def test_pause_reported_by_another_server_outlasts_the_entry():
    """A helper engine asks for its pause through the server that called it.

    Such a pause is set on the Backend only, which goes with its entry.
    """
    world = World()
    world.backend.pause_until(3000)
    world.fleet.remove('a', may_have_expired=False)
    world.timers.advance(100)
    world.fleet.put(make_listed('a'))
    assert world.backend.paused_until_ms == 3000


def test_pause_does_not_apply_after_a_restart():
    world = World()
    world.fleet.put(make_listed('a', born=1))
    first = next(iter(world.fleet))
    world.request_pause(9000, first)
    world.fleet.put(make_listed('a', born=2))
    second = next(iter(world.fleet))
    assert first.paused_until_ms == 9000
    assert second.paused_until_ms == 0
