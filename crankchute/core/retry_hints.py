"""Retry delays suggested to refused callers.

Callers retry once or twice only, so a delay that is too short loses the request,
while one that is too long only costs time.  Jitter keeps callers that were
refused together from retrying together.
"""

#: The delay when the time to recovery is unknown, as a fraction of the caller's
#: remaining time, most of which is still left after it.  A fixed short delay
#: would use up callers' retries during a restart of all instances.
_DEFAULT_DELAY_FRACTION = 0.2
#: The longest delay, as a fraction of the caller's remaining time.
_MAX_DELAY_FRACTION = 0.3
_MIN_DELAY_MS = 100
#: The largest relative deviation from the chosen delay.
_JITTER = 0.25


class RetryHints:
    """Chooses retry delays."""

    def __init__(self, random):
        """Create the chooser.

        Args:
          random: A random.Random.
        """
        self._random = random

    def choose_ms(self, remaining_ms, recovery_ms=None):
        """Return the delay after which a caller should retry.

        Args:
          remaining_ms: The caller's remaining time, in milliseconds.
          recovery_ms: The expected time until the request can be served, in
            milliseconds, or None if unknown.
        """
        if recovery_ms is None:
            recovery_ms = remaining_ms * _DEFAULT_DELAY_FRACTION
        delay_ms = min(recovery_ms, remaining_ms * _MAX_DELAY_FRACTION)
        jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        return max(delay_ms, _MIN_DELAY_MS) * jitter

    def choose_at_least_ms(self, unavailable_ms):
        """Return a delay that is never shorter than a known unavailability.

        An earlier retry would certainly be refused.  The caller's remaining
        time does not shorten the delay, so that a caller with less time left
        knows that a retry cannot help.

        Args:
          unavailable_ms: Milliseconds during which no request can be served.
        """
        return unavailable_ms * self._random.uniform(1, 1 + _JITTER)
