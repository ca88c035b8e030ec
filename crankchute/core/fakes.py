"""Small fakes of the core's ports, for tests, measurements and embedders."""

import heapq
import itertools

from crankchute.ports.time import Clock, Subscription, TimerService


class ManualClock(Clock):
    """A clock that moves only when it is told to.

    Attributes:
      time_ms: The time, which may be set forward.
    """

    def __init__(self):
        """Create the clock at zero."""
        self.time_ms = float(0)

    def now_ms(self):
        """See Clock."""
        return self.time_ms


class ManualTimers(TimerService):
    """A timer service in virtual time: one seed gives one run."""

    def __init__(self):
        """Create the service at time zero."""
        self._clock = ManualClock()
        self._heap = []
        self._order = itertools.count()

    @property
    def clock(self):
        """See TimerService."""
        return self._clock

    def after(self, delay_ms, callback):
        """See TimerService."""
        subscription = Subscription(callback)
        due_ms = self._clock.time_ms + max(delay_ms, 0)
        heapq.heappush(self._heap, (due_ms, next(self._order), subscription))
        return subscription

    def advance(self, delay_ms):
        """Let time pass and run what comes due, in order.

        Args:
          delay_ms: Milliseconds.
        """
        end_ms = self._clock.time_ms + delay_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, subscription = heapq.heappop(self._heap)
            self._clock.time_ms = max(self._clock.time_ms, due_ms)
            subscription.run()
        self._clock.time_ms = end_ms

    def jump(self, delay_ms):
        """Let time pass as in a paused process: nothing runs meanwhile.

        Args:
          delay_ms: Milliseconds.
        """
        self._clock.time_ms += delay_ms
