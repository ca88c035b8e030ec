"""The idle time of callers' connections while the configuration changes."""


class IdleTimeout:
    """How long connections may be idle, until all callers know a change.

    A caller takes up a connection that has rested for less than the idle time
    that it knows.  So a shorter one takes effect only when callers must know it.
    """

    __slots__ = ('_changes', '_newest_ms', '_overlap_ms')

    def __init__(self, idle_ms, overlap_ms):
        """Create the idle time of the first configuration.

        Args:
          idle_ms: The idle time in milliseconds.
          overlap_ms: How long a caller may not know a change, in milliseconds.
        """
        self._changes = []
        self._newest_ms = idle_ms
        self._overlap_ms = overlap_ms

    def change(self, idle_ms, now_ms):
        """Record that a configuration with an idle time is in force.

        Args:
          idle_ms: The idle time in milliseconds.
          now_ms: The time.
        """
        if idle_ms != self._newest_ms:
            until_ms = now_ms + self._overlap_ms
            self._changes.append((until_ms, self._newest_ms))
            self._newest_ms = idle_ms

    def in_force_ms(self, now_ms):
        """Return how long connections may be idle, in milliseconds.

        Args:
          now_ms: The time.
        """
        self._changes = [
            change for change in self._changes if change[0] > now_ms
        ]
        earlier = [idle_ms for _until_ms, idle_ms in self._changes]
        return max([self._newest_ms, *earlier])
