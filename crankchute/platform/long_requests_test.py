"""Tests of bursts of long requests over real sockets, with little memory."""

import random

import pytest

from crankchute.adapters import connection_hub, forward_server
from crankchute.adapters.http_client import build_request_parts
from crankchute.core.forward_job import RetryMode
from crankchute.platform.slow_readers_relay_test import Relay

#: Three long requests of one caller fit into it, and six may wait.
_MEMORY = 32_000_000
_LONG = 2_000_000
_FITTING = 3
_WAITING = 6
_ADDRESS = ('127.0.0.1', 1)


@pytest.fixture
def relay(monkeypatch):
    """Provide a relay with little memory, whose servers may be slow to answer."""
    for owner, name in (
        (connection_hub, '_SERVER_TIMEOUT_MS'),
        (forward_server, '_BOUNDED_TIMEOUT_MS'),
    ):
        monkeypatch.setattr(owner, name, 0)
    made = Relay(memory=_MEMORY)
    made.repeat = RetryMode.ONCE
    made.chooser.max_silence_ms = None
    yield made
    made.close()


def make_body(number, size=_LONG):
    return random.Random(number).randbytes(size)


def find_unanswered(relay):
    return [
        one
        for one in relay.connections
        if len(one.received) > _LONG and not one.pending
    ]


def answer_one(relay):
    """Answer the request that has waited longest, and return its body."""
    relay.run(lambda: find_unanswered(relay))
    connection = find_unanswered(relay)[0]
    body = connection.received[-_LONG:]
    connection.start('Content-Length: 0')
    connection.received = b''
    relay.run(lambda: not connection.pending)
    return body


def fill(relay, count=_FITTING):
    """Let long requests arrive that are not answered."""
    for number in range(count):
        relay.call('/plain', make_body(number))
        relay.settle()


def read_answer(relay, caller):
    def is_answered():
        caller.read()
        return caller.is_whole or caller.is_closed

    relay.run(is_answered)
    return caller.status


def test_burst_of_long_requests_stays_within_the_memory(relay):
    """Requests in memory were unbounded, and the process was killed for it."""
    bodies = [make_body(number) for number in range(_FITTING + _WAITING)]
    callers = [relay.call('/plain', body) for body in bodies]
    for _ in bodies:
        relay.settle()
        held = sum(len(one.received) for one in relay.connections)
        assert held < _MEMORY / 4
        body = answer_one(relay)
        caller = callers[bodies.index(body)]
        assert read_answer(relay, caller) == 200
    assert not relay.backpressure.gate.memory.used


def test_small_requests_go_on_while_long_ones_wait(relay):
    """A burst must not delay or end the requests of others."""
    fill(relay, _FITTING + 1)
    assert relay.backpressure.gate.memory.waiting
    known = len(relay.connections)
    small = relay.call('/plain', b'small')
    relay.run(lambda: len(relay.connections) > known)
    connection = relay.connections[-1]
    relay.run(lambda: connection.received.endswith(b'small'))
    connection.start('Content-Length: 0')
    assert read_answer(relay, small) == 200


def test_refusal_reaches_a_caller_that_is_still_sending(relay):
    """A close with unread bytes resets the connection and loses the answer."""
    fill(relay, _FITTING + _WAITING)
    refused = relay.call('/plain', make_body(0))
    relay.run(lambda: not refused.pending)
    relay.settle()
    answer = refused.sock.recv(_LONG)
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in answer


def test_waiting_request_is_refused_before_its_deadline(relay):
    """A request that cannot be served in time is told so before it is late."""
    fill(relay)
    waiting = relay.call('/plain', make_body(0))
    relay.settle()
    assert relay.backpressure.gate.memory.waiting
    relay.advance(5200)
    assert read_answer(relay, waiting) == 503


def test_memory_is_free_after_callers_have_left(relay):
    """Connections that close at any time must not keep memory."""
    fill(relay, _FITTING + _WAITING)
    for caller in relay.callers:
        caller.sock.close()
    relay.callers.clear()
    relay.run(lambda: not relay.backpressure.gate.memory.used)
    relay.settle()
    assert not relay.backpressure.gate.memory.waiting


@pytest.mark.parametrize(('size', 'parts'), [(65_536, 1), (65_537, 2)])
def test_long_request_is_sent_without_a_copy(size, parts):
    """Each copy of a burst of long requests takes its memory once more."""
    body = bytes(size)
    built = build_request_parts('POST', _ADDRESS, '/', body, ())
    assert len(built) == parts
    assert (parts == 1) or built[-1].obj is body
    _head, _separator, sent = b''.join(built).partition(b'\r\n\r\n')
    assert sent == body
