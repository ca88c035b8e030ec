"""One submission of a forwarded request to one backend server."""

from crankchute.core.forward_job import AttemptOrder
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AttemptListener

FIRST_SERVER_ERROR = 500
#: An error that a server gives may be the request's fault as well.
_SERVER_ERROR_WEIGHT = 0.5


class Attempt(AttemptListener):
    """One submission: its reserved memory, then the call; ends once.

    Attributes:
      placement: The Placement.
      sent_ms: When it was sent, or None before.
      first_ms: When the server sent its first event, or None before.
      heard_ms: When it was sent, or its server last sent an event.
      longest_gap_ms: The longest pause between two events, in milliseconds.
    """

    __slots__ = (
        '_body',
        '_call',
        '_desk',
        '_flow',
        '_head',
        '_is_closed',
        '_is_overdue',
        '_reservation',
        '_watchdog',
        'first_ms',
        'heard_ms',
        'longest_gap_ms',
        'placement',
        'sent_ms',
    )

    def __init__(self, flow, desk, placement):
        """Create an attempt; start() begins it.

        Args:
          flow: The ForwardFlow.
          desk: The ForwardDesk.
          placement: A Placement.
        """
        self._flow = flow
        self._desk = desk
        self._body = []
        self._call = None
        self._head = None
        self._is_closed = False
        self._is_overdue = False
        self._reservation = None
        self._watchdog = None
        self.first_ms = None
        self.heard_ms = None
        self.longest_gap_ms = 0
        self.placement = placement
        self.sent_ms = None

    @property
    def started(self):
        """Whether the server sent an event, a bool."""
        return self.first_ms is not None

    @property
    def backend(self):
        """The Backend that is asked."""
        return self.placement.backend

    def start(self):
        """Set aside the memory that the placement needs, and send."""
        if self.placement.tickets:
            self._reservation = self._desk.reserve(
                self._flow,
                self.placement,
                self._on_reserved,
            )
        else:
            self._send()

    def cancel(self):
        """Give the attempt up; the flow hears nothing more of it.

        Returns:
          True if it may have reached its server and had not ended.
        """
        if not self._close():
            return False
        if self._call is None:
            return False
        self.backend.breaker.note_abandoned()
        self._call.cancel()
        return self._call.sent

    def end_restarted(self, backend):
        """End the attempt since a server that it needs started again.

        Its connection may stay silent until it is probed, after 2.5 s.

        Args:
          backend: The Backend that is over.
        """
        if not self._close():
            return
        if self._call is None:
            participants = (self.placement, *self.placement.helpers)
            restarted = [one for one in participants if one.backend is backend]
            self._flow.on_reservation_refused(self, restarted)
            return
        self.backend.breaker.note_abandoned()
        self._call.cancel()
        text = f'{backend.identity} started again'
        self._flow.on_attempt_failed(
            self,
            BackendError(text, sent=self._call.sent),
        )

    def on_head(self, head):
        """See AttemptListener."""
        if self._is_closed:
            return
        self._head = head
        if head.load is not None:
            self._desk.note_load(self._flow, self, head.load)

    def on_body(self, chunk):
        """See AttemptListener."""
        self._body.append(chunk)

    def on_event(self, event):
        """See AttemptListener."""
        if self._is_closed:
            return
        self._note_event()
        self._flow.on_event(self, self._head, event)

    def on_end(self):
        """See AttemptListener."""
        if not self._close():
            return
        now_ms = self._desk.now_ms()
        if self._head.status >= FIRST_SERVER_ERROR:
            self.backend.note_failed(now_ms, _SERVER_ERROR_WEIGHT)
        else:
            self.backend.note_sound(now_ms)
        self._flow.on_attempt_end(self, self._head, b''.join(self._body))

    def on_not_run(self, rejection):
        """See AttemptListener."""
        if self._close():
            self.backend.breaker.note_abandoned()
            self._flow.on_attempt_not_run(self, rejection)

    def on_failed(self, exc):
        """See AttemptListener."""
        if self._close():
            self.backend.note_failed(self._desk.now_ms())
            self._flow.on_attempt_failed(self, exc)

    def _note_event(self):
        now_ms = self._desk.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
            if self._reservation is not None:
                self._reservation.note_used()
            if self._is_overdue:
                self.backend.suspicion.retract_failure(now_ms)
            self._desk.note_first(self._flow, self)
        else:
            gap_ms = now_ms - self.heard_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.heard_ms = now_ms

    def _on_reserved(self, refused):
        if self._is_closed:
            return
        if refused:
            self._close()
            self._flow.on_reservation_refused(self, refused)
        else:
            self._send()

    def _send(self):
        self.sent_ms = self._desk.now_ms()
        self.backend.in_flight += 1
        self.backend.breaker.note_start()
        self.heard_ms = self.sent_ms
        self._flow.on_attempt_sent(self)
        self._arm_watchdog()
        job = self._flow.job
        order = AttemptOrder(
            self._flow.attempts,
            job.remaining_ms(self.sent_ms),
            self._flow.delivered,
        )
        self._call = self._desk.port.send(job, self.placement, order, self)

    def _arm_watchdog(self):
        """Wait until the server is overdue, or has been silent for too long.

        A timer for each event would cost more than the event; one timer is
        set again when it ends and finds that the server may still be silent.
        """
        stalled_at_ms = self._stalled_at_ms()
        checks_overdue = not self.started and not self._is_overdue
        if stalled_at_ms is None and not checks_overdue:
            return
        due_ms = stalled_at_ms
        if checks_overdue:
            overdue_ms = self._desk.overdue_at_ms(self._flow, self)
            due_ms = min(overdue_ms, stalled_at_ms or overdue_ms)
        delay_ms = due_ms - self._desk.now_ms()
        if delay_ms > 0:
            self._watchdog = self._desk.after(delay_ms, self._on_watchdog)
        elif checks_overdue:
            self._note_overdue()
            self._arm_watchdog()
        else:
            self._fail_stalled()

    def _stalled_at_ms(self):
        """Return until when the server may be silent, or None.

        Memory that is set aside must be used or given back: engines that hung
        had it kept at their helpers until the caller left, for over 10 s.
        """
        until_ms = self._desk.silent_until_ms(self._flow, self)
        if self._reservation is None or self.started:
            return until_ms
        unused_ms = self._reservation.unused_until_ms
        return unused_ms if until_ms is None else min(until_ms, unused_ms)

    def _note_overdue(self):
        """Suspect a server whose first event should have come long ago."""
        self._is_overdue = True
        self.backend.suspicion.note_failure(self._desk.now_ms())

    def _on_watchdog(self):
        self._watchdog = None
        if not self._is_closed:
            self._arm_watchdog()

    def _fail_stalled(self):
        if self._call is not None:
            self._call.cancel()
        text = 'the backend server fell silent'
        self.on_failed(BackendError(text, sent=True))

    def _close(self):
        if self._is_closed:
            return False
        self._is_closed = True
        if self._watchdog is not None:
            self._watchdog.cancel()
        if self.sent_ms is not None:
            self.backend.in_flight -= 1
            self._desk.note_left(self._flow, self)
        if self._reservation is not None:
            self._reservation.release()
        self._desk.note_freed(self._flow, self.placement)
        return True
