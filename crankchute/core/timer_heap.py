"""A priority queue of timer callbacks."""

import heapq
import itertools

from crankchute.ports.time import Subscription


class TimerHeap:
    """Timer subscriptions, ordered by due time and then by insertion."""

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    def subscribe(self, due_ms, callback):
        """Schedule a callback.

        Args:
          due_ms: The due time in milliseconds.
          callback: A function without arguments.
        Returns:
          A Subscription.
        """
        subscription = Subscription(callback)
        entry = (due_ms, next(self._sequence), subscription)
        heapq.heappush(self._heap, entry)
        return subscription

    def next_due_ms(self):
        """Return the earliest due time in milliseconds, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_ms):
        """Remove and return the earliest subscription if it is due.

        Args:
          now_ms: The current time in milliseconds.
        Returns:
          A Subscription, or None.
        """
        if self._heap and self._heap[0][0] <= now_ms:
            return heapq.heappop(self._heap)[2]
        return None
