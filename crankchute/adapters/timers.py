"""The timer service of the event loop.

The loop polls each timer component of circuits in every iteration, which is
expensive with thousands of timers.  This component keeps all timers in a heap.
"""

from circuits import BaseComponent, handler

from crankchute.adapters.log import log_change
from crankchute.core.timer_heap import TimerHeap
from crankchute.ports.time import TimerService

_MS_PER_SECOND = 1000
#: Lateness of a timer, in milliseconds, from which on it is logged.  Peers treat
#: a process that is blocked or overloaded for this long as unresponsive.
_LOGGED_LATENESS_MS = 200
#: Lateness of a timer, in milliseconds, from which on sockets are read before
#: timers run, so that a delay of the process itself causes neither timeouts of
#: replies that have arrived nor renewals for requests that have ended.  A lower
#: value would cost an iteration of the loop for each timer.
_READ_FIRST_LATENESS_MS = 50


class LoopTimers(BaseComponent, TimerService):
    """Runs timer callbacks on the loop's thread.

    Attributes:
      checked_ms: When the loop last checked for due timers.
    """

    channel = 'timers'

    def __init__(self, clock):
        """Create the service.

        Args:
          clock: A Clock that gives the time in milliseconds.
        """
        super().__init__()
        self._clock = clock
        self._heap = TimerHeap()
        self._was_read_first = False
        self.checked_ms = clock.now_ms()

    @property
    def clock(self):
        """The Clock of the service."""
        return self._clock

    def after(self, delay_ms, callback):
        """See TimerService."""
        due_ms = self._clock.now_ms() + delay_ms
        return self._heap.subscribe(due_ms, callback)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event):
        if self._must_read_first():
            event.reduce_time_left(0)
            return
        self._run_due_timers()
        due_ms = self._heap.next_due_ms()
        if due_ms is not None:
            wait_ms = max(due_ms - self._clock.now_ms(), 0)
            event.reduce_time_left(wait_ms / _MS_PER_SECOND)

    def _run_due_timers(self):
        now_ms = self._clock.now_ms()
        self.checked_ms = now_ms
        subscription = self._heap.pop_due(now_ms)
        while subscription is not None:
            subscription.run()
            subscription = self._heap.pop_due(now_ms)

    def _must_read_first(self):
        """Tell whether to read sockets before timers, never twice in a row."""
        late_ms = self._lateness_ms()
        self._was_read_first = (
            late_ms > _READ_FIRST_LATENESS_MS and not self._was_read_first
        )
        if self._was_read_first and late_ms > _LOGGED_LATENESS_MS:
            log_change('loop_late', failed=True, late_ms=round(late_ms, 1))
        return self._was_read_first

    def _lateness_ms(self):
        due_ms = self._heap.next_due_ms()
        return 0 if due_ms is None else self._clock.now_ms() - due_ms
