"""The timer service that parts subscribe to, on the event loop.

A timer component of the library is polled in every pass of the loop, so
thousands of them cost more than the work they wait for.  One component with a
heap serves them all.
"""

import heapq
import itertools

from circuits import BaseComponent, handler

from crankchute.ports.time import Subscription, TimerService


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
        self._heap = []
        self._order = itertools.count()

    @property
    def clock(self):
        """The Clock that the service goes by."""
        return self._clock

    def after(self, delay_ms, callback):
        """See TimerService."""
        subscription = Subscription(callback)
        self._push(delay_ms, subscription)
        return subscription

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event):
        self._run_due()
        if self._heap:
            wait_ms = self._heap[0][0] - self._clock.now_ms()
            event.reduce_time_left(max(wait_ms, 0) / 1000)

    def _push(self, delay_ms, subscription):
        due_ms = self._clock.now_ms() + delay_ms
        entry = (due_ms, next(self._order), subscription)
        heapq.heappush(self._heap, entry)

    def _run_due(self):
        now_ms = self._clock.now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            subscription = heapq.heappop(self._heap)[2]
            subscription.run()
