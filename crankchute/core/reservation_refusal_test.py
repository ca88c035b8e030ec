"""Tests of what follows a refused reservation.

They guard against storms of orders to engines that have no memory.
"""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    FakeJournal,
    FakeReservations,
    ForwardHarness,
    make_backends,
)
from crankchute.core.forward_job import PrefillHelper, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.reservations import ReservationManager
from crankchute.ports.forwarding import AnswerHead, StreamEvent
from crankchute.ports.metrics import Metrics


def submit_joint(harness):
    """Submit a stream whose placements reserve at one helper."""
    helper = PrefillHelper(harness.backends[-1], 'ticket-1', 100)
    harness.chooser.helpers = (helper,)
    return harness.submit(is_stream=True, repeat=RetryMode.RESUME)


def count_reservations(metrics, outcome):
    return metrics.counts.get(('reservations', outcome), 0)


def test_request_is_placed_at_most_three_times():
    harness = ForwardHarness(servers=8)
    _flow, sink = submit_joint(harness)
    order_count = 0
    while harness.reservations.pending_orders:
        order_count += len(harness.reservations.pending_orders)
        harness.reservations.answer(is_done=False)
    assert order_count == 3
    assert sink.events == [('refused', Outcome.NOT_RUN)]
    assert harness.journal.ends == ['no_memory']
    assert sink.retry_after_ms is not None
    assert not harness.port.calls


@pytest.mark.parametrize(('refused', 'sent'), [(1, 1), (2, 1), (3, 0)])
def test_request_is_sent_once_a_reservation_succeeds(refused, sent):
    """A single refusal must not end a request that fits elsewhere."""
    harness = ForwardHarness(servers=8)
    submit_joint(harness)
    for _ in range(refused):
        harness.reservations.answer(is_done=False)
    harness.reservations.answer(is_done=True)
    assert len(harness.port.calls) == sent


@pytest.mark.parametrize(('is_done', 'left_out_ms'), [(False, 500), (None, 0)])
def test_only_an_engine_that_answered_is_left_out(is_done, left_out_ms):
    """A lost order says nothing about an engine's memory."""
    harness = ForwardHarness(servers=8)
    helper = harness.backends[-1]
    submit_joint(harness)
    harness.reservations.answer(is_done)
    # Orders without an answer are repeated for 250 ms.
    harness.timers.advance(260)
    state = harness.chooser._parts.work_tracker.state(helper.identity)  # noqa: SLF001
    assert state.left_out_ms(0) == left_out_ms
    logged = ('refused', 'ticket-1', 0) in harness.journal.memory_events
    assert logged == (is_done is False)


def test_taken_decoding_engine_counts_as_a_refusal():
    """A prompt must not wait for memory while its helpers hold theirs."""
    harness = ForwardHarness(servers=8)
    harness.chooser.still_fits = lambda placement: False
    _flow, sink = submit_joint(harness)
    for _ in range(4):
        harness.reservations.answer(is_done=True)
    assert not harness.port.calls
    assert sink.events == [('refused', Outcome.NOT_RUN)]
    assert harness.reservations.released == ['ticket-1', 'ticket-1', 'ticket-1']
    assert count_reservations(harness.forwarder.metrics, 'unused') == 3


@pytest.mark.parametrize(
    ('is_used', 'counts'),
    [(True, (1, 0, 1, 0)), (False, (1, 0, 0, 1))],
)
def test_outcome_of_a_granted_reservation_is_counted(is_used, counts):
    harness = ForwardHarness()
    flow, _sink = submit_joint(harness)
    harness.reservations.answer(is_done=True)
    if is_used:
        harness.port.calls[0].listener.on_head(AnswerHead(200))
        harness.port.calls[0].listener.on_event(StreamEvent(0, b''))
    flow.cancel()
    assert counts == tuple(
        count_reservations(harness.forwarder.metrics, outcome)
        for outcome in ('granted', 'refused', 'used', 'unused')
    )


def test_memory_granted_after_the_end_is_counted_as_unused():
    harness = ForwardHarness()
    flow, _sink = submit_joint(harness)
    flow.cancel()
    harness.reservations.answer(is_done=True)
    assert count_reservations(harness.forwarder.metrics, 'granted') == 1
    assert count_reservations(harness.forwarder.metrics, 'unused') == 1


class Competition:
    """A ReservationManager and helpers at three engines."""

    def __init__(self):
        self.timers = ManualTimers()
        self.port = FakeReservations()
        self.metrics = Metrics()
        self.manager = ReservationManager(
            self.port, self.timers, self.metrics, FakeJournal(), 'instance'
        )
        self.refused = []

    def reserve(self):
        helpers = [
            PrefillHelper(backend, self.manager.create_ticket_id(), 100)
            for backend in reversed(make_backends(3))
        ]
        self.manager.reserve('r1', helpers, self.refused.append)

    def list_asked(self):
        return [
            helper.backend.identity
            for helper, _on_done in self.port.pending_orders
        ]


def test_engines_are_asked_at_once_without_competition():
    competition = Competition()
    competition.reserve()
    assert len(competition.list_asked()) == 3


def test_engines_are_asked_in_order_after_a_refusal():
    """Prompts that compete for two engines must not each get one of them."""
    competition = Competition()
    competition.manager.record_refused()
    competition.reserve()
    assert competition.list_asked() == ['server-00']
    competition.port.answer(is_done=True)
    assert competition.list_asked() == ['server-01']
    competition.port.answer(is_done=False)
    assert competition.list_asked() == []
    assert [one.backend.identity for one in competition.refused[0]] == [
        'server-01'
    ]
    # Only engines that were asked are told to release.
    assert len(competition.port.released) == 2


def test_all_engines_in_order_complete_a_reservation():
    competition = Competition()
    competition.manager.record_refused()
    competition.reserve()
    for _ in range(3):
        assert not competition.refused
        competition.port.answer(is_done=True)
    assert competition.refused == [[]]
    assert not competition.port.released


@pytest.mark.parametrize(('wait_ms', 'asked'), [(1999, 1), (2001, 3)])
def test_competition_is_forgotten(wait_ms, asked):
    competition = Competition()
    competition.manager.record_refused()
    competition.timers.advance(wait_ms)
    competition.reserve()
    assert len(competition.list_asked()) == asked
