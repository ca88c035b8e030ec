"""Tests of answers that arrive on a connection where another one is due.

Servers may send the answer to an earlier request of a connection once more.
"""

import itertools
from types import MappingProxyType

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.platform.backend_calls_test import BackendHarness

_NOT_EXECUTED = b'X-Crankchute-Not-Executed: 1\r\n'
_SIGNATURE = b'X-Crankchute-Response-Signature: s\r\n'
_LATE_ANSWERS = (
    (503, _NOT_EXECUTED),
    (421, b''),
    (429, _NOT_EXECUTED),
    (200, _SIGNATURE),
    (206, _SIGNATURE),
    (500, _SIGNATURE),
)
#: The status whose late answer is a stream.
_STREAM_STATUS = 206
_MODES = (
    (RetryMode.ONCE, False),
    (RetryMode.AGAIN, False),
    (RetryMode.ONCE, True),
    (RetryMode.RESUME, True),
)
_EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
_OWN_EVENTS = MappingProxyType(
    {
        False: [('head', 200), ('body', b'own'), ('end', None)],
        True: [('head', 200), ('event', 1), ('event', 2), ('end', None)],
    }
)


def make_answer(status, headers, parts, *, is_stream=False):
    """Return the bytes of an answer with a length, or in chunks."""
    framing = b'Content-Length: %d' % sum(map(len, parts))
    if is_stream:
        framing = b'Transfer-Encoding: chunked'
        parts = [
            *(b'%x\r\n%b\r\n' % (len(part), part) for part in parts),
            b'0\r\n\r\n',
        ]
    head = b'HTTP/1.1 %d X\r\n%b%b\r\n\r\n' % (status, headers, framing)
    return head + b''.join(parts)


def name_request(request_id):
    """Return the header with a request id, or no header."""
    if request_id is None:
        return b''
    return b'X-Crankchute-Request-Id: %b\r\n' % request_id.encode()


def make_late_answer(status, headers, request_id):
    return make_answer(
        status,
        name_request(request_id) + headers,
        (b'la', b'te'),
        is_stream=status == _STREAM_STATUS,
    )


def make_own_answer(request_id, *, is_stream):
    headers = name_request(request_id) + _SIGNATURE
    parts = _EVENTS if is_stream else (b'own',)
    return make_answer(200, headers, parts, is_stream=is_stream)


def start_second_request(repeat, *, is_stream):
    """Return a harness whose only connection has served request r1.

    Returns:
      The harness, and the listener of r2, whose request was received.
    """
    harness = BackendHarness()
    fields = {'repeat': repeat, 'is_stream': is_stream}
    for request_id in ('r1', 'r2'):
        _call, listener = harness.send(request_id=request_id, **fields)
        harness.receive()
        if request_id == 'r1':
            first = make_own_answer('r1', is_stream=is_stream)
            harness.answer(listener, first)
    assert len(harness.connections) == 1
    return harness, listener


def answer_late(harness, listener, late, own, *, is_split):
    """Send a late answer and the one that is due."""
    if is_split:
        harness.connections[-1].sendall(late)
        turns = itertools.count()
        harness.loop.run_until(lambda: next(turns) > 2, 0.001)
        if listener.has_ended:
            return
        late = b''
    harness.answer(listener, late + own)


@pytest.mark.parametrize('is_split', [False, True])
@pytest.mark.parametrize(('repeat', 'is_stream'), _MODES)
@pytest.mark.parametrize('late_id', ['r1', None])
@pytest.mark.parametrize(('status', 'headers'), _LATE_ANSWERS)
def test_late_answer_is_not_taken_for_the_one_that_is_due(
    status, headers, late_id, repeat, is_stream, is_split
):
    harness, listener = start_second_request(repeat, is_stream=is_stream)
    late = make_late_answer(status, headers, late_id)
    own = make_own_answer('r2', is_stream=is_stream)
    answer_late(harness, listener, late, own, is_split=is_split)
    if late_id is None:
        assert listener.events == [('failed', True)]
    else:
        assert listener.events == _OWN_EVENTS[is_stream]
