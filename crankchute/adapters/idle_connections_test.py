"""Tests of the reuse of idle connections.

They guard against requests that are sent on a connection that the server is
closing: whether such a request ran is unknown, so it must not be repeated.
"""

import socket

import pytest

from crankchute.adapters.idle_connections import IdleConnections
from crankchute.core.fakes import ManualClock

ADDRESS = ('127.0.0.1', 7000)
#: The limits of a request that must not be repeated.
IDLE_MS = 700
STATED_IDLE_MS = 8000


class World:
    """An idle connection and its server's end."""

    def __init__(self, keep_alive=None):
        self.clock = ManualClock()
        self.idle = IdleConnections(lambda sock: True, self.clock.now_ms)
        sockets = socket.socketpair()
        self.sock = sockets[0]
        self.server_sock = sockets[1]
        self.sock.setblocking(False)
        headers = {} if keep_alive is None else {'keep-alive': keep_alive}
        self.idle.add(ADDRESS, self.sock, headers)

    def take(self, after_ms, idle_ms=IDLE_MS, stated_idle_ms=STATED_IDLE_MS):
        self.clock.time_ms += after_ms
        return self.idle.take(ADDRESS, idle_ms, stated_idle_ms) is self.sock


@pytest.mark.parametrize(
    ('keep_alive', 'after_ms', 'is_reused'),
    [
        (None, 700, True),
        (None, 701, False),
        ('max=100', 701, False),
        ('timeout=10', 701, True),
        ('timeout=10', 4999, True),
        ('timeout=10', 5000, False),
        ('timeout=10, max=100', 4999, True),
        # Far longer times are limited as for any other request.
        ('timeout=600', 7999, True),
        ('timeout=600', 8001, False),
        # Less than the margin before the end.
        ('timeout=1', 100, True),
        ('timeout=1', 101, False),
        ('timeout=0', 1, False),
        ('timeout=x', 701, False),
    ],
)
def test_stated_keep_alive_extends_reuse(keep_alive, after_ms, is_reused):
    assert World(keep_alive).take(after_ms) == is_reused


@pytest.mark.parametrize(
    ('after_ms', 'is_reused'), [(9100, True), (9101, False)]
)
def test_requests_without_a_limit_keep_the_margin(after_ms, is_reused):
    world = World('timeout=10')
    assert world.take(after_ms, None, 0) == is_reused


def test_longer_stated_limit_is_ignored_unless_asked_for():
    assert not World('timeout=10').take(701, stated_idle_ms=0)


@pytest.mark.parametrize('payload', [b'', b'late'])
def test_connection_with_an_unread_close_is_not_reused(payload):
    """The loop may be late to read that the server closed it."""
    world = World('timeout=10')
    world.server_sock.sendall(payload)
    if not payload:
        world.server_sock.close()
    assert not world.take(10)


def test_failed_connection_is_not_reused():
    world = World()
    world.sock.close()
    assert not world.take(10)
