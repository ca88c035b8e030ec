"""Tests of how servers accept the connections of a burst."""

import socket
from contextlib import ExitStack

import pytest

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.loop import Loop

_LOOPBACK = '127.0.0.1'
_BURST = 60
#: Turns in which a connection is accepted, read and served.
_MAX_TURNS = 8
_REQUEST = b'GET /ok HTTP/1.1\r\nHost: a\r\n\r\n'


def make_forward_server(loop, on_request):
    return ForwardServer(
        (_LOOPBACK, 0),
        on_request,
        loop.timers,
        channel='tested',
        idle_ms=60_000,
    ).register(loop)


def make_http_server(loop, on_request):
    return HttpServer((_LOOPBACK, 0), on_request, loop.timers).register(loop)


def run_turns(loop, count):
    """Run some turns of a loop."""
    turns = iter(range(count))
    loop.run_until(lambda: next(turns, None) is None, 0)


@pytest.mark.parametrize('make_server', [make_forward_server, make_http_server])
def test_requests_of_a_burst_wait_for_a_turn_each(make_server):
    """Turns are long while an instance is busy."""
    loop = Loop()
    received = []
    server = make_server(loop, received.append)
    run_turns(loop, _MAX_TURNS)
    with ExitStack() as opened:
        for _ in range(_BURST):
            sock = socket.create_connection((_LOOPBACK, server.port))
            opened.enter_context(sock)
            sock.sendall(_REQUEST)
        run_turns(loop, _MAX_TURNS)
        assert len(received) == _BURST
