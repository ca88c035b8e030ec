"""One attempt to send a forwarded request to a backend server."""

from crankchute.core.attempt_watchdog import AttemptWatchdog
from crankchute.core.call_for_each import call_for_each_flow
from crankchute.core.forward_job import AttemptOrder
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AttemptListener

FIRST_SERVER_ERROR = 500
#: A 5xx answer may be caused by the request, so it counts less than a failure
#: of the server.
_SERVER_ERROR_WEIGHT = 0.5
#: Why the next attempt is made, in the log.
_EXCLUDED = 'evacuated'
#: Why an attempt ended, in the log.
_SILENT = 'the backend server fell silent'


class Attempt(AttemptListener):
    """One attempt: reserves memory if needed, then sends; ends once.

    Attributes:
      placement: The Placement.
      reservation: The Reservation of memory at helpers, or None.
      watchdog: The AttemptWatchdog.
      is_closed: Whether the attempt has ended, a bool.
      sent_ms: When the request was sent, or None.
      first_ms: When the first event arrived, or None.
      last_event_ms: When the last event or part of a body arrived, or else when
        the request was sent.
      longest_gap_ms: The longest gap between two events, in milliseconds.
    """

    __slots__ = (
        '_body',
        '_call',
        '_collected',
        '_context',
        '_flow',
        '_head',
        '_paused_ms',
        'first_ms',
        'is_closed',
        'last_event_ms',
        'longest_gap_ms',
        'placement',
        'reservation',
        'sent_ms',
        'watchdog',
    )

    def __init__(self, flow, context, placement):
        """Create an attempt; start() reserves memory and sends the request.

        Args:
          flow: The ForwardFlow.
          context: The Forwarder, or another AttemptContext.
          placement: A Placement.
        """
        self._flow = flow
        self._context = context
        self._body = []
        self._call = None
        self._collected = 0
        self._head = None
        self.is_closed = False
        self._paused_ms = None
        self.reservation = None
        self.watchdog = AttemptWatchdog(self, flow, context)
        self.first_ms = None
        self.last_event_ms = None
        self.longest_gap_ms = 0
        self.placement = placement
        self.sent_ms = None

    @property
    def started(self):
        """Whether the server has sent an event."""
        return self.first_ms is not None

    @property
    def is_sent(self):
        """Whether the request may have reached its server.

        That holds for a closed attempt as well, if an error kept its end from
        the flow.
        """
        return self._call is not None and self._call.sent

    @property
    def is_paused(self):
        """Whether reading from the server is paused, a bool."""
        return self._paused_ms is not None

    @property
    def backend(self):
        """The Backend that receives the request."""
        return self.placement.backend

    def start(self):
        """Reserve the memory that the placement needs, then send."""
        if not self.placement.tickets:
            self._send()
            return

        def on_reserved(refused):
            if self.is_closed:
                return
            if refused:
                self._close()
                self._flow.on_reservation_refused(self, refused)
            else:
                self._send()

        self.reservation = self._context.reserve(
            self._flow, self.placement, on_reserved
        )

    def cancel(self):
        """Cancel the attempt; the flow receives no more callbacks."""
        if self._close(is_cancelled=True) and self._call is not None:
            self.backend.breaker.record_abandoned()

    def pause_reading(self):
        """Stop reading from the server."""
        if self.is_closed or self._call is None or self._paused_ms is not None:
            return
        self._paused_ms = self._context.now_ms()
        self._call.pause_reading()

    def resume_reading(self):
        """Read from the server again.

        The server could not send during the pause, so the pause counts neither
        as its silence nor as a gap between its events.
        """
        if self.is_closed or self._paused_ms is None:
            return
        self.last_event_ms += self._context.now_ms() - self._paused_ms
        self._paused_ms = None
        self._call.resume_reading()
        self.watchdog.arm()

    def end_lost(self, backend, text):
        """End the attempt because a server that it uses was lost.

        A dead connection would otherwise go unnoticed until the next probe.

        Args:
          backend: The Backend.
          text: The error message.
        """
        if not self._close(is_cancelled=True):
            return
        if self._call is None:
            participants = (self.placement, *self.placement.helpers)
            lost = [one for one in participants if one.backend is backend]
            self._flow.on_reservation_refused(self, lost)
            return
        self.backend.breaker.record_abandoned()
        self._flow.on_attempt_failed(
            self, BackendError(text, sent=self.is_sent)
        )

    def end_waiting(self, is_excluded):
        """Have the request placed elsewhere if it waits for excluded servers.

        An attempt that was sent goes on.

        Args:
          is_excluded: A function of a Backend that returns whether it gets no
            new requests.
        """
        participants = (self.placement, *self.placement.helpers)
        excluded = [one for one in participants if is_excluded(one.backend)]
        if self._call is None and excluded and self._close():
            self._flow.on_reservation_refused(self, excluded, _EXCLUDED)

    def fail_stalled(self):
        """End the attempt because its server fell silent."""
        if self._call is not None:
            self._call.cancel()
        self.on_failed(BackendError(_SILENT, sent=True))

    def end_replaced(self):
        """End the attempt, whose successor is placed; return the BackendError."""
        self._close(is_cancelled=True)
        self.backend.record_failed(self._context.now_ms(), sent_ms=self.sent_ms)
        return BackendError(_SILENT, sent=True)

    def on_head(self, head):
        """See AttemptListener."""
        if self.is_closed:
            return
        self._record_heard()
        self._head = head
        if head.load is not None:
            self._context.record_load(self._flow, self, head.load)

    def on_body(self, chunk):
        """See AttemptListener."""
        self._record_heard()
        self.last_event_ms = self._context.now_ms()
        self._body.append(chunk)
        self._collected += len(chunk)
        self._flow.record_collected(self._collected)

    def on_event(self, event):
        """See AttemptListener."""
        if self.is_closed:
            return
        self._record_event()
        self._flow.on_event(self, self._head, event)

    def on_end(self):
        """See AttemptListener."""
        body = b''.join(self._body)
        if not self._close():
            return
        now_ms = self._context.now_ms()
        if self._head.status >= FIRST_SERVER_ERROR:
            self.backend.record_failed(now_ms, _SERVER_ERROR_WEIGHT)
        else:
            self.backend.record_success(now_ms)
        self._flow.on_attempt_end(self, self._head, body)

    def on_not_run(self, rejection):
        """See AttemptListener."""
        if self._close():
            self._record_heard()
            self.backend.breaker.record_abandoned()
            self._flow.on_attempt_not_run(self, rejection)

    def on_failed(self, exc):
        """See AttemptListener."""
        if self._close():
            self.backend.record_failed(
                self._context.now_ms(), sent_ms=self.sent_ms
            )
            self._flow.on_attempt_failed(self, exc)

    def _record_heard(self):
        self.backend.breaker.record_heard(self._context.now_ms())

    def _record_event(self):
        self._record_heard()
        now_ms = self._context.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
            if self.reservation is not None:
                self.reservation.record_used()
            if self.watchdog.is_overdue:
                self.backend.failure_estimator.retract_failure(now_ms)
            self._context.record_first_event(self._flow, self)
        else:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = now_ms

    def _send(self):
        self.sent_ms = self._context.now_ms()
        self.backend.in_flight += 1
        self.backend.breaker.record_start()
        self.last_event_ms = self.sent_ms
        self._flow.on_attempt_sent(self)
        self.watchdog.arm()
        job = self._flow.job
        order = AttemptOrder(
            self._flow.attempts,
            job.remaining_ms(self.sent_ms),
            self._flow.last_event_id,
            sorted(self._flow.avoided),
        )
        self._call = self._context.port.send(job, self.placement, order, self)

    def _close(self, *, is_cancelled=False):
        if self.is_closed:
            return False
        self.is_closed = True
        self._body = []
        if is_cancelled and self._call is not None:
            # An error in the records below must not leave the call open.
            self._call.cancel()
        self.watchdog.cancel()
        if self.sent_ms is not None:
            self.backend.in_flight -= 1
            self._context.record_left(self._flow, self)
        if self.reservation is not None:
            self.reservation.release()
        self._context.record_freed(self._flow, self.placement)
        return True


def end_waiting(flows, is_excluded):
    """Place requests elsewhere that wait for memory at excluded servers.

    Args:
      flows: An iterable of ForwardFlow.
      is_excluded: A function of a Backend that returns whether it gets no new
        requests.
    """

    def end(flow):
        if flow.attempt is not None:
            flow.attempt.end_waiting(is_excluded)

    call_for_each_flow(end, flows)
