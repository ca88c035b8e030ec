"""Tests of the forwarding HTTP server, over loopback sockets on one loop."""

import socket
import struct

import pytest

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_intake import IntakeLimits
from crankchute.adapters.loop import Loop

_LOOPBACK = '127.0.0.1'
_REQUEST_LIMITS = IntakeLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=5000,
    body_rate=1,
)
_OVERSIZED_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\n%b' % (b'X: 1234567\r\n' * 300)
_GET_REQUEST = b'GET /ok HTTP/1.1\r\nHost: a\r\n\r\n'


class ServerHarness:
    """A server with a configurable request handler, and raw connections."""

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
        self.server.limits = _REQUEST_LIMITS

    def connect(self):
        sock = socket.create_connection((_LOOPBACK, self.server.port))
        sock.setblocking(False)
        return sock

    def read(self, sock, until=b'', *, to_end=False):
        """Receive until the given bytes arrive or the connection ends."""
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

    def request(self, payload, *, to_end=False):
        sock = self.connect()
        sock.sendall(payload)
        received = self.read(sock, b'\r\n\r\n', to_end=to_end)
        sock.close()
        return received

    def _on_request(self, exchange):
        self.exchanges.append(exchange)
        self.answer(exchange)


def reply_ok(exchange):
    exchange.reply(200, b'fine', [('X-Kept', 'As Sent')])


@pytest.mark.parametrize(
    ('payload', 'method', 'target', 'body'),
    [
        (_GET_REQUEST, 'GET', '/ok', b''),
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
def test_requests_reach_the_handler_unmodified(payload, method, target, body):
    harness = ServerHarness(reply_ok)
    received = harness.request(payload)
    exchange = harness.exchanges[0]
    assert (exchange.method, exchange.target) == (method, target)
    assert exchange.body == body
    assert received.startswith(b'HTTP/1.1 200 OK\r\nX-Kept: As Sent\r\n')
    assert received.endswith(b'fine')


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
        (_OVERSIZED_HEAD, 431),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n', 413),
        (_GET_REQUEST * 2, 400),
    ],
)
def test_invalid_request_is_refused_and_the_connection_closed(payload, status):
    harness = ServerHarness(reply_ok)
    received = harness.request(payload, to_end=True)
    assert received.startswith(b'HTTP/1.1 %d' % status)
    assert b'Connection: close' in received
    assert not harness.exchanges


def test_connection_serves_several_requests():
    harness = ServerHarness(reply_ok)
    sock = harness.connect()
    for _ in range(3):
        sock.sendall(_GET_REQUEST)
        assert harness.read(sock, b'fine').endswith(b'fine')
    assert len(harness.exchanges) == 3
    sock.close()


def test_next_request_waits_for_the_current_response():
    harness = ServerHarness(lambda _exchange: None)
    sock = harness.connect()
    sock.sendall(_GET_REQUEST)
    harness.loop.run_until(lambda: len(harness.exchanges) == 1, 0.001)
    sock.sendall(_GET_REQUEST)
    harness.answer = reply_ok
    for _ in range(20):
        harness.loop.tick(0.001)
    assert len(harness.exchanges) == 1
    reply_ok(harness.exchanges[0])
    harness.loop.run_until(lambda: len(harness.exchanges) == 2, 0.001)
    sock.close()


def test_stream_is_chunked_and_aborting_it_leaves_it_incomplete():
    harness = ServerHarness(lambda exchange: None)
    sock = harness.connect()
    sock.sendall(_GET_REQUEST)
    harness.loop.run_until(lambda: bool(harness.exchanges), 0.001)
    exchange = harness.exchanges[0]
    exchange.start(200, [('Content-Type', 'text/event-stream')])
    exchange.send(b'id: 1\n\n')
    assert harness.read(sock, b'id: 1\n\n').endswith(b'7\r\nid: 1\n\n\r\n')
    exchange.abort()
    assert not harness.read(sock, to_end=True)
    sock.close()


def test_disconnect_of_the_caller_is_reported():
    disconnects = []
    harness = ServerHarness(lambda _exchange: None)
    sock = harness.connect()
    sock.sendall(_GET_REQUEST)
    harness.loop.run_until(lambda: bool(harness.exchanges), 0.001)
    harness.exchanges[0].on_gone = lambda: disconnects.append(1)
    sock.close()
    harness.loop.run_until(lambda: bool(disconnects), 0.001)
    assert harness.server.open_exchanges == 0


@pytest.mark.parametrize('caller_asks', [False, True])
def test_closing_is_announced_by_header(caller_asks):
    harness = ServerHarness(reply_ok)
    harness.server.is_closing = not caller_asks
    payload = _GET_REQUEST
    if caller_asks:
        payload = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert b'Connection: close' in harness.request(payload, to_end=True)


def test_exception_in_a_handler_yields_an_error_response():
    def fail(_exchange):
        raise ZeroDivisionError

    harness = ServerHarness(fail)
    assert harness.request(_GET_REQUEST).startswith(b'HTTP/1.1 500')


def disconnect(sock):
    sock.close()


def reset(sock):
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


@pytest.mark.parametrize('end_connection', [disconnect, reset])
@pytest.mark.parametrize('requests', [1, 2])
def test_request_of_a_disconnected_caller_is_dropped(end_connection, requests):
    """A resumed process finds the request and the disconnect together."""
    harness = ServerHarness(reply_ok)
    sock = harness.connect()
    sock.sendall(_GET_REQUEST)
    if requests == 2:
        harness.read(sock, b'fine')
        sock.sendall(_GET_REQUEST)
    end_connection(sock)
    exchanges_before = len(harness.exchanges)
    other = harness.connect()
    other.sendall(_GET_REQUEST)
    harness.read(other, b'fine')
    other.close()
    assert len(harness.exchanges) == exchanges_before + 1


def test_silent_caller_is_served():
    harness = ServerHarness(reply_ok)
    sock = harness.connect()
    sock.sendall(_GET_REQUEST)
    assert b'fine' in harness.read(sock, b'fine')
    assert len(harness.exchanges) == 1
    sock.close()
