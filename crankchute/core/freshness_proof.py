"""The age of the last confirmation that a version is current."""

#: A confirmation that arrives through other instances can be up to two seconds
#: old.
_MIN_STALE_MS = 2050
#: Below the greatest age that strict revocation of keys accepts.
_MAX_STALE_MS = 3000


def choose_max_age_ms(in_force_ms):
    """Return the age at which an instance asks the platform itself.

    The instances that read from the platform for others may all lose their
    connection while a version is published that must take effect soon.

    Args:
      in_force_ms: Milliseconds within which a version must take effect.
    """
    return min(max(in_force_ms, _MIN_STALE_MS), _MAX_STALE_MS)


class FreshnessProof:
    """The last time at which a version was confirmed as current.

    This is the time of the request, not of the response: a response only
    confirms what was current when the request was sent.
    """

    __slots__ = ('_requested_ms',)

    def __init__(self):
        """Create without a confirmation."""
        self._requested_ms = None

    def record(self, requested_ms):
        """Record a confirmation; an older one is ignored.

        Args:
          requested_ms: The time of the request on this process's clock.
        """
        if self._requested_ms is None or requested_ms > self._requested_ms:
            self._requested_ms = requested_ms

    def age_ms(self, now_ms):
        """Return the age of the confirmation in milliseconds, or None.

        Args:
          now_ms: The time on this process's clock.
        """
        return (
            None if self._requested_ms is None else now_ms - self._requested_ms
        )
