"""What one instance knows of another from its messages."""

from crankchute.core.work_feed import WorkFeed


class PeerView:
    """What is known of another instance from its own messages.

    Attributes:
      asked_ms: When it was last spoken to.
      heard_ms: When it was last heard from, or None.
      is_serving: Whether it said that it serves.
      proof_age_ms: The age of its proof when it was heard, or None.
      digest: What it last told of the active instances, or None.
      vouched_ms: When an active instance last named it as active, or None;
        only noted where this instance does not speak to it itself.
      feed: The WorkFeed between it and this instance.
    """

    __slots__ = (
        'asked_ms',
        'digest',
        'feed',
        'heard_ms',
        'is_serving',
        'proof_age_ms',
        'vouched_ms',
    )

    def __init__(self):
        """Create the view of an instance that was never heard from."""
        self.asked_ms = None
        self.heard_ms = None
        self.is_serving = True
        self.proof_age_ms = None
        self.digest = None
        self.vouched_ms = None
        self.feed = WorkFeed()

    def seems_sound(self, now_ms, silent_ms):
        """Tell whether it answers, as far as is known.

        Args:
          now_ms: The time.
          silent_ms: How long it may be silent.
        """
        if not self.is_serving:
            return False
        if self.asked_ms is None:
            return True
        last_ms = self.heard_ms
        return last_ms is not None and now_ms - last_ms < silent_ms
