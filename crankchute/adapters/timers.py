"""The timer service that parts subscribe to, on the event loop.

A timer component of the library is polled in every pass of the loop, so
thousands of them cost more than the work they wait for.  One component with a
heap serves them all.
"""

from circuits import BaseComponent, handler

from crankchute.adapters.log import log_change
from crankchute.core.timer_heap import TimerHeap
from crankchute.ports.time import TimerService

_MS_PER_SECOND = 1000
#: A timer that runs this late, in milliseconds, tells that the process stood
#: still or had too much to do: others take it for silent after that long.
_LATE_MS = 200
#: From this lateness on, in milliseconds, what has arrived is read before timers
#: run: time-outs of answers that are there, and renewals for requests that are
#: over, would come of the process's own delay.  Less costs a turn of the loop
#: for each timer.
_READ_FIRST_MS = 50


class LoopTimers(BaseComponent, TimerService):
    """Runs subscribed callbacks on the loop's thread."""

    channel = 'timers'

    def __init__(self, clock):
        """Create the service.

        Args:
          clock: A Clock that gives the time in milliseconds.
        """
        super().__init__()
        self._clock = clock
        self._heap = TimerHeap()
        self._has_read = False

    @property
    def clock(self):
        """The Clock that the service goes by."""
        return self._clock

    def after(self, delay_ms, callback):
        """See TimerService."""
        due_ms = self._clock.now_ms() + delay_ms
        return self._heap.subscribe(due_ms, callback)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event):
        if self._reads_first():
            event.reduce_time_left(0)
            return
        self._run_due()
        due_ms = self._heap.next_due_ms()
        if due_ms is not None:
            wait_ms = max(due_ms - self._clock.now_ms(), 0)
            event.reduce_time_left(wait_ms / _MS_PER_SECOND)

    def _run_due(self):
        now_ms = self._clock.now_ms()
        subscription = self._heap.pop_due(now_ms)
        while subscription is not None:
            subscription.run()
            subscription = self._heap.pop_due(now_ms)

    def _reads_first(self):
        """Tell, once in a row, whether sockets must be read before timers."""
        late_ms = self._lateness_ms()
        self._has_read = late_ms > _READ_FIRST_MS and not self._has_read
        if self._has_read and late_ms > _LATE_MS:
            log_change('loop_late', failed=True, late_ms=round(late_ms, 1))
        return self._has_read

    def _lateness_ms(self):
        due_ms = self._heap.next_due_ms()
        return 0 if due_ms is None else self._clock.now_ms() - due_ms
