"""Tests that bytes without end from a server end the attempt, not the process."""

from contextlib import suppress

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.platform.backend_calls_test import (
    BackendHarness,
    make_response,
)
from crankchute.platform.odd_statuses_test import CALLS
from crankchute.platform.standin_engine import Behaviour
from crankchute.platform.standin_world import (
    ANSWERED,
    StandinWorld,
    ask_often,
)

_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Crankchute-Request-Id: r1\r\n'
    b'X-Crankchute-Response-Signature: s\r\n'
)
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_FILLER = b'x' * 65_536
#: Far more than any part of an answer may take.
_MAX_ACCEPTED = 32 * 1024 * 1024


def pour(harness, listener, payload, filler):
    """Send bytes until the attempt has ended, or too many were accepted."""
    connection = harness.connections[-1]
    connection.sendall(payload)
    sent = []

    def has_ended():
        with suppress(BlockingIOError, BrokenPipeError, ConnectionResetError):
            sent.append(connection.send(filler))
        return listener.has_ended or sum(sent) > _MAX_ACCEPTED

    harness.loop.run_until(has_ended, 0.0001)
    return sum(sent)


class OtherCall:
    """A call that ends with an event."""

    def __init__(self, events, last):
        self._events = events
        self._last = last

    @property
    def has_ended(self):
        return self._last in self._events


@pytest.mark.parametrize('is_stream', [True, False])
@pytest.mark.parametrize(
    ('payload', 'filler', 'end'),
    [
        # A head that does not end.
        (b'HTTP/1.1 200 OK\r\nX: ', _FILLER, 'failed'),
        (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 9000, 'failed'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 3000, 'failed'),
        (b'HTTP/1.1 200 ', _FILLER, 'failed'),
        # A body, or an event, that does not end.
        (b'%b\r\n' % _HEAD, _FILLER, 'failed'),
        (_CHUNKED, b'10000\r\n%b\r\n' % _FILLER, 'failed'),
        (b'%bContent-Length: 99999999999\r\n\r\n' % _HEAD, _FILLER, 'failed'),
        # The frame of a chunked body.
        (b'%b1;' % _CHUNKED, _FILLER, 'failed'),
        (b'%b0\r\n' % _CHUNKED, b'X: y\r\n' * 9000, 'failed'),
        # The request did not run, whatever follows.
        (
            b'HTTP/1.1 503 Full\r\nX-Crankchute-Not-Executed: 1\r\n\r\n',
            _FILLER,
            'not_run',
        ),
    ],
)
def test_bytes_without_end_are_buffered(payload, filler, end, is_stream):
    harness = BackendHarness()
    repeat = RetryMode.RESUME if is_stream else RetryMode.AGAIN
    _call, listener = harness.send(is_stream=is_stream, repeat=repeat)
    harness.receive()
    sent = pour(harness, listener, payload, filler)
    assert listener.has_ended
    assert listener.events[-1][0] == end
    assert sent <= _MAX_ACCEPTED


@pytest.mark.parametrize('name', ['relay', 'order', 'store'])
@pytest.mark.parametrize(
    ('payload', 'filler'),
    [
        (b'HTTP/1.1 200 OK\r\nX: ', _FILLER),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 3000),
        (b'%b\r\n' % _HEAD, _FILLER),
        (_CHUNKED, b'10000\r\n%b\r\n' % _FILLER),
        (b'%bContent-Length: 99999999999\r\n\r\n' % _HEAD, _FILLER),
        (b'%b1;' % _CHUNKED, _FILLER),
        (b'%b0\r\n' % _CHUNKED, b'X: y\r\n' * 9000),
        (b'\x00\x01', _FILLER),
    ],
)
def test_bytes_without_end_to_other_calls_are_buffered(name, payload, filler):
    harness = BackendHarness()
    start, expected = CALLS[name]
    outcomes = []
    start(harness, outcomes)
    sent = pour(harness, OtherCall(outcomes[0], expected), payload, filler)
    assert outcomes[0][-1] == expected
    assert sent <= _MAX_ACCEPTED


def test_bytes_after_the_stated_length_are_not_read():
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    answer = make_response(200, _HEAD.partition(b'\r\n')[2])
    pour(harness, listener, answer + _FILLER, _FILLER)
    assert listener.events == [('head', 200), ('body', b'ok'), ('end', None)]
    assert not harness.client.has_idle(harness.backend.listed.address)


@pytest.mark.parametrize('is_plain', [True, False])
def test_request_is_served_by_another_server_than_an_endless_one(is_plain):
    world = StandinWorld(instances=1, engines=6, is_plain=is_plain)
    endless = world.engines[0]
    endless.next_behaviours.append(Behaviour.ENDLESS)
    while not endless.arrivals:
        assert set(ask_often(world, world.nodes[0])) <= ANSWERED
    assert not endless.next_behaviours
