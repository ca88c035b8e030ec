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


class RetryLimits:
    """How much of the requests may be repeated, by all instances together."""

    __slots__ = ('per_account', 'ratio', 'slack', 'window_ms')

    def __init__(self, *, ratio, slack, window_ms, per_account=False):
        """Create the limits.

        Args:
          ratio: Retries for each request.
          slack: Retries beyond that in any window.
          window_ms: The window in milliseconds.
          per_account: Whether each client account has a budget of its own
            for each pool, or all of them share one.
        """
        self.per_account = per_account
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms


class SlidingBudget:
    """The retries of one pool at one instance."""

    __slots__ = ('_limits', '_most_known', '_requests', '_retries')

    def __init__(self, limits):
        """Create an unused budget.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits
        self._requests = deque()
        self._retries = deque()
        self._most_known = 1

    def change_limits(self, limits):
        """Take other limits; what was used stays used.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits

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
        share = self._limits.slack / (self._most_known * _UNKNOWN_FACTOR)
        allowed = self._limits.ratio * len(self._requests) + share
        if len(self._retries) + 1 > allowed * _USED_PART:
            return False
        self._retries.append(now_ms)
        return True

    def _drop_old(self, now_ms):
        for times in (self._requests, self._retries):
            while times and times[0] < now_ms - self._limits.window_ms:
                times.popleft()
