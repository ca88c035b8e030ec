"""Tests for forwarded requests: retries, resumption and their ends."""

from types import MappingProxyType

import pytest

from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.forward_job import PrefillHelper, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import (
    MOVED,
    AnswerHead,
    Rejection,
    StreamEvent,
)

ONCE = RetryMode.ONCE
AGAIN = RetryMode.AGAIN
RESUME = RetryMode.RESUME
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
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=repeat)
    for response in responses:
        if not sink.events:
            RESPONSES[response](harness.port.calls[-1])
    assert sink.events == [expected]
    assert harness.forwarder.in_progress == 0


@pytest.mark.parametrize('response', ['ok', 'fault', 'full', 'lost', None])
def test_ended_request_is_not_kept(response):
    """Bodies of ended requests stayed in memory until they were collected."""
    harness = ForwardHarness()
    flow, _sink = harness.submit(repeat=ONCE, payload=b'body')
    while not flow.ended:
        if response is None:
            flow.cancel()
        else:
            RESPONSES[response](harness.port.calls[-1])
    assert flow.job.payload is None


@pytest.mark.parametrize(
    ('first', 'second', 'expected'),
    [
        ((1, 2), (3, 4), [1, 2, 3, 4]),
        ((1, 2), (2, 3), [1, 2, 3]),
        ((), (1, 2), [1, 2]),
    ],
)
def test_stream_resumes_after_last_event(first, second, expected):
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=RESUME, is_stream=True)
    send_events(harness.port.calls[0], *first)
    fail(harness.port.calls[0])
    retry = harness.port.calls[1]
    assert retry.order.resume_after == max(first, default=None)
    send_events(retry, *second)
    retry.listener.on_end()
    events = [('event', number) for number in expected]
    assert sink.events == [('head', 200), *events, ('end', None)]


def test_non_repeatable_stream_is_not_resumed():
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=ONCE, is_stream=True)
    send_events(harness.port.calls[0], 1)
    fail(harness.port.calls[0])
    assert sink.events[-1] == FAILED
    assert len(harness.port.calls) == 1


def test_request_fails_when_retry_budget_is_empty():
    harness = ForwardHarness(slack=0)
    _flow, sink = harness.submit(repeat=AGAIN)
    fail(harness.port.calls[0])
    assert sink.events == [FAILED]
    assert len(harness.port.calls) == 1


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
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=repeat, deadline_ms=500)
    harness.port.calls[0].sent = sent
    harness.timers.advance(499)
    assert sink.events == []
    harness.timers.advance(2)
    assert sink.events == [expected]
    assert harness.port.calls[0].cancelled


def test_event_after_deadline_is_not_forwarded():
    """The process was suspended, so the deadline timer is late as well."""
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=RESUME, is_stream=True, deadline_ms=500)
    harness.timers.suspend(800)
    send_events(harness.port.calls[0], 1)
    assert sink.events == [FAILED]


def test_cancelled_request_cancels_its_attempt():
    harness = ForwardHarness()
    flow, sink = harness.submit()
    flow.cancel()
    assert harness.port.calls[0].cancelled
    assert sink.events == []
    assert harness.forwarder.in_progress == 0


def test_unknown_pool_is_refused():
    harness = ForwardHarness()
    _flow, sink = harness.submit(pool='elsewhere')
    assert sink.events == [NOT_RUN]


@pytest.mark.parametrize('phase', ['reserving', 'running', 'ended'])
def test_reservation_is_released_at_every_end(phase):
    harness = ForwardHarness()
    harness.chooser.helpers = (
        PrefillHelper(harness.backends[1], 'ticket-1', 100),
    )
    flow, _sink = harness.submit(repeat=RESUME, is_stream=True)
    assert not harness.port.calls
    if phase != 'reserving':
        harness.reservations.answer(is_done=True)
        send_events(harness.port.calls[0], 1)
    if phase == 'ended':
        harness.port.calls[0].listener.on_end()
    else:
        flow.cancel()
    assert harness.reservations.released == ['ticket-1']
    assert len(harness.chooser.ended_placements) == 1


@pytest.mark.parametrize('is_done', [False, None])
def test_refused_reservation_is_released_and_retried_elsewhere(is_done):
    harness = ForwardHarness()
    harness.chooser.helpers = (
        PrefillHelper(harness.backends[0], 'ticket-1', 100),
    )
    _flow, sink = harness.submit(repeat=RESUME, is_stream=True)
    harness.chooser.helpers = ()
    harness.reservations.answer(is_done)
    harness.timers.advance(250)
    assert harness.reservations.released == ['ticket-1']
    chosen = harness.port.calls[0].placement.backend
    assert chosen is harness.backends[1]
    assert sink.events == []


