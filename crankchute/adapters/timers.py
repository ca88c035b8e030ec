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
        self._run_due()
        due_ms = self._heap.next_due_ms()
        if due_ms is not None:
            wait_ms = max(due_ms - self._clock.now_ms(), 0)
            event.reduce_time_left(wait_ms / _MS_PER_SECOND)

    def _run_due(self):
        now_ms = self._clock.now_ms()
        self._note_lateness(now_ms)
        subscription = self._heap.pop_due(now_ms)
        while subscription is not None:
            subscription.run()
            subscription = self._heap.pop_due(now_ms)

    def _note_lateness(self, now_ms):
        due_ms = self._heap.next_due_ms()
        if due_ms is not None and now_ms - due_ms > _LATE_MS:
            late_ms = round(now_ms - due_ms, 1)
            log_change('loop_late', failed=True, late_ms=late_ms)
