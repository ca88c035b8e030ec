"""Tests of the TCP options of outgoing connections."""

import socket

import pytest

from crankchute.adapters.loop import Loop
from crankchute.adapters.connection_hub import ConnectionHub
from crankchute.core.lease import HOLD_MS

_LOOPBACK = '127.0.0.1'


@pytest.fixture
def outgoing():
    """Provide a connected outgoing socket."""
    loop = Loop()
    listener = socket.create_server((_LOOPBACK, 0))
    hub = ConnectionHub('hub-test', lambda sock, payload: None).register(loop)
    opened = []
    hub.connect_to(
        _LOOPBACK,
        listener.getsockname()[1],
        lambda sock, exc: opened.append(sock),
    )
    loop.run_until(lambda: bool(opened))
    yield opened[0]
    opened[0].close()
    listener.close()


def test_failed_host_is_detected_before_reservations_expire(outgoing):
    """Keep-alive probes detect a silent host before its reservations expire."""
    assert outgoing.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    idle_s, interval_s, probes, timeout_ms = (
        outgoing.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
    )
    assert (idle_s + interval_s * probes) * 1000 < HOLD_MS
    assert idle_s * 1000 < timeout_ms <= HOLD_MS - 1000
