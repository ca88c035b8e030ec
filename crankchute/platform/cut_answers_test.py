"""Tests of answers whose server stops at any byte of them.

No beginning of an answer may pass for a whole one.  Only an answer without a
length that its server ends in order is whole wherever it ends in its body.
"""

import socket
import struct
from http import HTTPStatus
from types import MappingProxyType

import pytest

from crankchute.adapters.http_call import HttpCall
from crankchute.core.forward_fakes import make_job
from crankchute.core.forward_job import RetryMode
from crankchute.platform.backend_calls import AttemptResponseSink
from crankchute.platform.backend_calls_test import RecordingListener
from crankchute.platform.relay_calls import RelayResponseSink
from crankchute.platform.slow_readers_relay_test import Relay

_RESET = 'receive: Connection reset by peer'
_IDS = b'X-Crankchute-Request-Id: r1\r\nX-Crankchute-Response-Signature: s\r\n'
_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
_BODY = b'ten bytes.'
_LENGTH = b'Content-Length: %d\r\n\r\n'
_CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
_LAST_CHUNK = b'\r\n%b\r\n0\r\n\r\n' % _BODY
_FRAMED = MappingProxyType(
    {
        'length': b'HTTP/1.1 200 OK\r\n%b%b%b' % (_IDS, _LENGTH % 10, _BODY),
        'empty': b'HTTP/1.1 200 OK\r\n%b%b'
        % (_IDS, b'Content-Length: 0\r\n\r\n'),
        'chunks': b'HTTP/1.1 200 OK\r\n%b%b' % (_IDS, _CHUNKS % (10, _BODY)),
        'events in chunks': b'HTTP/1.1 200 OK\r\n%b%b'
        % (_IDS, _CHUNKS % (len(_EVENTS), _EVENTS)),
        'events with length': b'HTTP/1.1 200 OK\r\n%b%b%b'
        % (_IDS, _LENGTH % len(_EVENTS), _EVENTS),
        'no content': b'HTTP/1.1 204 No Content\r\n%b\r\n' % _IDS,
        'not modified': b'HTTP/1.1 304 Not Modified\r\n%b%b'
        % (_IDS, _LENGTH % 10),
        'error': b'HTTP/1.1 500 Error\r\n%b%b%b'
        % (_IDS, _LENGTH % 5, b'error'),
        'informational before': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        b'HTTP/1.1 200 OK\r\n%b%b%b' % (_IDS, _LENGTH % 10, _BODY),
    }
)
_UNFRAMED = MappingProxyType(
    {
        'no length': b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (_IDS, _BODY),
        'events': b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (_IDS, _EVENTS),
    }
)
_REJECTION = (
    b'HTTP/1.1 503 Full\r\nX-Crankchute-Request-Id: r1\r\n'
    b'X-Crankchute-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull'
)


class FakePlacement:
    """The placement of a relayed attempt."""

    server = None


class FakeHub:
    """Takes the bytes of requests."""

    def write(self, sock, part):
        """Discard a part of a request."""


class FakeClient:
    """The client of a call whose bytes a test provides."""

    hub = FakeHub()

    def attach(self, call):
        """See HttpClient."""

    def detach(self, call, *, keep):
        """See HttpClient."""

    def discard(self, sock):
        """See HttpClient."""


def play(received, error, *, relayed, is_stream):
    """Return the last event of an attempt whose server stops."""
    repeat = RetryMode.RESUME if is_stream else RetryMode.ONCE
    job = make_job(request_id='r1', is_stream=is_stream, repeat=repeat)
    listener = RecordingListener()
    if relayed:
        sink = RelayResponseSink(job, listener, FakePlacement())
    else:
        sink = AttemptResponseSink(job, listener)
    call = HttpCall(FakeClient(), ('127.0.0.1', 1), (b'x',), sink, None)
    sink.call = call
    call.start('socket', None)
    call.receive(received)
    call.receive_end(error)
    assert listener.has_ended
    return listener.events[-1][0]


def list_cuts(answer):
    return [answer[:size] for size in range(1, len(answer))]


@pytest.mark.parametrize('relayed', [False, True])
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('error', [None, _RESET])
@pytest.mark.parametrize('answer', _FRAMED)
def test_beginning_of_an_answer_is_no_answer(answer, error, is_stream, relayed):
    """A server that stops in a head or body must not seem to have answered."""
    options = {'relayed': relayed, 'is_stream': is_stream}
    whole = _FRAMED[answer]
    ends = {play(part, error, **options) for part in list_cuts(whole)}
    assert ends == {'failed'}
    # The body of a stream must consist of events.
    is_whole = not (is_stream and whole.endswith((_BODY, _LAST_CHUNK)))
    assert (play(whole, error, **options) == 'end') == is_whole


@pytest.mark.parametrize('relayed', [False, True])
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('answer', _UNFRAMED)
def test_answer_without_length_fails_in_its_head_or_by_a_reset(
    answer, is_stream, relayed
):
    """Only the end in order of its connection tells that it is whole."""
    options = {'relayed': relayed, 'is_stream': is_stream}
    whole = _UNFRAMED[answer]
    head_size = whole.index(b'\r\n\r\n') + 4
    for part in list_cuts(whole):
        assert play(part, _RESET, **options) == 'failed'
        if len(part) < head_size:
            assert play(part, None, **options) == 'failed'
    assert play(whole, _RESET, **options) == 'failed'
    is_whole = not is_stream or answer == 'events'
    assert (play(whole, None, **options) == 'end') == is_whole


@pytest.mark.parametrize('error', [None, _RESET])
def test_rejection_counts_from_the_end_of_its_head(error):
    """A cut head must not promise that the request did not run."""
    head_size = _REJECTION.index(b'\r\n\r\n') + 4
    for part in list_cuts(_REJECTION):
        end = play(part, error, relayed=False, is_stream=False)
        expected = 'failed' if len(part) < head_size else 'not_run'
        assert end == expected


@pytest.fixture
def relay():
    """Provide a relay between raw sockets."""
    made = Relay()
    made.chooser.max_silence_ms = None
    yield made
    made.close()


@pytest.mark.parametrize('repeat', [RetryMode.ONCE, RetryMode.AGAIN])
@pytest.mark.parametrize('reads_whole', [False, True])
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('path', ['/plain', '/stream'])
@pytest.mark.parametrize('size', [9, 20, 60, -60, -25, -13, -12])
def test_caller_gets_no_success_for_a_cut_answer(
    relay, size, path, resets, reads_whole, repeat
):
    """A head that stops must not become a success with an empty body."""
    relay.repeat = repeat
    caller = relay.call(path, bytes(8_000_000))
    known = 0
    while not (caller.is_whole or caller.is_closed):
        if len(relay.connections) > known:
            connection = relay.connections[known]
            _cut_answer(relay, connection, size, resets, reads_whole)
            known += 1
        relay.settle(5)
        caller.read()
    assert caller.status == HTTPStatus.BAD_GATEWAY
    assert known == {RetryMode.ONCE: 1, RetryMode.AGAIN: 2}[repeat]


def _cut_answer(relay, connection, size, resets, reads_whole):
    """Send a part of an answer on a connection, and close it."""
    wanted = 8_000_000 if reads_whole else 1
    relay.run(lambda: len(connection.received) > wanted)
    connection.reads = reads_whole
    connection.start('Content-Length: 10')
    answer = connection.pending + _BODY
    connection.pending = answer[:size]
    relay.run(lambda: not connection.pending)
    if resets:
        linger = struct.pack('ii', 1, 0)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.is_cut = True
    connection.sock.close()
