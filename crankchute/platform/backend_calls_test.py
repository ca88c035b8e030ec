"""Tests of BackendCalls over loopback sockets.

Each test sends the raw bytes of a response and compares the listener's calls.
"""

import socket
from contextlib import suppress

import pytest

from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.loop import Loop
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_fakes import make_job
from crankchute.core.forward_job import (
    AttemptOrder,
    Placement,
    PrefillHelper,
    RetryMode,
)
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.requests import RequestPayload
from crankchute.platform.server_calls import ServerCalls
from crankchute.ports.forwarding import AttemptListener

_LOOPBACK = '127.0.0.1'
_REQUEST_ID_HEADER = b'X-Crankchute-Request-Id: r1\r\n'
_VALID_HEADERS = (
    b'%bX-Crankchute-Response-Signature: s\r\n' % _REQUEST_ID_HEADER
)


class RecordingListener(AttemptListener):
    """Records the events of an attempt."""

    def __init__(self):
        self.events = []

    def on_head(self, head):
        self.events.append(('head', head.status))

    def on_body(self, chunk):
        self.events.append(('body', chunk))

    def on_event(self, event):
        self.events.append(('event', event.number))

    def on_end(self):
        self.events.append(('end', None))

    def on_not_run(self, rejection):
        self.events.append(('not_run', rejection.code))

    def on_failed(self, exc):
        self.events.append(('failed', exc.sent))

    @property
    def has_ended(self):
        return bool(self.events) and self.events[-1][0] in {
            'end',
            'not_run',
            'failed',
        }


class BackendHarness:
    """A BackendCalls adapter, and a socket on which tests act as the server."""

    def __init__(self):
        self.loop = Loop()
        self.client = HttpClient(timers=self.loop.timers).register(self.loop)
        self.server_calls = ServerCalls(self.client, self.loop.timers.clock)
        self.calls = BackendCalls(self.client, self.server_calls)
        self.listening_socket = socket.create_server((_LOOPBACK, 0))
        self.listening_socket.setblocking(False)
        port = self.listening_socket.getsockname()[1]
        self.backend = Backend(
            ListedServer(
                {
                    'id': 'i-1',
                    'kind': 'backend',
                    'address': f'{_LOOPBACK}:{port}',
                    'data_centre': 'one',
                }
            )
        )
        self.connections = []
        self.received = b''

    def send(
        self, *, request_id='r1', helpers=(), resume_after=None, **changes
    ):
        headers = [
            ('X-Crankchute-Request-Id', request_id),
            ('Host', 'a.example'),
        ]
        payload = RequestPayload('POST', '/p/x?y', headers, b'body')
        job = make_job(payload=payload, request_id=request_id, **changes)
        listener = RecordingListener()
        call = self.calls.send(
            job,
            Placement(self.backend, helpers=helpers),
            AttemptOrder(1, 900, resume_after),
            listener,
        )
        return call, listener

    def receive(self, end=b'body'):
        """Receive one request and return its bytes."""
        self.received = b''
        self.loop.run_until(lambda: self._has_received(end), 0.001)
        return self.received

    def answer(self, listener, payload, *, reset=False):
        connection = self.connections[-1]
        connection.sendall(payload)
        if reset:
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.loop.run_until(lambda: listener.has_ended, 0.001)

    def _has_received(self, end):
        with suppress(BlockingIOError):
            connection, _address = self.listening_socket.accept()
            connection.setblocking(False)
            self.connections.append(connection)
        for open_connection in self.connections:
            with suppress(BlockingIOError):
                self.received += open_connection.recv(65_536)
        return self.received.endswith(end)


def make_response(status, headers, body=b'ok'):
    return b'HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b' % (
        status,
        headers,
        len(body),
        body,
    )


def make_chunked_response(*parts):
    head = (
        b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n'
        % _VALID_HEADERS
    )
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in parts)
    return b'%b%b0\r\n\r\n' % (head, chunks)


@pytest.mark.parametrize(
    ('payload', 'expected'),
    [
        (
            make_response(200, _VALID_HEADERS),
            [('head', 200), ('body', b'ok'), ('end', None)],
        ),
        (
            make_response(500, _VALID_HEADERS),
            [('head', 500), ('body', b'ok'), ('end', None)],
        ),
        (make_response(200, _REQUEST_ID_HEADER), [('failed', True)]),
        (
            make_response(200, _VALID_HEADERS.replace(b'r1', b'r2')),
            [('failed', True)],
        ),
        (make_response(503, _REQUEST_ID_HEADER), [('failed', True)]),
        (make_response(429, _VALID_HEADERS), [('failed', True)]),
        (
            make_response(503, b'X-Crankchute-Not-Executed: 1\r\n'),
            [('not_run', 'full')],
        ),
        (
            make_response(400, b'X-Crankchute-Not-Executed: 1\r\n'),
            [('not_run', 'rejected')],
        ),
        (make_response(421, b''), [('not_run', 'moved')]),
        (b'garbage that is no answer\r\n\r\n', [('failed', True)]),
    ],
)
def test_response_of_plain_service_is_classified(payload, expected):
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    harness.answer(listener, payload)
    assert listener.events == expected


