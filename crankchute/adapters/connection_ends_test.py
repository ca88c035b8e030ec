"""Tests of answers whose connection ends, by how it ends, over loopback sockets."""

import socket
import struct
import time
from contextlib import suppress
from types import MappingProxyType

import pytest

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.loop import Loop
from crankchute.ports.http import WholeResponse

_LOOPBACK = '127.0.0.1'
#: More than the buffers of both sockets hold.
_LONG_BODY = b'q' * 16_000_000
_PART = b'x' * 3000
#: Answers that are whole whatever the end of the connection.
_FRAMED_ANSWERS = MappingProxyType(
    {
        'length': b'HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n%b' % _PART,
        'length zero': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        'chunks': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'bb8\r\n%b\r\n0\r\n\r\n' % _PART
        ),
        'no content': b'HTTP/1.1 204 No Content\r\n\r\n',
        'not modified': b'HTTP/1.1 304 Not Modified\r\n\r\n',
    }
)
#: Answers whose end only the connection tells.
_UNFRAMED_ANSWERS = MappingProxyType(
    {
        'no length': (
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%b' % _PART
        ),
        'empty': b'HTTP/1.1 200 OK\r\n\r\n',
        'informational before': (
            b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n%b' % _PART
        ),
    }
)
#: Answers that are not whole whatever the end of the connection.
_CUT_ANSWERS = MappingProxyType(
    {
        'nothing': b'',
        'status line': b'HTTP/1.1 20',
        'head without its end': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n',
        'head of unknown length': b'HTTP/1.1 200 OK\r\nConnection: close\r\n',
        'header name': b'HTTP/1.1 200 OK\r\nContent-Le',
        'informational only': b'HTTP/1.1 100 Continue\r\n\r\n',
        'length': b'HTTP/1.1 200 OK\r\nContent-Length: 3001\r\n\r\n%b' % _PART,
        'chunk': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbb9\r\n%b'
            % _PART
        ),
        'between chunks': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'bb8\r\n%b\r\n' % _PART
        ),
        'last chunk': (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'bb8\r\n%b\r\n0\r\n' % _PART
        ),
    }
)
#: How a server ends the connection: it goes on reading, the connection is
#: reset, or it closes with nothing unread, so that the bytes of the request that
#: come later are answered by a reset.
_ENDS = ('orderly', 'reset', 'closed')
_STATES = ('unread', 'half written', 'written')


@pytest.fixture(autouse=True)
def short_reads(monkeypatch):
    """Let an answer take several reads."""
    monkeypatch.setattr('crankchute.adapters.connection_hub.READ_SIZE', 1000)


