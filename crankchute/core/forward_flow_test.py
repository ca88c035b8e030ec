"""Tests for forwarded requests: retries, resumption and their ends."""

from types import MappingProxyType

import pytest

from crankchute.core.forward_fakes import ForwardWorld
from crankchute.core.forward_job import Helper, Repeat
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import (
    MOVED,
    AnswerHead,
    Rejection,
    StreamEvent,
)

ONCE = Repeat.ONCE
AGAIN = Repeat.AGAIN
RESUME = Repeat.RESUME
FULL = Rejection('full')
NOT_RUN = ('refused', Outcome.NOT_RUN)
UNKNOWN = ('refused', Outcome.UNKNOWN)
FAILED = ('refused', Outcome.FAILED)


def answer(call, status):
    call.listener.on_head(AnswerHead(status))
    call.listener.on_body(b'body')
    call.listener.on_end()


def send_events(call, *numbers):
    call.listener.on_head(AnswerHead(200))
    for number in numbers:
        call.listener.on_event(StreamEvent(number, b'id: 1\n\n'))


def fail(call, *, sent=True):
    call.listener.on_failed(BackendError('lost', sent=sent))


RESPONSES = MappingProxyType(
    {
        'ok': lambda call: answer(call, 200),
        'fault': lambda call: answer(call, 500),
        'full': lambda call: call.listener.on_not_run(FULL),
        'lost': fail,
        'unsent': lambda call: fail(call, sent=False),
    }
)


@pytest.mark.parametrize(
    ('repeat', 'responses', 'expected'),
    [
        (ONCE, ['ok'], ('answer', 200)),
        (ONCE, ['fault'], ('answer', 500)),
        (ONCE, ['lost'], UNKNOWN),
        (ONCE, ['full', 'ok'], ('answer', 200)),
        (ONCE, ['full', 'full'], NOT_RUN),
        (ONCE, ['full', 'lost'], UNKNOWN),
        (ONCE, ['unsent', 'ok'], ('answer', 200)),
        (ONCE, ['unsent', 'unsent', 'unsent'], NOT_RUN),
        (AGAIN, ['lost', 'ok'], ('answer', 200)),
        (AGAIN, ['lost', 'lost'], FAILED),
        (AGAIN, ['lost', 'full'], FAILED),
        (AGAIN, ['fault', 'ok'], ('answer', 200)),
        (AGAIN, ['fault', 'fault'], ('answer', 500)),
        (AGAIN, ['fault', 'lost'], ('answer', 500)),
        (AGAIN, ['unsent', 'unsent', 'lost'], FAILED),
    ],
)
def test_end_of_request_that_is_not_streamed(repeat, responses, expected):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat)
    for response in responses:
        if not sink.seen:
            RESPONSES[response](world.port.calls[-1])
    assert sink.seen == [expected]
    assert world.desk.in_progress == 0


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ((1, 2), (3, 4), [1, 2, 3, 4]),
        ((1, 2), (2, 3), [1, 2, 3]),
        ((), (1, 2), [1, 2]),
    ],
)
def test_stream_resumes_after_last_event(first, second, expected):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=RESUME, is_stream=True)
    send_events(world.port.calls[0], *first)
    fail(world.port.calls[0])
    retry = world.port.calls[1]
    assert retry.order.resume_after == max(first, default=None)
    send_events(retry, *second)
    retry.listener.on_end()
    events = [('event', number) for number in expected]
    assert sink.seen == [('head', 200), *events, ('end', None)]


def test_non_repeatable_stream_is_not_resumed():
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=ONCE, is_stream=True)
    send_events(world.port.calls[0], 1)
    fail(world.port.calls[0])
    assert sink.seen[-1] == FAILED
    assert len(world.port.calls) == 1


def test_request_fails_when_retry_budget_is_empty():
    world = ForwardWorld(slack=0)
    _flow, sink = world.submit(repeat=AGAIN)
    fail(world.port.calls[0])
    assert sink.seen == [FAILED]
    assert len(world.port.calls) == 1


@pytest.mark.parametrize(
    ('repeat', 'sent', 'expected'),
    [
        (ONCE, True, UNKNOWN),
        (AGAIN, True, FAILED),
        (ONCE, False, NOT_RUN),
        (AGAIN, False, NOT_RUN),
    ],
)
def test_deadline_ends_request_and_cancels_attempt(repeat, sent, expected):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat, deadline_ms=500)
    world.port.calls[0].sent = sent
    world.timers.advance(499)
    assert sink.seen == []
    world.timers.advance(2)
    assert sink.seen == [expected]
    assert world.port.calls[0].cancelled


def test_event_after_deadline_is_not_forwarded():
    """The process was suspended, so the deadline timer is late as well."""
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=RESUME, is_stream=True, deadline_ms=500)
    world.timers.jump(800)
    send_events(world.port.calls[0], 1)
    assert sink.seen == [FAILED]


def test_cancelled_request_cancels_its_attempt():
    world = ForwardWorld()
    flow, sink = world.submit()
    flow.cancel()
    assert world.port.calls[0].cancelled
    assert sink.seen == []
    assert world.desk.in_progress == 0


def test_unknown_pool_is_refused():
    world = ForwardWorld()
    _flow, sink = world.submit(pool='elsewhere')
    assert sink.seen == [NOT_RUN]


