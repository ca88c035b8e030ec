"""When all entries of a store are read again after a watch failed."""

#: The shortest time between two reads.
_MIN_INTERVAL_MS = 200


class RereadDelay:
    """The delay before each of a series of reads, none for the first one.

    A store that refuses the position of each read would otherwise be called
    without a pause.
    """

    __slots__ = ('_interval_ms', '_last_ms')

    def __init__(self):
        """Create the delay."""
        self._interval_ms = _MIN_INTERVAL_MS
        self._last_ms = float('-inf')

    def reset(self):
        """Record that a watch succeeded."""
        self._interval_ms = _MIN_INTERVAL_MS

    def next_ms(self, now_ms, longest_ms):
        """Return the delay before the next read, in milliseconds.

        Args:
          now_ms: The time.
          longest_ms: The longest time between two reads.
        """
        wait_ms = max(self._last_ms + self._interval_ms - now_ms, 0)
        self._last_ms = now_ms + wait_ms
        self._interval_ms = min(self._interval_ms * 2, longest_ms)
        return wait_ms
