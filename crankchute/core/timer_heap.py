"""The order in which subscribed callbacks come due."""

import heapq
import itertools

from crankchute.ports.time import Subscription


class TimerHeap:
    """Subscriptions by the time at which they come due."""

    def __init__(self):
        """Create an empty heap."""
        self._heap = []
        self._order = itertools.count()

    def subscribe(self, due_ms, callback):
        """Add a callback.

        Args:
          due_ms: When it comes due, in milliseconds.
          callback: A function without arguments.
        Returns:
          A Subscription.
        """
        subscription = Subscription(callback)
        entry = (due_ms, next(self._order), subscription)
        heapq.heappush(self._heap, entry)
        return subscription

    def next_due_ms(self):
        """Return when the first subscription comes due, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_ms):
        """Take the first subscription out if it is due.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A Subscription, or None.
        """
        if self._heap and self._heap[0][0] <= now_ms:
            return heapq.heappop(self._heap)[2]
        return None