@pytest.mark.parametrize('phase', ['reserving', 'running', 'ended'])
def test_reservation_is_released_at_every_end(phase):
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[1], 'ticket-1', 100),)
    flow, _sink = world.submit(repeat=RESUME, is_stream=True)
    assert not world.port.calls
    if phase != 'reserving':
        world.reservations.answer(is_done=True)
        send_events(world.port.calls[0], 1)
    if phase == 'ended':
        world.port.calls[0].listener.on_end()
    else:
        flow.cancel()
    assert world.reservations.released == ['ticket-1']
    assert len(world.chooser.freed) == 1


@pytest.mark.parametrize('is_done', [False, None])
def test_refused_reservation_is_released_and_retried_elsewhere(is_done):
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[0], 'ticket-1', 100),)
    _flow, sink = world.submit(repeat=RESUME, is_stream=True)
    world.chooser.helpers = ()
    world.reservations.answer(is_done)
    world.timers.advance(250)
    assert world.reservations.released == ['ticket-1']
    chosen = world.port.calls[0].placement.backend
    assert chosen is world.backends[1]
    assert sink.seen == []


def test_reservation_is_renewed_while_in_use():
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[1], 'ticket-1', 100),)
    flow, _sink = world.submit(repeat=RESUME, is_stream=True)
    world.reservations.answer(is_done=True)
    world.timers.advance(1300)
    assert [one.ticket for one, _ in world.reservations.asked] == ['ticket-1']
    world.reservations.answer(is_done=True)
    flow.cancel()
    world.timers.advance(3000)
    assert world.reservations.asked == []


def test_unanswered_release_is_repeated_until_reservation_expires():
    """The reservation expires 3.7 s after the last renewal."""
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[1], 'ticket-1', 100),)
    flow, _sink = world.submit(repeat=RESUME, is_stream=True)
    world.reservations.answer(is_done=True)
    world.reservations.answers_release = False
    flow.cancel()
    counts = []
    for _ in range(6):
        world.timers.advance(1000)
        counts.append(len(world.reservations.released))
    assert counts == [3, 4, 6, 7, 7, 7]
    assert set(world.reservations.released) == {'ticket-1'}


def test_only_stalled_attempt_is_cancelled():
    world = ForwardWorld()
    world.chooser.allowed_ms = 1000
    _flow, sink = world.submit(repeat=RESUME, is_stream=True)
    for number in range(1, 4):
        world.timers.advance(900)
        send_events(world.port.calls[0], number)
    assert len(world.port.calls) == 1
    world.timers.advance(1100)
    assert world.port.calls[0].cancelled
    assert world.port.calls[1].order.resume_after == 3
    assert sink.seen[-1] == ('event', 3)


@pytest.mark.parametrize(
    ('at_server', 'next_server'),
    [
        (None, 'server-01'),
        ('server-02', 'server-00'),
        ('127.0.0.1:7002', 'server-00'),
        ('10.0.0.1:9', 'server-01'),
    ],
)
def test_rejecting_server_is_avoided(at_server, next_server):
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    rejection = Rejection('full', at_server)
    world.port.calls[0].listener.on_not_run(rejection)
    backend = world.port.calls[1].placement.backend
    assert backend.identity == next_server
    assert not world.moved


@pytest.mark.parametrize(
    ('at_server', 'paused'),
    [(None, 0), ('server-02', 2), ('127.0.0.1:7002', 2)],
)
def test_rejecting_server_is_paused(at_server, paused):
    """A helper's rejection is reported by the server that got the request."""
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    for retry_after_ms in (3000, 500):
        rejection = Rejection('full', at_server, retry_after_ms)
        world.desk.note_rejection(None, world.port.calls[0], rejection)
    until_ms = [one.paused_until_ms for one in world.backends]
    assert until_ms[paused] == 3000
    assert sum(until_ms) == 3000


def test_moved_server_is_reported():
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    for at_server in (None, 'server-02'):
        world.submit(repeat=RESUME, is_stream=True)
        rejection = Rejection(MOVED, at_server)
        world.port.calls[-1].listener.on_not_run(rejection)
    assert world.moved == [world.backends[0], world.backends[2]]


@pytest.mark.parametrize(
    ('repeat', 'sent', 'calls', 'expected'),
    [
        (AGAIN, True, 2, []),
        (ONCE, False, 2, []),
        (ONCE, True, 1, [UNKNOWN]),
    ],
)
def test_attempt_ends_when_its_server_restarts(repeat, sent, calls, expected):
    """The request is retried without waiting for the connection to fail."""
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat)
    call = world.port.calls[0]
    call.sent = sent
    world.desk.note_restarted(call.placement.backend)
    assert call.cancelled
    assert len(world.port.calls) == calls
    assert sink.seen == expected


def test_attempt_ends_when_its_helper_restarts():
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    first = world.port.calls[0].placement
    world.desk.note_restarted(first.helpers[0].backend)
    assert len(world.port.calls) == 2
    assert not first.backend.suspicion.failure_probability(0)


def test_restart_of_unrelated_server_is_ignored():
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=AGAIN)
    other = next(
        one
        for one in world.backends
        if one is not world.port.calls[0].placement.backend
    )
    world.desk.note_restarted(other)
    assert (len(world.port.calls), sink.seen) == (1, [])


@pytest.mark.parametrize('servers', [0, 3])
def test_retry_hints_of_refused_callers_are_spread(servers):
    """Requests are refused because servers are full or there are none."""
    world = ForwardWorld(servers=servers)
    hints = set()
    for _ in range(20):
        _flow, sink = world.submit(max_attempts=1)
        if servers:
            world.port.calls[-1].listener.on_not_run(FULL)
        assert sink.seen == [NOT_RUN]
        assert 200 <= sink.hint_ms <= 400
        hints.add(round(sink.hint_ms))
    assert len(hints) > 10