def test_reservation_is_renewed_while_in_use():
    harness = ForwardHarness()
    harness.chooser.helpers = (
        PrefillHelper(harness.backends[1], 'ticket-1', 100),
    )
    flow, _sink = harness.submit(repeat=RESUME, is_stream=True)
    harness.reservations.answer(is_done=True)
    harness.timers.advance(1300)
    assert [one.ticket for one, _ in harness.reservations.pending_orders] == [
        'ticket-1'
    ]
    harness.reservations.answer(is_done=True)
    flow.cancel()
    harness.timers.advance(3000)
    assert harness.reservations.pending_orders == []


def test_unanswered_release_is_repeated_until_reservation_expires():
    """The reservation expires 3.7 s after the last renewal."""
    harness = ForwardHarness()
    harness.chooser.helpers = (
        PrefillHelper(harness.backends[1], 'ticket-1', 100),
    )
    flow, _sink = harness.submit(repeat=RESUME, is_stream=True)
    harness.reservations.answer(is_done=True)
    harness.reservations.answers_release = False
    flow.cancel()
    counts = []
    for _ in range(6):
        harness.timers.advance(1000)
        counts.append(len(harness.reservations.released))
    assert counts == [3, 4, 6, 7, 7, 7]
    assert set(harness.reservations.released) == {'ticket-1'}


def test_only_stalled_attempt_is_cancelled():
    harness = ForwardHarness()
    harness.chooser.max_silence_ms = 1000
    _flow, sink = harness.submit(repeat=RESUME, is_stream=True)
    for number in range(1, 4):
        harness.timers.advance(900)
        send_events(harness.port.calls[0], number)
    assert len(harness.port.calls) == 1
    harness.timers.advance(1100)
    assert harness.port.calls[0].cancelled
    assert harness.port.calls[1].order.resume_after == 3
    assert sink.events[-1] == ('event', 3)


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
    harness = ForwardHarness()
    harness.chooser.helpers = (PrefillHelper(harness.backends[2]),)
    harness.submit(repeat=RESUME, is_stream=True)
    rejection = Rejection('full', at_server)
    harness.port.calls[0].listener.on_not_run(rejection)
    backend = harness.port.calls[1].placement.backend
    assert backend.identity == next_server
    assert not harness.moved


@pytest.mark.parametrize(
    ('at_server', 'paused'),
    [(None, 0), ('server-02', 2), ('127.0.0.1:7002', 2)],
)
def test_rejecting_server_is_paused(at_server, paused):
    """A helper's rejection is reported by the server that got the request."""
    harness = ForwardHarness()
    harness.chooser.helpers = (PrefillHelper(harness.backends[2]),)
    harness.submit(repeat=RESUME, is_stream=True)
    for retry_after_ms in (3000, 500):
        rejection = Rejection('full', at_server, retry_after_ms)
        harness.forwarder.record_rejection(
            None, harness.port.calls[0], rejection
        )
    until_ms = [one.paused_until_ms for one in harness.backends]
    assert until_ms[paused] == 3000
    assert sum(until_ms) == 3000


def test_moved_server_is_reported():
    harness = ForwardHarness()
    harness.chooser.helpers = (PrefillHelper(harness.backends[2]),)
    for at_server in (None, 'server-02'):
        harness.submit(repeat=RESUME, is_stream=True)
        rejection = Rejection(MOVED, at_server)
        harness.port.calls[-1].listener.on_not_run(rejection)
    assert harness.moved == [harness.backends[0], harness.backends[2]]


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
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=repeat)
    call = harness.port.calls[0]
    call.sent = sent
    harness.forwarder.record_restarted(call.placement.backend)
    assert call.cancelled
    assert len(harness.port.calls) == calls
    assert sink.events == expected


def test_attempt_ends_when_its_helper_restarts():
    harness = ForwardHarness()
    harness.chooser.helpers = (PrefillHelper(harness.backends[2]),)
    harness.submit(repeat=RESUME, is_stream=True)
    first = harness.port.calls[0].placement
    harness.forwarder.record_restarted(first.helpers[0].backend)
    assert len(harness.port.calls) == 2
    assert not first.backend.failure_estimator.failure_probability(0)


def test_restart_of_unrelated_server_is_ignored():
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=AGAIN)
    other = next(
        one
        for one in harness.backends
        if one is not harness.port.calls[0].placement.backend
    )
    harness.forwarder.record_restarted(other)
    assert (len(harness.port.calls), sink.events) == (1, [])


@pytest.mark.parametrize('servers', [0, 3])
def test_retry_hints_of_refused_callers_are_spread(servers):
    """Requests are refused because servers are full or there are none."""
    harness = ForwardHarness(servers=servers)
    hints = set()
    for _ in range(20):
        _flow, sink = harness.submit(max_attempts=1)
        if servers:
            harness.port.calls[-1].listener.on_not_run(FULL)
        assert sink.events == [NOT_RUN]
        assert 200 <= sink.retry_after_ms <= 400
        hints.add(round(sink.retry_after_ms))
    assert len(hints) > 10
