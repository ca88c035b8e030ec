"""Retry budget in a sliding window, shared without coordination.

In any window, all instances together may retry a fraction of the requests, plus
a fixed slack.  Each instance retries at most that fraction of its own requests,
so the sum holds for any membership.  The slack is divided by the largest number
of instances ever known, with a margin for unknown ones, so that a share never
grows when an instance loses sight of others.
"""

from collections import deque

#: Allows for running instances that this one does not know yet.
_UNSEEN_INSTANCE_FACTOR = 1.25
#: The usable fraction of the budget; the rest covers requests that other
#: instances count in another window.
_SAFETY_FACTOR = 0.8


class RetryLimits:
    """Limits on the retries of all instances together."""

    __slots__ = ('per_account', 'ratio', 'slack', 'window_ms')

    def __init__(self, *, ratio, slack, window_ms, per_account=False):
        """Create the limits.

        Args:
          ratio: Retries per request.
          slack: Additional retries per window.
          window_ms: The window in milliseconds.
          per_account: Whether each client account has a separate budget for
            each pool, rather than one that all accounts share.
        """
        self.per_account = per_account
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms


class SlidingRetryBudget:
    """The retry budget of one pool at one instance."""

    __slots__ = ('_limits', '_max_instances', '_requests', '_retries')

    def __init__(self, limits):
        """Create an unused budget.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits
        self._requests = deque()
        self._retries = deque()
        self._max_instances = 1

    def change_limits(self, limits):
        """Replace the limits; past requests and retries still count.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits

    def record_instances(self, count):
        """Record the number of known instances.

        Args:
          count: An int.
        """
        self._max_instances = max(self._max_instances, count)

    def record_request(self, now_ms):
        """Record a request of this instance.

        Args:
          now_ms: The time in milliseconds.
        """
        self._requests.append(now_ms)
        self._drop_old(now_ms)

    def has_retry(self, now_ms):
        """Return whether the budget allows a retry, without taking it.

        Args:
          now_ms: The time in milliseconds.
        """
        self._drop_old(now_ms)
        share = self._limits.slack / (
            self._max_instances * _UNSEEN_INSTANCE_FACTOR
        )
        allowed = self._limits.ratio * len(self._requests) + share
        return len(self._retries) + 1 <= allowed * _SAFETY_FACTOR

    def take(self, now_ms):
        """Take one retry from the budget.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          True if the retry may be made.
        """
        if not self.has_retry(now_ms):
            return False
        self._retries.append(now_ms)
        return True

    def _drop_old(self, now_ms):
        for times_ms in (self._requests, self._retries):
            while times_ms and times_ms[0] < now_ms - self._limits.window_ms:
                times_ms.popleft()


class RetryBudgets:
    """The retry budgets of all pools at one instance."""

    __slots__ = ('_budgets', '_limits', '_max_instances')

    def __init__(self, limits):
        """Create unused budgets.

        Args:
          limits: RetryLimits.
        """
        self._budgets = {}
        self._limits = limits
        self._max_instances = 1

    def of(self, job):
        """Return the SlidingRetryBudget of a request.

        Args:
          job: A ForwardJob.
        """
        account = job.account if self._limits.per_account else None
        key = (account, job.pool)
        budget = self._budgets.get(key)
        if budget is None:
            budget = SlidingRetryBudget(self._limits)
            budget.record_instances(self._max_instances)
            self._budgets[key] = budget
        return budget

    def change_limits(self, limits):
        """Replace the limits; see SlidingRetryBudget.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits
        for budget in self._budgets.values():
            budget.change_limits(limits)

    def record_instances(self, count):
        """Record the number of known instances; see SlidingRetryBudget.

        Args:
          count: An int.
        """
        self._max_instances = max(self._max_instances, count)
        for budget in self._budgets.values():
            budget.record_instances(count)
