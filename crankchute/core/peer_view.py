"""The state of another instance, as seen from this one."""

from crankchute.core.work_feed import WorkFeed

#: How long to wait for a peer to confirm a crash report before resending it.
_RESEND_MS = 500


class PeerView:
    """The state of a peer, from the messages exchanged with it.

    Times whose names end with awake_ms are those of the AwakeClock.

    Attributes:
      last_sent_ms: When a message was last sent to it, or None.
      last_received_ms: When a message was last received from it, or None.
      is_serving: Whether it last reported that it serves clients.
      proof_age_ms: How long before its last message its configuration was
        confirmed to be the newest, or None.
      active_digest: The digest of the active instances that it last reported,
        or None.
      last_vouched_awake_ms: When an active instance last listed it as active,
        or None; used only while this instance is not active itself.
      crash_digest: The digest of the crashes that it last reported, 0 for
        none.
      lost_pools: The names of the pools whose servers it does not reach, but
        others do, a tuple.
      feed: The WorkFeed between it and this instance.
    """

    __slots__ = (
        '_crashes_sent_ms',
        '_heard_awake_ms',
        '_sent_crash_digest',
        '_unanswered_since_awake_ms',
        'active_digest',
        'crash_digest',
        'feed',
        'is_serving',
        'last_received_ms',
        'last_sent_ms',
        'last_vouched_awake_ms',
        'lost_pools',
        'proof_age_ms',
    )

    def __init__(self):
        """Create the state of a peer without any message."""
        self.last_sent_ms = None
        self.last_received_ms = None
        self.is_serving = True
        self.proof_age_ms = None
        self.active_digest = None
        self.crash_digest = 0
        self._sent_crash_digest = None
        self._crashes_sent_ms = None
        self._heard_awake_ms = None
        self._unanswered_since_awake_ms = None
        self.last_vouched_awake_ms = None
        self.lost_pools = ()
        self.feed = WorkFeed()

    def record_sent(self, now_ms, awake_ms):
        """Record that a message was sent to the peer.

        Args:
          now_ms: The current time.
          awake_ms: The current time of the AwakeClock.
        """
        if self.last_sent_ms is None:
            # A new peer counts as healthy until its first answer is due.
            self.last_received_ms = now_ms
            self._heard_awake_ms = awake_ms
        if self._unanswered_since_awake_ms is None:
            self._unanswered_since_awake_ms = awake_ms
        self.last_sent_ms = now_ms

    def record_received(self, now_ms, awake_ms):
        """Record that a message was received from the peer.

        Args:
          now_ms: The current time.
          awake_ms: The current time of the AwakeClock.
        """
        self.last_received_ms = now_ms
        self._heard_awake_ms = awake_ms
        self._unanswered_since_awake_ms = None

    def record_no_response(self):
        """Record that the peer did not answer a poll of its state."""
        self.last_received_ms = None
        self.last_vouched_awake_ms = None

    def is_healthy(self, awake_ms, timeout_ms):
        """Tell whether the peer serves and answers, as far as is known.

        Args:
          awake_ms: The current time of the AwakeClock.
          timeout_ms: How long the peer may be silent.
        """
        if not self.is_serving:
            return False
        if self.last_sent_ms is None:
            return True
        if self.last_received_ms is None:
            return False
        return awake_ms - self._heard_awake_ms < timeout_ms

    def is_silent(self, awake_ms, timeout_ms):
        """Tell whether the peer failed to answer a message in time.

        Args:
          awake_ms: The current time of the AwakeClock.
          timeout_ms: How long an answer may take.
        """
        if self.last_sent_ms is None:
            return False
        if self.last_received_ms is None:
            return True
        since_ms = self._unanswered_since_awake_ms
        return since_ms is not None and awake_ms - since_ms >= timeout_ms

    def claim_crash_report(self, digest, now_ms):
        """Tell whether the next message must report crashes.

        Args:
          digest: The digest of the crashes that this instance remembers.
          now_ms: The current time.
        Returns:
          A bool; if true, the report is recorded as sent.
        """
        if digest == self.crash_digest:
            return False
        if digest == self._sent_crash_digest:
            waited_ms = now_ms - self._crashes_sent_ms
            if waited_ms < _RESEND_MS:
                return False
        self._sent_crash_digest = digest
        self._crashes_sent_ms = now_ms
        return True