class _Exchange:
    """A call, and the socket of a server that a test controls."""

    def __init__(self, state):
        self.loop = Loop()
        self.client = HttpClient(timers=self.loop.timers).register(self.loop)
        self.outcomes = []
        with socket.create_server((_LOOPBACK, 0)) as listener:
            address = listener.getsockname()
            body = b'' if state == 'written' else _LONG_BODY
            request = build_request('POST', address, '/', body)
            sink = WholeResponse(
                lambda status, body: self.outcomes.append((status, body)),
                self.outcomes.append,
            )
            self.call = self.client.send(address, request, sink)
            self.sock = listener.accept()[0]
        self.sock.setblocking(False)
        self.loop.run_until(lambda: self.call.sent, 0.001)
        if state != 'unread':
            self.loop.run_until(lambda: self._read(65_536), 0.001)

    def answer(self, payload, end):
        """Send the bytes of an answer, and end the connection."""
        self.sock.sendall(payload)
        if end == 'reset':
            self.reset()
        elif end == 'closed':
            self.close()
        else:
            self.sock.shutdown(socket.SHUT_WR)
        self.loop.run_until(self._is_over, 0.001)
        return self.outcomes[0]

    def reset(self):
        """Reset the connection."""
        linger = struct.pack('ii', 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()

    def close(self):
        """Close the connection with nothing unread."""
        while self._read(1_000_000):
            # The system sends what waits at the client.
            time.sleep(0.01)
        self.sock.close()

    def _read(self, size):
        with suppress(BlockingIOError):
            return self.sock.recv(size)
        return b''

    def _is_over(self):
        """Read the rest of the request, if the server is still there."""
        if self.sock.fileno() >= 0:
            with suppress(OSError):
                self._read(1_000_000)
        return bool(self.outcomes)


def _describe(outcome):
    """Return the status and body of an answer, or None if it failed."""
    return outcome if isinstance(outcome, tuple) else None


@pytest.mark.parametrize('state', _STATES)
@pytest.mark.parametrize('end', _ENDS)
@pytest.mark.parametrize('answer', _UNFRAMED_ANSWERS)
def test_reset_answer_without_length_is_incomplete(answer, end, state):
    """A reset that a write meets first made a part pass for the whole answer.

    So did a close before the rest of the request arrived, which is then reset.
    """
    payload = _UNFRAMED_ANSWERS[answer]
    outcome = _describe(_Exchange(state).answer(payload, end))
    body = b'' if answer == 'empty' else _PART
    expected = None
    if end == 'orderly' or (end == 'closed' and state == 'written'):
        expected = (200, body)
    assert outcome == expected


@pytest.mark.parametrize('state', _STATES)
@pytest.mark.parametrize('end', _ENDS)
@pytest.mark.parametrize('answer', _FRAMED_ANSWERS)
def test_answer_received_before_a_reset_is_complete(answer, end, state):
    """A failed write discarded an answer that had arrived whole."""
    status, body = _Exchange(state).answer(_FRAMED_ANSWERS[answer], end)
    assert status in {200, 204, 304}
    assert len(body) == {'length': 3000, 'chunks': 3000}.get(answer, 0)


@pytest.mark.parametrize('state', _STATES)
@pytest.mark.parametrize('end', _ENDS)
@pytest.mark.parametrize('answer', _CUT_ANSWERS)
def test_answer_cut_in_its_framing_is_incomplete(answer, end, state):
    """A server that stops within a head or body gives no whole answer."""
    outcome = _Exchange(state).answer(_CUT_ANSWERS[answer], end)
    assert outcome.connection_lost


@pytest.mark.parametrize('state', _STATES)
@pytest.mark.parametrize('answer', [*_FRAMED_ANSWERS, *_UNFRAMED_ANSWERS])
def test_reset_in_a_pause_of_reading_is_seen_after_it(answer, state):
    """Bytes that arrived before a reset are read after the pause, then it counts."""
    exchange = _Exchange(state)
    exchange.call.pause_reading()
    is_framed = answer in _FRAMED_ANSWERS
    payloads = _FRAMED_ANSWERS if is_framed else _UNFRAMED_ANSWERS
    exchange.sock.sendall(payloads[answer])
    exchange.reset()
    for _ in range(5):
        exchange.loop.tick(0.01)
    assert not exchange.outcomes
    exchange.call.resume_reading()
    exchange.loop.run_until(lambda: bool(exchange.outcomes), 0.001)
    assert bool(_describe(exchange.outcomes[0])) == is_framed


@pytest.mark.parametrize('answer', ['length', 'chunks'])
def test_connection_with_a_failed_write_is_not_reused(answer):
    """The rest of an earlier request can no longer be sent on it."""
    exchange = _Exchange('half written')
    exchange.answer(_FRAMED_ANSWERS[answer], 'reset')
    assert not exchange.client.rests_at(exchange.call.address)


def test_request_that_is_never_acknowledged_fails_its_answer(monkeypatch):
    """An error that something else had read left the call waiting for ever."""
    monkeypatch.setattr(
        'crankchute.adapters.connection_hub._SERVER_TIMEOUT_MS', 100
    )
    exchange = _Exchange('written')
    monkeypatch.setattr(exchange.client.hub, 'count_queued', lambda _sock: 1)
    outcome = exchange.answer(_UNFRAMED_ANSWERS['no length'], 'orderly')
    assert outcome.connection_lost


def test_close_without_a_known_cause_fails_the_answer():
    """An end that nobody had classified counted as one in order."""
    exchange = _Exchange('written')
    exchange.sock.sendall(_UNFRAMED_ANSWERS['no length'])
    exchange.loop.run_until(lambda: exchange.call.status, 0.001)
    exchange.client.hub.abort(exchange.call.sock)
    exchange.loop.run_until(lambda: bool(exchange.outcomes), 0.001)
    assert exchange.outcomes[0].connection_lost
