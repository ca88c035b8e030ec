"""Tests of what an instance lends permits at."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.forward_fleet_test import POOL, make_listed
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.entry.permit_lending import PermitLending
from crankchute.proto import peer_pb2

_WINDOW_MS = 4000


class World:
    """An instance that holds the whole limit of one server.

    It stands for the node and for its peers, of which little is needed.
    """

    def __init__(self):
        self.timers = ManualTimers()
        self.now_ms = self.timers.clock.now_ms
        self.random = None
        self.identity = self
        self.instance = 'entry-0'
        self.fleet = ForwardFleet(self.timers, POOL)
        self.fleet.put(make_listed('a'))
        self.limits = ServerRateLimits(self.timers, self.instance, 'boot')
        self.limits.start(
            lambda: [self.instance],
            lambda _one: False,
            lambda _one: None,
        )
        self.timers.advance(_WINDOW_MS)
        self.limits.advertised.receive_answer('a', 1, _WINDOW_MS)

    def ask(self, *servers):
        """Return where a turn is lent, or an empty string."""
        replies = []
        lending = PermitLending(self, self)
        request = peer_pb2.TurnRequest(servers=servers)
        lending.answer(request, replies.append)
        return replies[0].server


def lend_nothing(world):
    """Let a server that nobody knows be asked for."""
    world.fleet.remove('a', may_have_expired=False)


def leave(world):
    """Let the server leave, which the asker does not know yet."""
    world.fleet.record_drained('a')


def rest(world):
    """Let the server rest here, where the turn is counted."""
    world.fleet.get('a').pause_until(60_000)


def end_limit(world):
    """Let the server name no limit any more."""
    world.limits.advertised.receive_answer('a', None, _WINDOW_MS)


def use_up(world):
    """Use the turn."""
    world.limits.permits.record_sent('a')


def test_turn_is_lent_once():
    world = World()
    assert world.ask('b', 'a') == 'a'
    assert not world.ask('b', 'a')


@pytest.mark.parametrize(
    'change',
    [lend_nothing, leave, rest, end_limit, use_up],
)
def test_no_turn_is_lent_at_servers_that_want_nothing(change):
    world = World()
    change(world)
    assert not world.ask('b', 'a')
