"""The suspects that were answered after crashes, a bounded number."""

import operator

from crankchute.core.quarantines import is_later, keep_latest

#: How long an answer is kept: until all instances have received it.
_RETENTION_MS = 60_000
_MAX_CLEARED = 512


class ClearedSuspects:
    """The latest ClearedSuspect of each fingerprint.

    Attributes:
      by_fingerprint: A dict from fingerprint to ClearedSuspect.
    """

    __slots__ = ('by_fingerprint',)

    def __init__(self):
        """Create an empty record."""
        self.by_fingerprint = {}

    def add(self, cleared):
        """Add a record unless a later one is known.

        Args:
          cleared: A ClearedSuspect.
        """
        own = self.by_fingerprint.get(cleared.fingerprint)
        if own is None or own.at_ms < cleared.at_ms:
            self.by_fingerprint[cleared.fingerprint] = cleared

    def is_news(self, received):
        """Return whether a record of another instance is not known yet.

        Args:
          received: A ClearedSuspect.
        """
        own = self.by_fingerprint.get(received.fingerprint)
        return own is None or is_later(received.at_ms, own.at_ms)

    def discard_expired(self, now_ms):
        """Discard expired records, and the oldest ones beyond the bound.

        Args:
          now_ms: The current time.
        """
        kept = keep_latest(
            self.by_fingerprint.values(),
            operator.attrgetter('at_ms'),
            now_ms - _RETENTION_MS,
            _MAX_CLEARED,
        )
        self.by_fingerprint = {one.fingerprint: one for one in kept}
