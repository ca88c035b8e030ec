"""Stateful test of reservations at engines behind an unreliable network.

Orders arrive promptly, late, seconds later or never.  Requests may or may not
start to use their memory, and may end at any time.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    DelayedReservations,
    FakeJournal,
    make_backends,
)
from crankchute.core.forward_job import PrefillHelper
from crankchute.core.reservations import ReservationManager
from crankchute.ports.metrics import Metrics

#: How long memory may be reserved without being used, in milliseconds.
_MAX_UNUSED_MS = 9000
#: Within what time memory must be free once the network is reliable again: the
#: longest interval between releases plus their delay, in milliseconds.
_RELEASE_LIMIT_MS = 2000
#: The delay of orders over a reliable network, in milliseconds.
_NORMAL_DELAY_MS = 1
_STEP_MS = 100
_HELPER_COUNT = 2
#: The delay of orders over a congested link, in milliseconds.
_CONGESTED_DELAY_MS = 1400
_DELAYS = st.sampled_from(
    [
        _NORMAL_DELAY_MS,
        _NORMAL_DELAY_MS,
        100,
        240,
        _CONGESTED_DELAY_MS,
        6000,
        None,
    ]
)


class RequestModel:
    """A request and the memory that is reserved for it."""

    def __init__(self, reservation_manager, helpers):
        self.tickets = [helper.ticket for helper in helpers]
        self.refused = None
        self.is_used = False
        self.ended_ms = None
        self.reservation = reservation_manager.reserve(
            'r1', helpers, self._on_done
        )

    def _on_done(self, refused):
        self.refused = refused


class ReservationMachine(RuleBasedStateMachine):
    """Requests, their memory at two engines each, and the network delay."""

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers()
        self.port = DelayedReservations(self.timers)
        self.port.delay_ms = _NORMAL_DELAY_MS
        self.backends = make_backends(_HELPER_COUNT)
        self.reservation_manager = ReservationManager(
            self.port,
            self.timers,
            Metrics(),
            FakeJournal(),
            'instance-boot',
        )
        self.requests = []
        self.unused_since_ms = {}
        self.late_until_ms = 0
        self.lost_until_ms = 0

    @rule(delay_ms=_DELAYS)
    def change_delay(self, delay_ms):
        """Change the delay of further orders, or lose them."""
        self._record_delay()
        self.port.delay_ms = delay_ms

    @rule()
    def reserve(self):
        """Reserve memory for a new request."""
        helpers = [
            PrefillHelper(
                backend, self.reservation_manager.create_ticket_id(), 100
            )
            for backend in self.backends
        ]
        self.requests.append(RequestModel(self.reservation_manager, helpers))

    @precondition(lambda machine: machine.requests)
    @rule(choice=st.integers(min_value=0))
    def use(self, choice):
        """Start a request if all its memory is reserved."""
        request = self.requests[choice % len(self.requests)]
        if request.ended_ms is None and request.refused == []:
            request.is_used = request.is_used or self._holds_all(request)
            if request.is_used:
                request.reservation.record_used()

    @precondition(lambda machine: machine.requests)
    @rule(choice=st.integers(min_value=0))
    def end(self, choice):
        """End a request."""
        self._end(self.requests[choice % len(self.requests)])

    @rule(steps=st.integers(min_value=1, max_value=60))
    def pass_time(self, steps):
        """Advance the time in steps and check every request after each."""
        for _ in range(steps):
            self.timers.advance(_STEP_MS)
            self._record_delay()
            for request in self.requests:
                self._check(request)

    def _record_delay(self):
        """Record until when delayed orders may still arrive."""
        delay_ms = self.port.delay_ms
        until_ms = self._now_ms() + (delay_ms or 0)
        if delay_ms != _NORMAL_DELAY_MS:
            self.late_until_ms = max(self.late_until_ms, until_ms)
        if delay_ms is None or delay_ms > _CONGESTED_DELAY_MS:
            self.lost_until_ms = max(self.lost_until_ms, until_ms)

    def _check(self, request):
        if request.ended_ms is None and self._is_abandoned(request):
            self._end(request)
        held = [
            held_ticket
            for held_ticket in request.tickets
            if self.port.is_held(held_ticket)
        ]
        for ticket in request.tickets:
            self._check_unused(request, ticket, is_held=ticket in held)
        if request.ended_ms is not None and self._is_settled(request.ended_ms):
            assert not held
        if (
            request.is_used
            and request.ended_ms is None
            and not self.late_until_ms
        ):
            assert len(held) == _HELPER_COUNT

    def _check_unused(self, request, ticket, *, is_held):
        """Check how long memory has been reserved without being used.

        Time during which orders are lost or seconds late does not count, since
        nothing can free memory then.
        """
        now_ms = self._now_ms()
        if request.is_used or not is_held:
            self.unused_since_ms.pop(ticket, None)
            return
        since_ms = self.unused_since_ms.setdefault(ticket, now_ms)
        since_ms = max(since_ms, self.lost_until_ms)
        assert now_ms - since_ms < _MAX_UNUSED_MS

    def _is_abandoned(self, request):
        """Tell whether an attempt would release its unused memory now."""
        if request.refused:
            return True
        is_expired = self._now_ms() >= request.reservation.use_deadline_ms
        return is_expired and not request.is_used

    def _is_settled(self, ended_ms):
        """Tell whether all memory must be free by now."""
        if self.port.delay_ms != _NORMAL_DELAY_MS:
            return False
        since_ms = max(self.late_until_ms, ended_ms)
        return self._now_ms() - since_ms > _RELEASE_LIMIT_MS

    def _holds_all(self, request):
        return all(self.port.is_held(ticket) for ticket in request.tickets)

    def _end(self, request):
        if request.ended_ms is None:
            request.ended_ms = self._now_ms()
            request.reservation.release()

    def _now_ms(self):
        return self.timers.clock.now_ms()


ReservationMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)
TestReservations = ReservationMachine.TestCase
