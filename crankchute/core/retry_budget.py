"""Retry budget that limits retries to a fraction of recent successes.

Without a limit, retries multiply the load on a failing backend server.  A
token bucket is filled by successes, and each retry takes one token.
"""

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20
_INITIAL_TOKENS = 5


class RetryBudget:
    """The retry budget of one account or one pool."""

    __slots__ = ('_tokens',)

    def __init__(self):
        """Create a budget with a few initial retries."""
        self._tokens = float(_INITIAL_TOKENS)

    def record_success(self):
        """Add the tokens earned by a success."""
        self._tokens = min(self._tokens + _TOKENS_PER_SUCCESS, _MAX_TOKENS)

    def take(self):
        """Take a token for one retry.

        Returns:
          True if the retry may be made.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
