"""Tests of reservations: their orders, renewals, retries and log entries.

They guard against memory that stays reserved after its request has ended, or
for a request that never starts.
"""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    DelayedReservations,
    FakeJournal,
    ForwardHarness,
)
from crankchute.core.forward_job import PrefillHelper, RetryMode
from crankchute.core.lease import RELEASE, RESERVE
from crankchute.core.reservations import ReservationManager
from crankchute.ports.metrics import Metrics

#: The platform's limits, in milliseconds: within what time memory must be free
#: after its last use, and how long it may be reserved without being used.
FREE_MS = 4000
MAX_UNUSED_MS = 9000
#: The delay with which the instance learns of a request's end, in milliseconds.
END_DELAY_MS = 1456


class PendingReservation:
    """A reservation at one engine that has not answered yet."""

    def __init__(self):
        self.harness = ForwardHarness()
        self.port = self.harness.reservations
        self.refusals = []
        self.helper = PrefillHelper(self.harness.backends[1], 'ticket-1', 100)
        self.reservation = self.harness.reservation_manager.reserve(
            'r1',
            [self.helper],
            self.refusals.append,
        )


@pytest.mark.parametrize(
    ('is_done', 'entry'),
    [
        (True, ('reservation', [], 40)),
        (False, ('reservation', ['ticket-1'], 40)),
        (None, ('unanswered', RESERVE, 'ticket-1')),
    ],
)
def test_first_answer_is_logged(is_done, entry):
    pending = PendingReservation()
    pending.harness.timers.advance(40)
    pending.port.answer(is_done)
    assert pending.harness.journal.memory_events[0] == entry


@pytest.mark.parametrize(
    ('answers', 'order_count', 'refusals'),
    [
        ([True], 1, [[]]),
        ([None, True], 2, [[]]),
        ([None, None, True], 3, [[]]),
        ([None, False], 2, [['ticket-1']]),
        ([None, None, None], 3, [['ticket-1']]),
    ],
)
def test_unanswered_reserve_is_retried(answers, order_count, refusals):
    """A single lost order must not deprive a prompt of an engine."""
    pending = PendingReservation()
    sent_count = 0
    for is_done in answers:
        sent_count += len(pending.port.pending_orders)
        pending.port.answer(is_done)
        pending.harness.timers.advance(60)
    pending.harness.timers.advance(250)
    sent_count += len(pending.port.pending_orders)
    assert sent_count == order_count
    tickets = [
        [helper.ticket for helper in refused] for refused in pending.refusals
    ]
    assert tickets == refusals


def test_unanswered_renewal_is_logged():
    pending = PendingReservation()
    pending.port.answer(is_done=True)
    pending.harness.timers.advance(1300)
    pending.port.answer(None)
    entry = ('unanswered', RESERVE, 'ticket-1')
    assert pending.harness.journal.memory_events[-1] == entry


def test_release_is_logged_with_its_attempts():
    pending = PendingReservation()
    pending.port.answer(is_done=True)
    pending.port.answers_release = False
    pending.reservation.release()
    pending.port.answers_release = True
    pending.harness.timers.advance(400)
    assert pending.harness.journal.memory_events[-2:] == [
        ('unanswered', RELEASE, 'ticket-1'),
        ('released', 'ticket-1', 2),
    ]


class HeldReservation:
    """A reservation at one engine behind a simulated network."""

    def __init__(self):
        self.timers = ManualTimers()
        self.port = DelayedReservations(self.timers)
        reservation_manager = ReservationManager(
            self.port,
            self.timers,
            Metrics(),
            FakeJournal(),
            'instance-boot',
        )
        backend = ForwardHarness().backends[1]
        self.reservation = reservation_manager.reserve(
            'r1',
            [PrefillHelper(backend, 'ticket-1', 100)],
            lambda refused: None,
        )
        self.timers.advance(1)

    def is_held(self):
        return self.port.is_held('ticket-1')


@pytest.mark.parametrize('lost_ms', [800, 1600, 1900])
def test_memory_is_free_in_time_despite_lost_releases(lost_ms):
    """The instance learns of the end late and its first releases are lost."""
    held = HeldReservation()
    held.timers.advance(END_DELAY_MS)
    held.port.delay_ms = None
    held.reservation.release()
    held.timers.advance(lost_ms)
    held.port.delay_ms = 1
    held.timers.advance(FREE_MS - END_DELAY_MS - lost_ms)
    assert not held.is_held()


@pytest.mark.parametrize('late_ms', [100, 200, 1000, 5000])
def test_renewal_executed_after_release_is_undone(late_ms):
    """An order may be overtaken or executed seconds later."""
    held = HeldReservation()
    held.port.delay_ms = late_ms
    held.timers.advance(2500)
    held.port.delay_ms = 1
    held.reservation.release()
    held.timers.advance(late_ms + FREE_MS / 2)
    assert not held.is_held()


@pytest.mark.parametrize('repeat', [RetryMode.RESUME, RetryMode.ONCE])
def test_unused_memory_is_released(repeat):
    """An engine that hangs must not keep memory reserved at other engines."""
    harness = ForwardHarness()
    harness.chooser.helpers = (
        PrefillHelper(harness.backends[1], 'ticket-1', 100),
    )
    harness.submit(repeat=repeat, is_stream=True, deadline_ms=15_000)
    harness.reservations.answer(is_done=True)
    harness.chooser.helpers = ()
    harness.timers.advance(MAX_UNUSED_MS - 500)
    assert 'ticket-1' in harness.reservations.released


@pytest.mark.parametrize(
    ('first_ms', 'is_held'),
    [(900, True), (4900, True), (7000, True), (None, False)],
)
def test_renewals_resume_with_first_use(first_ms, is_held):
    """Renewals pause while the memory stays unused and resume with its use."""
    held = HeldReservation()
    if first_ms is not None:
        held.timers.after(first_ms, held.reservation.record_used)
    held.timers.advance(MAX_UNUSED_MS)
    assert held.is_held() == is_held
    held.timers.advance(20_000)
    assert held.is_held() == is_held


@pytest.mark.parametrize('delay_ms', [1, 1400])
def test_unused_memory_is_free_in_time_over_congested_link(delay_ms):
    """The last renewal and the release are delayed like all orders."""
    held = HeldReservation()
    held.port.delay_ms = delay_ms
    held.timers.advance(held.reservation.use_deadline_ms)
    held.reservation.release()
    held.timers.advance(MAX_UNUSED_MS - held.reservation.use_deadline_ms)
    assert not held.is_held()
