"""Retry budgets: retries may only be a fraction of recent successes.

Without a bound, retries of a failing backend multiply the load at the worst
moment.  Successes pay into a bounded purse; a retry takes one whole unit.
"""

_PAID_PER_SUCCESS = 0.1
_LARGEST = 20
_INITIAL = 5


class RetryBudget:
    """The retries that one account, or one pool, may still make."""

    __slots__ = ('_units',)

    def __init__(self):
        """Create a budget with a few retries to start with."""
        self._units = float(_INITIAL)

    def note_success(self):
        """Pay in for a success."""
        self._units = min(self._units + _PAID_PER_SUCCESS, _LARGEST)

    def take(self):
        """Take one retry.

        Returns:
          True if the retry may be made.
        """
        if self._units < 1:
            return False
        self._units -= 1
        return True