@pytest.mark.parametrize(
    ('payload', 'expected'),
    [
        (
            make_chunked_response(b'id: 1\ndata: a\n', b'\nid: 2\ndata: b\n\n'),
            ['head', 'event', 'event', 'end'],
        ),
        (
            make_chunked_response(b'id: 1\ndata: a\n\nid: 2'),
            ['head', 'event', 'failed'],
        ),
    ],
)
def test_stream_is_split_into_events(payload, expected):
    harness = BackendHarness()
    _call, listener = harness.send(is_stream=True, repeat=RetryMode.RESUME)
    harness.receive()
    harness.answer(listener, payload)
    assert [kind for kind, _detail in listener.events] == expected


@pytest.mark.parametrize(
    ('is_reset', 'end'),
    [(False, 'end'), (True, 'failed')],
)
def test_body_without_length_is_complete_only_on_clean_close(is_reset, end):
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    connection = harness.connections[-1]
    connection.sendall(b'HTTP/1.1 200 OK\r\n%b\r\nbody' % _VALID_HEADERS)
    harness.loop.run_until(lambda: len(listener.events) > 1, 0.001)
    if is_reset:
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    harness.loop.run_until(lambda: listener.has_ended, 0.001)
    assert listener.events[-1][0] == end


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
    ('events', 'kinds'),
    [
        (b'id: 1\ndata: a\n\n', ['head', 'event']),
        (b'id: 1\ndata: a\n\nid: 2\nda', ['head', 'event', 'failed']),
        (b'id: 1\ndata: a\n\nid: 2\ndata: b\n', ['head', 'event', 'failed']),
        (b'id: 1', ['head', 'failed']),
    ],
)
def test_stream_without_length_that_is_cut_within_an_event_fails(
    events, kinds, is_reset
):
    harness = BackendHarness()
    _call, listener = harness.send(is_stream=True, repeat=RetryMode.RESUME)
    harness.receive()
    connection = harness.connections[-1]
    connection.sendall(
        b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (_VALID_HEADERS, events)
    )
    expected = kinds
    if kinds[-1] != 'failed':
        expected = [*kinds, 'failed' if is_reset else 'end']
    expected_before = [kind for kind in expected if kind in {'head', 'event'}]
    harness.loop.run_until(
        lambda: len(listener.events) >= len(expected_before), 0.001
    )
    if is_reset:
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    harness.loop.run_until(lambda: listener.has_ended, 0.001)
    assert [kind for kind, _detail in listener.events] == expected
    assert not harness.client.has_idle(harness.backend.listed.address)


def test_request_has_forwarding_headers():
    harness = BackendHarness()
    harness.send(
        account='acc',
        resume_after=7,
        helpers=(
            PrefillHelper(harness.backend),
            PrefillHelper(harness.backend, 't9', 10),
        ),
    )
    request = harness.receive().decode()
    head, _blank, body = request.partition('\r\n\r\n')
    lines = head.split('\r\n')
    host, port = harness.backend.listed.address
    assert lines[0] == 'POST /p/x?y HTTP/1.1'
    assert 'Host: a.example' in lines
    assert 'X-Crankchute-Request-Id: r1' in lines
    assert 'x-crankchute-deadline-ms: 900' in lines
    assert 'x-crankchute-target-instance: i-1' in lines
    assert 'x-crankchute-tenant: acc' in lines
    assert 'last-event-id: 7' in lines
    assert f'helpers: {host}:{port},{host}:{port}/t9' in lines
    assert body == 'body'


def test_surplus_bytes_after_response_close_the_connection():
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    payload = make_response(200, _VALID_HEADERS)
    harness.answer(listener, payload * 2)
    harness.send()
    harness.receive()
    assert len(harness.connections) == 2


def test_bytes_on_idle_connection_close_it():
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    harness.answer(listener, make_response(200, _VALID_HEADERS))
    address = harness.backend.listed.address
    assert harness.client.has_idle(address)
    harness.connections[-1].sendall(b'late')
    harness.loop.run_until(lambda: not harness.client.has_idle(address), 0.001)


@pytest.mark.parametrize(
    ('headers', 'is_reusable'),
    [
        (b'', True),
        (b'Keep-Alive: timeout=5\r\n', True),
        (b'Keep-Alive: timeout=0\r\n', False),
        (b'Connection: close\r\n', False),
    ],
)
def test_connection_reuse_follows_response_headers(headers, is_reusable):
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    harness.answer(listener, make_response(200, _VALID_HEADERS + headers))
    harness.loop.timers.after(2, listener.events.clear)
    harness.loop.run_until(lambda: not listener.events, 0.001)
    assert (
        harness.client.has_idle(harness.backend.listed.address) == is_reusable
    )


@pytest.mark.parametrize('headers', [b'', b'Keep-Alive: timeout=5\r\n'])
def test_request_that_runs_once_avoids_connections_idle_for_long(headers):
    """A server may be closing them; the request would then be lost."""
    harness = BackendHarness()
    _call, listener = harness.send(repeat=RetryMode.ONCE)
    harness.receive()
    harness.answer(listener, make_response(200, _VALID_HEADERS + headers))
    harness.loop.timers.after(750, listener.events.clear)
    harness.loop.run_until(lambda: not listener.events, 0.001)
    harness.send(repeat=RetryMode.ONCE)
    harness.receive()
    assert len(harness.connections) == 2
