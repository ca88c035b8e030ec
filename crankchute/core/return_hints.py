"""When a caller that is refused had better come back.

A caller comes back once or twice, so a hint that is too short costs it its
answer, and one that is too long costs time only.  Callers that were refused
together should not come back together.  In the two seconds after a restart of
all instances during an outage 21 of 51 callers were turned away for good where
all were told to come back after half a second.
"""

#: What is hinted when it is not known how long the trouble lasts, as a part of
#: the time that the caller has left: after it most of that is still left.
_UNKNOWN_PART = 0.2
#: Callers are not asked to wait for more than this part of what they have left.
_MOST_PART = 0.3
_LEAST_MS = 100
#: Hints differ by up to this part in either direction.
_SPREAD = 0.25


class ReturnHints:
    """Chooses hints."""

    def __init__(self, random):
        """Create the chooser.

        Args:
          random: A random.Random.
        """
        self._random = random

    def choose_ms(self, remaining_ms, recovery_ms=None):
        """Return after how many milliseconds a caller should come back.

        Args:
          remaining_ms: What the caller has left, in milliseconds.
          recovery_ms: When it can probably be served, in milliseconds, or
            None if that is not known.
        """
        if recovery_ms is None:
            recovery_ms = remaining_ms * _UNKNOWN_PART
        wanted_ms = min(recovery_ms, remaining_ms * _MOST_PART)
        spread = self._random.uniform(1 - _SPREAD, 1 + _SPREAD)
        return max(wanted_ms, _LEAST_MS) * spread

    def choose_after_ms(self, known_ms):
        """Return when to come back where it is known when that can help.

        Who comes earlier is refused again for sure, and who has less left
        than that had better know it.

        Args:
          known_ms: Until when nobody can be served, in milliseconds.
        """
        return known_ms * self._random.uniform(1, 1 + _SPREAD)
