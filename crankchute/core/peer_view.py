"""What one instance knows of another from its messages."""

from crankchute.core.work_feed import WorkFeed

#: How long the answer to what was told may take, in milliseconds; after that it
#: is told again.
_RETELL_MS = 500


class PeerView:
    """What is known of another instance from its own messages.

    Attributes:
      last_sent_ms: When it was last spoken to.
      last_received_ms: When it was last heard from, or None.
      is_serving: Whether it said that it serves.
      proof_age_ms: The age of its proof when it was heard, or None.
      active_digest: What it last told of the active instances, or None.
      last_vouched_ms: When an active instance last named it as active, or None;
        only noted where this instance does not speak to it itself.
      crash_digest: What it last told of the crashes that it remembers, 0 for
        none.
      feed: The WorkFeed between it and this instance.
    """

    __slots__ = (
        '_told_crashes',
        '_told_crashes_ms',
        'last_sent_ms',
        'crash_digest',
        'active_digest',
        'feed',
        'last_received_ms',
        'is_serving',
        'proof_age_ms',
        'last_vouched_ms',
    )

    def __init__(self):
        """Create the view of an instance that was never heard from."""
        self.last_sent_ms = None
        self.last_received_ms = None
        self.is_serving = True
        self.proof_age_ms = None
        self.active_digest = None
        self.crash_digest = 0
        self._told_crashes = None
        self._told_crashes_ms = None
        self.last_vouched_ms = None
        self.feed = WorkFeed()

    def is_healthy(self, now_ms, silent_ms):
        """Tell whether it answers, as far as is known.

        Args:
          now_ms: The time.
          silent_ms: How long it may be silent.
        """
        if not self.is_serving:
            return False
        if self.last_sent_ms is None:
            return True
        last_ms = self.last_received_ms
        return last_ms is not None and now_ms - last_ms < silent_ms

    def is_silent(self, now_ms, silent_ms):
        """Tell whether it did not answer for a while, though it was asked.

        Args:
          now_ms: The time.
          silent_ms: How long an answer may take.
        """
        if self.last_sent_ms is None:
            return False
        if self.last_received_ms is None:
            return True
        is_asked = self.last_sent_ms > self.last_received_ms
        return is_asked and now_ms - self.last_received_ms >= silent_ms

    def claim_crash_report(self, digest, now_ms):
        """Tell whether it must be told of crashes with the next message.

        Args:
          digest: The digest of what this instance remembers.
          now_ms: The time.
        Returns:
          A bool; if true, it is taken for told.
        """
        if digest == self.crash_digest:
            return False
        if digest == self._told_crashes:
            waited_ms = now_ms - self._told_crashes_ms
            if waited_ms < _RETELL_MS:
                return False
        self._told_crashes = digest
        self._told_crashes_ms = now_ms
        return True
