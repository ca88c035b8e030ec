"""The memory that one request takes, and what is decided about it."""

import enum


class Decision(enum.Enum):
    """What happens to a request that needs memory."""

    GRANTED = 'granted'
    WAITS = 'waits'
    REFUSED = 'refused'
    #: It exceeds the bound and is refused for good.
    TOO_LARGE = 'too_large'


class MemoryClaim:
    """The memory that one request takes or waits for.

    Attributes:
      arrived_ms: When its first bytes arrived.
      deadline_ms: When its caller gives up.
      granted_ms: When its memory was granted, or None.
      is_complete: Whether all of its bytes have arrived.
      is_large: Whether it counts among the large requests.
      owner: A label of its caller.
      progress_ms: When bytes of it last arrived.
      size: The bytes that it has reserved or, if it waits, needs.
    """

    __slots__ = (
        'arrived_ms',
        'deadline_ms',
        'granted_ms',
        'is_complete',
        'is_large',
        'owner',
        'progress_ms',
        'size',
    )

    def __init__(self, owner, arrived_ms, deadline_ms):
        """Create a claim without memory.

        Args:
          owner: See the class.
          arrived_ms: See the class.
          deadline_ms: See the class.
        """
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.granted_ms = None
        self.is_complete = False
        self.is_large = False
        self.owner = owner
        self.progress_ms = arrived_ms
        self.size = 0

    @property
    def waits(self):
        """Whether it waits for memory, a bool."""
        return self.is_large and self.granted_ms is None

    def record_progress(self, now_ms, *, is_complete):
        """Record that bytes of the request arrived.

        Args:
          now_ms: The time in milliseconds.
          is_complete: Whether they were the last.
        """
        self.progress_ms = now_ms
        self.is_complete = is_complete
