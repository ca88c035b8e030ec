"""Tests of the servers at which an instance lends permits."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.forward_fleet_test import POOL, make_listed
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.entry.permit_lending import PermitLending
from crankchute.proto import peer_pb2

_WINDOW_MS = 4000


class Lender:
    """An instance that holds the whole limit of one server.

    Serves as the node and as its peers.
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
            lambda _identity: False,
            lambda _identity: None,
        )
        self.timers.advance(_WINDOW_MS)
        self.limits.advertised.receive_answer('a', 1, _WINDOW_MS)

    def request_turn(self, *servers):
        """Return the server at which a permit is lent, or an empty string."""
        replies = []
        lending = PermitLending(self, self)
        request = peer_pb2.TurnRequest(servers=servers)
        lending.on_request(request, replies.append)
        return replies[0].server


def remove_server(lender):
    """Remove the server from the fleet."""
    lender.fleet.remove('a', may_have_expired=False)


def drain_server(lender):
    """Mark the server as leaving."""
    lender.fleet.record_drained('a')


def back_off(lender):
    """Put the server in backoff."""
    lender.fleet.get('a').pause_until(60_000)


def remove_limit(lender):
    """Remove the limit of the server."""
    lender.limits.advertised.receive_answer('a', None, _WINDOW_MS)


def use_turn(lender):
    """Use up the only permit."""
    lender.limits.permits.record_sent('a')


def test_turn_is_lent_once():
    lender = Lender()
    assert lender.request_turn('b', 'a') == 'a'
    assert not lender.request_turn('b', 'a')


@pytest.mark.parametrize(
    'change',
    [remove_server, drain_server, back_off, remove_limit, use_turn],
)
def test_no_turn_is_lent_at_an_unusable_server(change):
    lender = Lender()
    change(lender)
    assert not lender.request_turn('b', 'a')
