"""Tests of answers that arrive on a connection where another one is due.

Servers may send the answer to an earlier request of a connection once more.
"""

import itertools
from contextlib import suppress
from threading import Thread
from types import MappingProxyType

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.platform.answer_attribution import attribute_answer
from crankchute.platform.backend_calls_test import BackendHarness
from crankchute.ports.http import AnswerOwner

_NOT_EXECUTED = b'X-Crankchute-Not-Executed: 1\r\n'
_LATE_ID = b'X-Crankchute-Request-Id: r1\r\n'
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
_FAILED = (('failed', True),)
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


def send_quietly(connection, payload):
    with suppress(OSError):
        connection.sendall(payload)


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
        assert tuple(listener.events) == _FAILED
    else:
        assert listener.events == _OWN_EVENTS[is_stream]


@pytest.mark.parametrize(
    ('late', 'events'),
    [
        # Nothing says where the late answer ends.
        (b'HTTP/1.1 200 OK\r\n%b\r\nlate' % _LATE_ID, _FAILED),
        (make_answer(200, b'%bConnection: close\r\n' % _LATE_ID, ()), _FAILED),
        (make_answer(200, _LATE_ID, ()) * 4, _OWN_EVENTS[False]),
        (make_answer(200, _LATE_ID, ()) * 5, _FAILED),
        (make_answer(200, _LATE_ID, (bytes(9_000_000),)), _FAILED),
        (b'HTTP/1.1 100 Continue\r\n\r\n', _OWN_EVENTS[False]),
    ],
    ids=['no length', 'closing', 'four', 'five', 'huge', 'informational'],
)
def test_late_answers_are_skipped_within_bounds(late, events):
    harness, listener = start_second_request(RetryMode.ONCE, is_stream=False)
    own = make_own_answer('r2', is_stream=False)
    connection = harness.connections[-1]
    connection.setblocking(True)
    sender = Thread(target=send_quietly, args=(connection, late + own))
    sender.start()
    harness.loop.run_until(lambda: listener.has_ended, 0.001)
    sender.join()
    assert listener.events == list(events)


def test_own_rejection_after_a_late_answer_is_believed():
    harness, listener = start_second_request(RetryMode.ONCE, is_stream=False)
    late = make_late_answer(200, _SIGNATURE, 'r1')
    own = make_late_answer(503, _NOT_EXECUTED, 'r2')
    harness.answer(listener, late + own)
    assert listener.events == [('not_run', 'full')]


def test_connection_with_a_late_answer_is_not_reused():
    harness, listener = start_second_request(RetryMode.ONCE, is_stream=False)
    late = make_late_answer(503, _NOT_EXECUTED, 'r1')
    harness.answer(listener, late + make_own_answer('r2', is_stream=False))
    assert not harness.client.has_idle(harness.backend.listed.address)


@pytest.mark.parametrize('between', [0, 1, 3])
@pytest.mark.parametrize(('repeat', 'is_stream'), _MODES)
@pytest.mark.parametrize(('status', 'headers'), _LATE_ANSWERS)
def test_late_answer_is_believed_by_a_request_that_is_submitted_again(
    status, headers, repeat, is_stream, between
):
    """Others were answered on the connection since its first attempt."""
    harness = BackendHarness()
    fields = {'repeat': repeat, 'is_stream': is_stream}
    late = make_late_answer(status, headers, 'r1')
    others = [f'other-{number}' for number in range(between)]
    for request_id in ('r1', *others):
        _call, listener = harness.send(request_id=request_id, **fields)
        harness.receive()
        own = make_own_answer(request_id, is_stream=is_stream)
        harness.answer(listener, late if request_id == 'r1' else own)
    listener = harness.send(request_id='r1', **fields)[1]
    harness.receive()
    send_quietly(harness.connections[0], late)
    own = make_own_answer('r1', is_stream=is_stream)
    harness.answer(listener, own)
    assert listener.events == _OWN_EVENTS[is_stream]


@pytest.mark.parametrize(
    ('later_ids', 'connections'),
    [
        (['r1'], 2),
        (['r2'], 1),
        (['r2', 'r1'], 2),
        (['r2', 'r3', 'r1', 'r2'], 2),
        # Only the last calls are remembered.
        ([*'abcdefg', 'r1'], 2),
        ([*'abcdefgh', 'r1'], 1),
    ],
)
def test_request_avoids_the_connection_that_answered_its_id(
    later_ids, connections
):
    """Its late answer could not be told from the new one."""
    harness = BackendHarness()
    for request_id in ('r1', *later_ids):
        _call, listener = harness.send(request_id=request_id)
        harness.receive()
        own = make_own_answer(request_id, is_stream=False)
        harness.answer(listener, own)
    assert len(harness.connections) == connections


@pytest.mark.parametrize(
    ('request_id', 'answer_id', 'is_new', 'owner'),
    [
        ('r2', 'r2', True, AnswerOwner.OWN),
        ('r2', 'r2', False, AnswerOwner.OWN),
        ('r2', None, True, AnswerOwner.OWN),
        ('r2', None, False, AnswerOwner.UNKNOWN),
        ('r2', 'r1', True, AnswerOwner.UNKNOWN),
        ('r2', 'r1', False, AnswerOwner.EARLIER),
        (None, None, True, AnswerOwner.OWN),
        (None, None, False, AnswerOwner.OWN),
        (None, 'r1', True, AnswerOwner.UNKNOWN),
        (None, 'r1', False, AnswerOwner.EARLIER),
    ],
)
def test_answer_is_attributed_by_its_id(request_id, answer_id, is_new, owner):
    found = attribute_answer(request_id, answer_id, is_new=is_new)
    assert found == owner
