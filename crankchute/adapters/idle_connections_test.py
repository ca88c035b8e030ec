"""Tests of the reuse of idle connections.

They guard against requests that are sent on a connection that the server is
closing: whether such a request ran is unknown, so it must not be repeated.
"""

import socket

import pytest

from crankchute.adapters.idle_connections import IdleConnections
from crankchute.core.fakes import ManualClock

ADDRESS = ('127.0.0.1', 7000)
#: The limit of a request that must not be repeated.
IDLE_MS = 700


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

    def take(self, after_ms, idle_ms=IDLE_MS):
        self.clock.time_ms += after_ms
        return self.idle.take(ADDRESS, idle_ms) is self.sock


@pytest.mark.parametrize(
    ('keep_alive', 'idle_ms', 'after_ms', 'is_reused'),
    [
        (None, IDLE_MS, 700, True),
        (None, IDLE_MS, 701, False),
        ('timeout=10', IDLE_MS, 701, False),
        ('timeout=10', None, 9100, True),
        ('timeout=10, max=100', None, 9101, False),
        # Less than the margin before the end.
        ('timeout=1', IDLE_MS, 100, True),
        ('timeout=1', IDLE_MS, 101, False),
        ('timeout=0', IDLE_MS, 1, False),
        ('timeout=x', None, 60_000, True),
    ],
)
def test_stated_keep_alive_limits_reuse(
    keep_alive, idle_ms, after_ms, is_reused
):
    assert World(keep_alive).take(after_ms, idle_ms) == is_reused


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
