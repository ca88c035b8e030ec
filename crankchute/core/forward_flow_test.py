"""Tests of forwarded requests: what a caller sees of every kind of end."""

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


def break_off(call, *, sent=True):
    call.listener.on_failed(BackendError('lost', sent=sent))


ACTS = MappingProxyType(
    {
        'ok': lambda call: answer(call, 200),
        'fault': lambda call: answer(call, 500),
        'full': lambda call: call.listener.on_not_run(FULL),
        'lost': break_off,
        'unsent': lambda call: break_off(call, sent=False),
    }
)


@pytest.mark.parametrize(
    ('repeat', 'acts', 'seen'),
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
def test_ends_of_plain_requests(repeat, acts, seen):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat)
    for act in acts:
        if not sink.seen:
            ACTS[act](world.port.calls[-1])
    assert sink.seen == [seen]
    assert world.desk.in_progress == 0


@pytest.mark.parametrize(
    ('first', 'second', 'seen'),
    [
        ((1, 2), (3, 4), [1, 2, 3, 4]),
        ((1, 2), (2, 3), [1, 2, 3]),
        ((), (1, 2), [1, 2]),
    ],
)
def test_stream_is_taken_up_after_the_last_event(first, second, seen):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=RESUME, is_stream=True)
    send_events(world.port.calls[0], *first)
    break_off(world.port.calls[0])
    again = world.port.calls[1]
    assert again.order.resume_after == max(first, default=None)
    send_events(again, *second)
    again.listener.on_end()
    events = [('event', number) for number in seen]
    assert sink.seen == [('head', 200), *events, ('end', None)]


def test_stream_that_may_start_once_is_broken_off():
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=ONCE, is_stream=True)
    send_events(world.port.calls[0], 1)
    break_off(world.port.calls[0])
    assert sink.seen[-1] == FAILED
    assert len(world.port.calls) == 1


def test_budget_that_is_used_up_ends_the_request():
    world = ForwardWorld(slack=0)
    _flow, sink = world.submit(repeat=AGAIN)
    break_off(world.port.calls[0])
    assert sink.seen == [FAILED]
    assert len(world.port.calls) == 1


@pytest.mark.parametrize(
    ('repeat', 'sent', 'seen'),
    [
        (ONCE, True, UNKNOWN),
        (AGAIN, True, FAILED),
        (ONCE, False, NOT_RUN),
        (AGAIN, False, NOT_RUN),
    ],
)
def test_deadline_ends_the_request_and_its_attempt(repeat, sent, seen):
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat, deadline_ms=500)
    world.port.calls[0].sent = sent
    world.timers.advance(499)
    assert sink.seen == []
    world.timers.advance(2)
    assert sink.seen == [seen]
    assert world.port.calls[0].cancelled


def test_late_event_after_a_pause_is_not_passed_on():
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=RESUME, is_stream=True, deadline_ms=500)
    world.timers.jump(800)
    send_events(world.port.calls[0], 1)
    assert sink.seen == [FAILED]


def test_caller_that_leaves_ends_the_attempt():
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


@pytest.mark.parametrize('left_at', ['reserving', 'running', 'ended'])
def test_tickets_are_released_at_every_end(left_at):
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[1], 'ticket-1', 100),)
    flow, _sink = world.submit(repeat=RESUME, is_stream=True)
    assert not world.port.calls
    if left_at != 'reserving':
        world.reservations.answer(is_done=True)
        send_events(world.port.calls[0], 1)
    if left_at == 'ended':
        world.port.calls[0].listener.on_end()
    else:
        flow.cancel()
    assert world.reservations.released == ['ticket-1']
    assert len(world.chooser.freed) == 1


@pytest.mark.parametrize('is_done', [False, None])
def test_refused_ticket_is_released_and_another_engine_chosen(is_done):
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


def test_tickets_are_renewed_while_they_are_used():
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


def test_release_without_an_answer_is_asked_again_until_memory_lapses():
    """It lapses 3.7 s after the engine was last told to keep it."""
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


def test_silent_server_is_given_up_and_one_that_speaks_is_not():
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
def test_server_that_a_rejection_blames_is_avoided(at_server, next_server):
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    rejection = Rejection('full', at_server)
    world.port.calls[0].listener.on_not_run(rejection)
    again = world.port.calls[1].placement.backend
    assert again.identity == next_server
    assert not world.moved


@pytest.mark.parametrize(
    ('at_server', 'resting'),
    [(None, 0), ('server-02', 2), ('127.0.0.1:7002', 2)],
)
def test_server_that_a_rejection_blames_gets_its_rest(at_server, resting):
    """A helper that wants rest says so through the one that was asked."""
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    for retry_after_ms in (3000, 500):
        rejection = Rejection('full', at_server, retry_after_ms)
        world.desk.note_rejection(None, world.port.calls[0], rejection)
    until_ms = [one.refused_until_ms for one in world.backends]
    assert until_ms[resting] == 3000
    assert sum(until_ms) == 3000


def test_server_that_is_not_at_its_address_is_told_of():
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    for at_server in (None, 'server-02'):
        world.submit(repeat=RESUME, is_stream=True)
        rejection = Rejection(MOVED, at_server)
        world.port.calls[-1].listener.on_not_run(rejection)
    assert world.moved == [world.backends[0], world.backends[2]]


@pytest.mark.parametrize(
    ('repeat', 'sent', 'calls', 'seen'),
    [
        (AGAIN, True, 2, []),
        (ONCE, False, 2, []),
        (ONCE, True, 1, [UNKNOWN]),
    ],
)
def test_attempt_ends_when_its_server_started_again(repeat, sent, calls, seen):
    """Its connection may stay silent; the request goes on elsewhere at once."""
    world = ForwardWorld()
    _flow, sink = world.submit(repeat=repeat)
    call = world.port.calls[0]
    call.sent = sent
    world.desk.note_restarted(call.placement.backend)
    assert call.cancelled
    assert len(world.port.calls) == calls
    assert sink.seen == seen


def test_helper_that_started_again_ends_the_attempt():
    world = ForwardWorld()
    world.chooser.helpers = (Helper(world.backends[2]),)
    world.submit(repeat=RESUME, is_stream=True)
    first = world.port.calls[0].placement
    world.desk.note_restarted(first.helpers[0].backend)
    assert len(world.port.calls) == 2
    assert not first.backend.suspicion.chance(0)


def test_other_servers_that_start_again_change_nothing():
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
def test_callers_that_are_refused_together_come_back_apart(servers):
    """Servers that are full, or none at all."""
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
