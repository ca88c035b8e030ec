"""Integration tests of callers and servers that read slowly."""

import random
import socket

import pytest

from crankchute.adapters import (
    backpressure,
    connection_hub,
    forward_server,
    request_gate,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.send_buffers import ANSWER_LIMIT_BYTES, NO_PROGRESS_MS
from crankchute.platform.slow_readers_peers_test import READ, find_header
from crankchute.platform.slow_readers_relay_test import MEMORY, Relay
from crankchute.platform.wire import LAST_EVENT


def make_event(number, size=4000):
    return b'id: %d\ndata: %b\n\n' % (number, b'%d' % (number % 10) * size)


@pytest.fixture
def make_relay(monkeypatch):
    # TCP_USER_TIMEOUT is in real time; 0 leaves it to the system, so that a
    # busy machine does not end a connection.
    for owner, name in (
        (connection_hub, '_SERVER_TIMEOUT_MS'),
        (forward_server, '_BOUNDED_TIMEOUT_MS'),
    ):
        monkeypatch.setattr(owner, name, 0)
    relays = []

    def make(**options):
        relays.append(Relay(**options))
        return relays[-1]

    yield make
    for relay in relays:
        relay.close()


@pytest.fixture
def lines(monkeypatch):
    """Provide the logged lines, pairs of kind and fields."""
    logged = []

    def record(kind, **fields):
        logged.append((kind, fields))

    for owner in (backpressure, request_gate):
        monkeypatch.setattr(owner, 'log_change', record)
    return logged


def fill(relay, connection, events=2500):
    """Send a large stream until the relay no longer reads it."""
    connection.start()
    for number in range(events):
        connection.send_event(make_event(number))
    relay.run(lambda: relay.paused)
    relay.settle()


def test_memory_stays_bounded_when_a_caller_does_not_read(make_relay):
    """Guards against buffering a whole stream for one caller."""
    relay = make_relay()
    _caller, connection = relay.open()
    fill(relay, connection)
    assert relay.paused == 1
    assert connection.pending
    # One read from the server may come on top of the limit.
    assert relay.total <= ANSWER_LIMIT_BYTES + 2 * READ
    assert relay.metrics.counts['answers_paused'] == 1


def test_state_dump_names_the_largest_transfers(make_relay):
    """Guards against a state dump that does not say who holds the memory."""
    relay = make_relay()
    _caller, connection = relay.open()
    fill(relay, connection)
    state = relay.backpressure.dump()
    assert state['total'] == relay.total
    assert state['end_total'] == MEMORY // 4
    assert state['transfers'] == 1
    assert state['largest'][0]['request'] == 'r1'
    assert state['largest'][0]['unsent'] > ANSWER_LIMIT_BYTES
    assert state['largest'][0]['paused']


def test_other_callers_get_events_at_once_during_a_pause(make_relay):
    """Guards against a slow caller that delays the others."""
    relay = make_relay()
    _slow, slow_connection = relay.open()
    other, connection = relay.open()
    fill(relay, slow_connection)
    connection.start()
    before_ms = relay.clock.now_ms()
    for number in range(5):
        event = make_event(number, size=10)
        connection.send_event(event)

        def has_event(event=event):
            other.read()
            return other.received.endswith(event)

        relay.run(has_event)
    # The clock does not advance by itself, so no timer was waited for.
    assert relay.clock.now_ms() == before_ms


def test_slow_and_steady_caller_gets_every_byte(make_relay):
    """Guards against lost, repeated or reordered bytes by pauses."""
    relay = make_relay()
    caller, connection = relay.open()
    events = [make_event(number) for number in range(500)]
    connection.start()
    for event in events:
        connection.send_event(event)
    connection.finish()

    def read_slowly():
        relay.clock.time_ms += 5
        caller.read(4096)
        return caller.is_whole or caller.is_closed

    relay.run(read_slowly)
    assert caller.received == b''.join(events)
    assert relay.metrics.counts['answers_paused'] >= 2
    assert 'caller_too_slow' not in str(relay.metrics.counts)
    relay.settle()
    assert not relay.total
    assert not relay.paused


def test_caller_that_stops_reading_is_disconnected(make_relay, lines):
    """Guards against an answer that stays in memory, and against its server
    working on it."""
    relay = make_relay()
    caller, connection = relay.open()
    fill(relay, connection)
    relay.advance(NO_PROGRESS_MS - 500)
    assert not connection.is_cut
    relay.run_clock(lambda: connection.is_cut)
    assert relay.metrics.counts['caller_too_slow', 'no_progress'] == 1
    assert relay.journal.ends == ['caller_gone']
    assert not relay.total
    assert not relay.server.open_exchanges
    assert [kind for kind, _fields in lines] == ['caller_too_slow']
    fields = lines[0][1]
    assert fields['request'] == 'r1'
    assert fields['unsent'] > ANSWER_LIMIT_BYTES
    assert fields['idle_ms'] >= NO_PROGRESS_MS
    assert fields['total'] >= fields['unsent']

    def read_rest():
        caller.read()
        return caller.is_closed

    relay.run(read_rest)
    assert not caller.is_whole


def test_largest_caller_is_disconnected_for_the_total(make_relay, lines):
    """Guards against a process that is killed for its memory."""
    relay = make_relay(memory=4_194_304)
    opened = [relay.open() for _ in range(12)]
    for _caller, connection in opened:
        connection.start()
        for number in range(500):
            connection.send_event(make_event(number))
    counts = relay.metrics.counts
    relay.run_clock(lambda: ('caller_too_slow', 'total') in counts)
    relay.advance(600)
    assert relay.total <= relay.backpressure.buffers.end_total
    assert counts['caller_too_slow', 'total'] < 12
    assert relay.server.open_exchanges
    assert {fields['cause'] for _kind, fields in lines} == {'total'}


@pytest.mark.parametrize('is_reset', [False, True])
def test_stream_that_its_server_cuts_while_paused_is_resumed(
    make_relay, is_reset
):
    """Guards against dropping events that arrived before the cut."""
    relay = make_relay()
    caller, connection = relay.open()
    connection.start()
    events = [make_event(number) for number in range(300)]
    for event in events[:250]:
        connection.send_event(event)
    relay.run(lambda: relay.paused)
    relay.settle()
    if is_reset:
        linger = (1).to_bytes(4, 'little') + bytes(4)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.is_cut = True
    connection.sock.close()
    relay.settle()
    assert len(relay.connections) == 1

    def read_until_resumed():
        caller.read()
        return len(relay.connections) == 2

    relay.run(read_until_resumed)
    resumed = relay.connections[1]
    relay.run(lambda: b'\r\n\r\n' in resumed.received)
    last = int(find_header(resumed.received, LAST_EVENT))
    resumed.start()
    for event in events[last + 1 :]:
        resumed.send_event(event)
    resumed.finish()

    def read_all():
        caller.read()
        return caller.is_whole or caller.is_closed

    relay.run(read_all)
    assert caller.received == b''.join(events)


def test_plain_answer_over_the_limit_is_delivered_whole(make_relay):
    """Guards against cutting or stalling a large answer that is collected."""
    relay = make_relay()
    caller, connection = relay.open('/plain')
    body = random.Random(1).randbytes(12 * ANSWER_LIMIT_BYTES)
    connection.start(f'Content-Length: {len(body)}')
    connection.pending += body[:-1]
    relay.run(lambda: not connection.pending)
    relay.run(lambda: relay.total >= len(body) - READ)
    connection.pending += body[-1:]

    def read_slowly():
        relay.clock.time_ms += 2
        caller.read(32_768)
        return caller.is_whole or caller.is_closed

    relay.run(read_slowly)
    assert caller.received == body
    relay.settle()
    assert not relay.total


def test_request_that_its_server_does_not_read_fails(make_relay, lines):
    """Guards against a large body that stays in memory for a hung server."""
    relay = make_relay()
    relay.repeat = RetryMode.ONCE
    relay.chooser.max_silence_ms = None
    caller = relay.call('/plain', bytes(6_000_000))
    relay.run(lambda: relay.connections)
    relay.connections[0].reads = False
    relay.run(lambda: not caller.pending)
    relay.settle()
    assert 1_000_000 < relay.total < 7_000_000
    relay.run_clock(lambda: lines)

    def is_answered():
        caller.read()
        return caller.is_whole

    relay.run(is_answered)
    # The server may have run the request.
    assert caller.status == 502
    assert relay.journal.ends == ['backend_failed']
    assert [kind for kind, _fields in lines] == ['server_too_slow']
    assert not relay.total


def test_slowest_incomplete_request_is_ended_for_the_total(make_relay, lines):
    """Guards against bodies that fill the memory before they are complete."""
    relay = make_relay(memory=8_000_000)
    slow = relay.call('/plain', bytes(1_500_000))
    rest = slow.pending[-100_000:]
    slow.pending = slow.pending[:-100_000]
    relay.run(lambda: not slow.pending)
    relay.settle()
    relay.advance(1100)
    fast = relay.call('/plain', bytes(1_000_000))
    relay.run(lambda: relay.connections)

    def is_disconnected():
        slow.read()
        return slow.is_closed

    relay.run(is_disconnected)
    connection = relay.connections[0]
    relay.run(lambda: len(connection.received) > 1_000_000)
    connection.start('Content-Length: 0')

    def is_answered():
        fast.read()
        return fast.is_whole

    relay.run(is_answered)
    assert fast.status == 200
    assert rest
    assert [kind for kind, _fields in lines] == [
        'request_waits',
        'request_ended_as_slow',
        'request_read_on',
    ]
    assert lines[1][1]['received'] == pytest.approx(1_400_000, abs=2000)
