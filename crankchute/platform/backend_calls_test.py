"""Tests of requests to backend servers, over loopback sockets.

A small server plays each answer that the platform's pages tell of, byte by
byte; the listener says what the core would hear.
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
_ID = b'X-Crankchute-Request-Id: r1\r\n'
_SIGNED = b'%bX-Crankchute-Response-Signature: s\r\n' % _ID


class Heard(AttemptListener):
    """Keeps what is told of an attempt."""

    def __init__(self):
        self.told = []

    def on_head(self, head):
        self.told.append(('head', head.status))

    def on_body(self, chunk):
        self.told.append(('body', chunk))

    def on_event(self, event):
        self.told.append(('event', event.number))

    def on_end(self):
        self.told.append(('end', None))

    def on_not_run(self, rejection):
        self.told.append(('not_run', rejection.code))

    def on_failed(self, exc):
        self.told.append(('failed', exc.sent))

    @property
    def has_end(self):
        return bool(self.told) and self.told[-1][0] in {
            'end',
            'not_run',
            'failed',
        }


class World:
    """A listening socket that a test plays a server on."""

    def __init__(self):
        self.loop = Loop()
        self.client = HttpClient(timers=self.loop.timers).register(self.loop)
        calls = ServerCalls(self.client, self.loop.timers.clock)
        self.calls = BackendCalls(self.client, calls)
        self.listening = socket.create_server((_LOOPBACK, 0))
        self.listening.setblocking(False)
        port = self.listening.getsockname()[1]
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
        self.conns = []
        self.received = b''

    def send(self, *, helpers=(), resume_after=None, **changes):
        headers = [('X-Crankchute-Request-Id', 'r1'), ('Host', 'a.example')]
        payload = RequestPayload('POST', '/p/x?y', headers, b'body')
        job = make_job(payload=payload, **changes)
        heard = Heard()
        call = self.calls.send(
            job,
            Placement(self.backend, helpers=helpers),
            AttemptOrder(1, 900, resume_after),
            heard,
        )
        return call, heard

    def receive(self):
        """Take one request; returns its bytes."""
        self.received = b''
        self.loop.run_until(self._has_request, 0.001)
        return self.received

    def answer(self, heard, payload, *, reset=False):
        conn = self.conns[-1]
        conn.sendall(payload)
        if reset:
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.loop.run_until(lambda: heard.has_end, 0.001)

    def _has_request(self):
        with suppress(BlockingIOError):
            conn, _address = self.listening.accept()
            conn.setblocking(False)
            self.conns.append(conn)
        for known in self.conns:
            with suppress(BlockingIOError):
                self.received += known.recv(65_536)
        return self.received.endswith(b'body')


def whole(status, headers, body=b'ok'):
    return b'HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b' % (
        status,
        headers,
        len(body),
        body,
    )


def chunked(*parts):
    head = b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n' % _SIGNED
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(one), one) for one in parts)
    return b'%b%b0\r\n\r\n' % (head, chunks)


@pytest.mark.parametrize(
    ('payload', 'told'),
    [
        (whole(200, _SIGNED), [('head', 200), ('body', b'ok'), ('end', None)]),
        (whole(500, _SIGNED), [('head', 500), ('body', b'ok'), ('end', None)]),
        (whole(200, _ID), [('failed', True)]),
        (whole(200, _SIGNED.replace(b'r1', b'r2')), [('failed', True)]),
        (whole(503, _ID), [('failed', True)]),
        (whole(429, _SIGNED), [('failed', True)]),
        (
            whole(503, b'X-Crankchute-Not-Executed: 1\r\n'),
            [('not_run', 'full')],
        ),
        (
            whole(400, b'X-Crankchute-Not-Executed: 1\r\n'),
            [('not_run', 'rejected')],
        ),
        (whole(421, b''), [('not_run', 'moved')]),
        (b'garbage that is no answer\r\n\r\n', [('failed', True)]),
    ],
)
def test_answers_of_plain_services(payload, told):
    world = World()
    _call, heard = world.send()
    world.receive()
    world.answer(heard, payload)
    assert heard.told == told


@pytest.mark.parametrize(
    ('payload', 'told'),
    [
        (
            chunked(b'id: 1\ndata: a\n', b'\nid: 2\ndata: b\n\n'),
            ['head', 'event', 'event', 'end'],
        ),
        (chunked(b'id: 1\ndata: a\n\nid: 2'), ['head', 'event', 'failed']),
    ],
)
def test_streams_are_told_in_whole_events(payload, told):
    world = World()
    _call, heard = world.send(is_stream=True, repeat=RetryMode.RESUME)
    world.receive()
    world.answer(heard, payload)
    assert [word for word, _what in heard.told] == told


@pytest.mark.parametrize(
    ('is_reset', 'end'),
    [(False, 'end'), (True, 'failed')],
)
def test_body_without_a_length_is_whole_only_at_a_clean_end(is_reset, end):
    world = World()
    _call, heard = world.send()
    world.receive()
    conn = world.conns[-1]
    conn.sendall(b'HTTP/1.1 200 OK\r\n%b\r\nbody' % _SIGNED)
    world.loop.run_until(lambda: len(heard.told) > 1, 0.001)
    if is_reset:
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    conn.close()
    world.loop.run_until(lambda: heard.has_end, 0.001)
    assert heard.told[-1][0] == end


def test_what_a_server_is_told():
    world = World()
    world.send(
        account='acc',
        resume_after=7,
        helpers=(
            PrefillHelper(world.backend),
            PrefillHelper(world.backend, 't9', 10),
        ),
    )
    seen = world.receive().decode()
    head, _blank, body = seen.partition('\r\n\r\n')
    lines = head.split('\r\n')
    host, port = world.backend.listed.address
    assert lines[0] == 'POST /p/x?y HTTP/1.1'
    assert 'Host: a.example' in lines
    assert 'X-Crankchute-Request-Id: r1' in lines
    assert 'x-crankchute-deadline-ms: 900' in lines
    assert 'x-crankchute-target-instance: i-1' in lines
    assert 'x-crankchute-tenant: acc' in lines
    assert 'last-event-id: 7' in lines
    assert f'helpers: {host}:{port},{host}:{port}/t9' in lines
    assert body == 'body'


def test_bytes_after_an_answer_end_the_connection():
    world = World()
    _call, heard = world.send()
    world.receive()
    extra = whole(200, _SIGNED)
    world.answer(heard, extra * 2)
    world.send()
    world.receive()
    assert len(world.conns) == 2


def test_bytes_on_an_idle_connection_end_it():
    world = World()
    _call, heard = world.send()
    world.receive()
    world.answer(heard, whole(200, _SIGNED))
    address = world.backend.listed.address
    assert world.client.has_idle(address)
    world.conns[-1].sendall(b'late')
    world.loop.run_until(lambda: not world.client.has_idle(address), 0.001)


@pytest.mark.parametrize(
    ('headers', 'kept'),
    [
        (b'', True),
        (b'Keep-Alive: timeout=5\r\n', True),
        (b'Keep-Alive: timeout=0\r\n', False),
        (b'Connection: close\r\n', False),
    ],
)
def test_connections_are_kept_as_the_server_says(headers, kept):
    world = World()
    _call, heard = world.send()
    world.receive()
    world.answer(heard, whole(200, _SIGNED + headers))
    world.loop.timers.after(2, heard.told.clear)
    world.loop.run_until(lambda: not heard.told, 0.001)
    assert world.client.has_idle(world.backend.listed.address) == kept
