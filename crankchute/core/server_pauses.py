"""Pauses that overloaded servers ask this instance for.

An overloaded server rejects requests and names a time.  It then has none of
this instance's requests and looks idle, so the pause must be enforced.  It is
kept apart from the server's entry, which may expire and return within the pause
while the store is unavailable.
"""


class ServerPauses:
    """The end of the pause of each server that asked for one."""

    __slots__ = ('_clock', '_until_ms')

    def __init__(self, clock):
        """Create an empty collection.

        Args:
          clock: A Clock.
        """
        self._clock = clock
        self._until_ms = {}

    def request_pause(self, identity, pause_ms):
        """Record a pause; it never shortens the one on record.

        Answers may arrive out of order, so a later one may be the older.

        Args:
          identity: The server's identity.
          pause_ms: The length of the pause from now on, in milliseconds.
        Returns:
          The end of the pause, on this process's clock.
        """
        self.pause_until(identity, self._clock.now_ms() + pause_ms)
        return self.until_ms(identity)

    def pause_until(self, identity, until_ms):
        """Record the end of a pause; it never shortens the one on record.

        Args:
          identity: The server's identity.
          until_ms: A time on this process's clock.
        """
        now_ms = self._clock.now_ms()
        until_ms = max(until_ms, self.until_ms(identity))
        self._until_ms = {
            one: end_ms
            for one, end_ms in self._until_ms.items()
            if end_ms > now_ms
        }
        if until_ms > now_ms:
            self._until_ms[identity] = until_ms

    def until_ms(self, identity):
        """Return the end of a server's pause, 0 if none is on record.

        Args:
          identity: The server's identity.
        """
        return self._until_ms.get(identity, 0)
