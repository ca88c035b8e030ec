"""Tests of requests that must be handed over as they came, and of bad ones.

Everything goes over loopback sockets on one loop; nothing is timed.
"""

import socket
import struct

import pytest

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_intake import IntakeLimits
from crankchute.adapters.loop import Loop

_LOOPBACK = '127.0.0.1'
_LIMITS = IntakeLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=5000,
    body_rate=1,
)
_MANY = b'GET / HTTP/1.1\r\nHost: a\r\n%b' % (b'X: 1234567\r\n' * 300)
_OK = b'GET /ok HTTP/1.1\r\nHost: a\r\n\r\n'


class World:
    """A server whose answers a test decides, and raw connections to it."""

    def __init__(self, answer):
        self.loop = Loop()
        self.exchanges = []
        self.answer = answer
        self.server = ForwardServer(
            (_LOOPBACK, 0),
            self._on_request,
            self.loop.timers,
            channel='tested',
            idle_ms=60_000,
        ).register(self.loop)
        self.server.limits = _LIMITS

    def connect(self):
        sock = socket.create_connection((_LOOPBACK, self.server.port))
        sock.setblocking(False)
        return sock

    def read(self, sock, until=b'', *, to_end=False):
        """Return what came until it holds some bytes or ends."""
        parts = []

        def is_done():
            try:
                chunk = sock.recv(65_536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                chunk = b''
            parts.append(chunk)
            if not chunk:
                return True
            return not to_end and until in b''.join(parts)

        self.loop.run_until(is_done, 0.001)
        return b''.join(parts)

    def ask(self, payload, *, to_end=False):
        sock = self.connect()
        sock.sendall(payload)
        seen = self.read(sock, b'\r\n\r\n', to_end=to_end)
        sock.close()
        return seen

    def _on_request(self, exchange):
        self.exchanges.append(exchange)
        self.answer(exchange)


def reply_ok(exchange):
    exchange.reply(200, b'fine', [('X-Kept', 'As Sent')])


@pytest.mark.parametrize(
    ('payload', 'method', 'target', 'body'),
    [
        (_OK, 'GET', '/ok', b''),
        (
            b'POST /a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: 3\r\n\r\n\x00\xff\n',
            'POST',
            '/a%2Fb/../c?x=%20&y',
            b'\x00\xff\n',
        ),
        (
            b'PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
            'PUT',
            '/c',
            b'abc',
        ),
    ],
)
def test_requests_are_handed_over_as_they_came(payload, method, target, body):
    world = World(reply_ok)
    seen = world.ask(payload)
    exchange = world.exchanges[0]
    assert (exchange.method, exchange.target) == (method, target)
    assert exchange.body == body
    assert seen.startswith(b'HTTP/1.1 200 OK\r\nX-Kept: As Sent\r\n')
    assert seen.endswith(b'fine')


@pytest.mark.parametrize(
    ('payload', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\nab',
            400,
        ),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n', 400),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'zz\r\n',
            400,
        ),
        (b'GET / HTTP/1.1\r\nHost: a\r\nX Y: 1\r\n\r\n', 400),
        (_MANY, 431),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n', 413),
        (_OK * 2, 400),
    ],
)
def test_bad_input_is_refused_and_the_connection_closed(payload, status):
    world = World(reply_ok)
    seen = world.ask(payload, to_end=True)
    assert seen.startswith(b'HTTP/1.1 %d' % status)
    assert b'Connection: close' in seen
    assert not world.exchanges


def test_connection_serves_one_request_after_the_other():
    world = World(reply_ok)
    sock = world.connect()
    for _ in range(3):
        sock.sendall(_OK)
        assert world.read(sock, b'fine').endswith(b'fine')
    assert len(world.exchanges) == 3
    sock.close()


def test_next_request_waits_for_the_answer_before():
    world = World(lambda _exchange: None)
    sock = world.connect()
    sock.sendall(_OK)
    world.loop.run_until(lambda: len(world.exchanges) == 1, 0.001)
    sock.sendall(_OK)
    world.answer = reply_ok
    for _ in range(20):
        world.loop.tick(0.001)
    assert len(world.exchanges) == 1
    reply_ok(world.exchanges[0])
    world.loop.run_until(lambda: len(world.exchanges) == 2, 0.001)
    sock.close()


def test_stream_is_chunked_and_a_broken_one_does_not_look_whole():
    world = World(lambda exchange: None)
    sock = world.connect()
    sock.sendall(_OK)
    world.loop.run_until(lambda: bool(world.exchanges), 0.001)
    exchange = world.exchanges[0]
    exchange.start(200, [('Content-Type', 'text/event-stream')])
    exchange.send(b'id: 1\n\n')
    assert world.read(sock, b'id: 1\n\n').endswith(b'7\r\nid: 1\n\n\r\n')
    exchange.abort()
    assert not world.read(sock, to_end=True)
    sock.close()


def test_caller_that_closes_is_noticed():
    gone = []
    world = World(lambda _exchange: None)
    sock = world.connect()
    sock.sendall(_OK)
    world.loop.run_until(lambda: bool(world.exchanges), 0.001)
    world.exchanges[0].on_gone = lambda: gone.append(1)
    sock.close()
    world.loop.run_until(lambda: bool(gone), 0.001)
    assert world.server.open_exchanges == 0


@pytest.mark.parametrize('ask_close', [False, True])
def test_closing_is_announced(ask_close):
    world = World(reply_ok)
    world.server.is_closing = not ask_close
    payload = _OK
    if ask_close:
        payload = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert b'Connection: close' in world.ask(payload, to_end=True)


def test_fault_of_a_handler_ends_the_request():
    def fail(_exchange):
        raise ZeroDivisionError

    world = World(fail)
    assert world.ask(_OK).startswith(b'HTTP/1.1 500')


def close_at_once(sock):
    sock.close()


def reset(sock):
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


@pytest.mark.parametrize('leave', [close_at_once, reset])
@pytest.mark.parametrize('requests', [1, 2])
def test_request_of_a_caller_that_left_is_not_handed_over(leave, requests):
    """A process that stood still finds the request and its end together."""
    world = World(reply_ok)
    sock = world.connect()
    sock.sendall(_OK)
    if requests == 2:
        world.read(sock, b'fine')
        sock.sendall(_OK)
    leave(sock)
    seen = len(world.exchanges)
    other = world.connect()
    other.sendall(_OK)
    world.read(other, b'fine')
    other.close()
    assert len(world.exchanges) == seen + 1


def test_caller_that_is_only_silent_is_served():
    world = World(reply_ok)
    sock = world.connect()
    sock.sendall(_OK)
    assert b'fine' in world.read(sock, b'fine')
    assert len(world.exchanges) == 1
    sock.close()
