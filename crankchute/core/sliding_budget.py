"""A retry budget in a sliding window that needs no coordination.

All instances together may repeat a fraction of the requests, plus a fixed
slack, in any window.  Each instance repeats at most that fraction of its own
requests, so the sum holds whatever the membership is.  The slack is divided
by the largest number of instances ever known, with a margin for those not
heard of yet, and a shrinking view never enlarges a share.
"""

from collections import deque

#: Instances that may run without being known here yet.
_UNKNOWN_FACTOR = 1.25
#: Of what the bound allows, the part that is used; the rest covers requests
#: that are counted in another window elsewhere.
_USED_PART = 0.8


class SlidingBudget:
    """The retries of one pool at one instance."""

    __slots__ = (
        '_most_known',
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
        '_window_ms',
    )

    def __init__(self, ratio, slack, window_ms):
        """Create an unused budget.

        Args:
          ratio: Retries for each request.
          slack: Retries of all instances beyond that, in any window.
          window_ms: The window, in milliseconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests = deque()
        self._retries = deque()
        self._most_known = 1

    def note_instances(self, known):
        """Note how many instances are known.

        Args:
          known: An int.
        """
        self._most_known = max(self._most_known, known)

    def note_request(self, now_ms):
        """Note a request of this instance.

        Args:
          now_ms: The time in milliseconds.
        """
        self._requests.append(now_ms)
        self._drop_old(now_ms)

    def take(self, now_ms):
        """Take one retry.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          True if the retry may be made.
        """
        self._drop_old(now_ms)
        share = self._slack / (self._most_known * _UNKNOWN_FACTOR)
        allowed = self._ratio * len(self._requests) + share
        if len(self._retries) + 1 > allowed * _USED_PART:
            return False
        self._retries.append(now_ms)
        return True

    def _drop_old(self, now_ms):
        for times in (self._requests, self._retries):
            while times and times[0] < now_ms - self._window_ms:
                times.popleft()
