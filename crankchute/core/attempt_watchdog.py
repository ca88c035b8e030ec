"""Notices when a server is late with the first event, or falls silent."""

#: The part of the time until a first event is overdue after which it is late.
#: A late event says nothing of the server, but the path to it is checked.
_LATE_SHARE = 0.5
#: How often a silent attempt is judged again.
_JUDGE_INTERVAL_MS = 250


class AttemptWatchdog:
    """Watches one attempt.

    Attributes:
      is_late: Whether the first event was late, a bool.
      is_overdue: Whether it was so late that the server may have failed, a
        bool.
      verdict: The last Verdict on the silence of its server, or None.
    """

    __slots__ = (
        '_attempt',
        '_context',
        '_flow',
        '_judge_again_ms',
        '_timer',
        'is_late',
        'is_overdue',
        'verdict',
    )

    def __init__(self, attempt, flow, context):
        """Create the watchdog; arm() starts it.

        Args:
          attempt: The Attempt.
          flow: Its ForwardFlow.
          context: The AttemptContext.
        """
        self._attempt = attempt
        self._context = context
        self._flow = flow
        self._judge_again_ms = 0
        self._timer = None
        self.is_late = False
        self.is_overdue = False
        self.verdict = None

    def arm(self):
        """Wait until the next check, unless a timer is running.

        The timer is rearmed only when it expires, since a timer reset for each
        event would be too expensive.  A paused attempt is not judged.
        """
        if self._timer is not None or self._attempt.is_paused:
            return
        if self._attempt.is_closed:
            return
        checks = self._list_checks()
        if not checks:
            return
        due_ms, check = min(checks, key=_due_ms_of)
        delay_ms = due_ms - self._context.now_ms()
        if delay_ms > 0:
            self._timer = self._context.after(delay_ms, self._on_timer)
        else:
            check()

    def cancel(self):
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _list_checks(self):
        """Return the pending checks, pairs of a time and a function."""
        checks = []
        if not self._attempt.started and not self.is_overdue:
            overdue_ms = self._context.overdue_at_ms(self._flow, self._attempt)
            checks.append((overdue_ms, self._record_overdue))
            if not self.is_late:
                sent_ms = self._attempt.sent_ms
                late_ms = sent_ms + (overdue_ms - sent_ms) * _LATE_SHARE
                checks.append((late_ms, self._record_late))
        stalled_ms = self._context.stalled_at_ms(self._flow, self._attempt)
        if stalled_ms is not None:
            due_ms = max(stalled_ms, self._judge_again_ms)
            checks.append((due_ms, self._handle_silence))
        reservation = self._attempt.reservation
        if reservation is not None and not self._attempt.started:
            # A hung engine must not tie up memory at its helpers until the
            # caller disconnects.
            checks.append(
                (reservation.use_deadline_ms, self._attempt.fail_stalled)
            )
        return checks

    def _record_late(self):
        self.is_late = True
        self._context.record_late(self._flow, self._attempt)
        self.arm()

    def _record_overdue(self):
        """Record a first event that is overdue, which is a sign of a failure."""
        self.is_late = True
        self.is_overdue = True
        self._attempt.backend.record_overdue(
            self._context.now_ms(), self._attempt.sent_ms
        )
        self._context.record_late(self._flow, self._attempt)
        self.arm()

    def _handle_silence(self):
        """Have the silence judged, and again later if the attempt goes on."""
        self._judge_again_ms = self._context.now_ms() + _JUDGE_INTERVAL_MS
        self._context.handle_silence(self._flow, self._attempt)
        self.arm()

    def _on_timer(self):
        self._timer = None
        if not self._attempt.is_closed:
            self.arm()


def _due_ms_of(check):
    return check[0]
