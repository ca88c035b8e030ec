"""Until when servers want no request from this instance.

The load that this answers: a server that is overrun turns requests away and
names a time.  It has nothing of ours then, so it looks like the idlest of all;
and its entry may lapse and be back before that time is over, while the store is
away.
"""


class ServerRests:
    """When the rest of each server ends that asked for one."""

    __slots__ = ('_clock', '_until_ms')

    def __init__(self, clock):
        """Create without a server that rests.

        Args:
          clock: A Clock.
        """
        self._clock = clock
        self._until_ms = {}

    def note(self, identity, rest_ms):
        """Note that a server wants nothing for a while.

        A longer rest is not shortened: of two answers the one that comes later
        may be the older one.

        Args:
          identity: The server's id.
          rest_ms: For how long from now on, in milliseconds.
        Returns:
          Until when, on this process's clock.
        """
        self.keep(identity, self._clock.now_ms() + rest_ms)
        return self.until_ms(identity)

    def keep(self, identity, until_ms):
        """Note until when a server wants nothing; none is made shorter.

        Args:
          identity: The server's id.
          until_ms: A moment on this process's clock.
        """
        now_ms = self._clock.now_ms()
        until_ms = max(until_ms, self.until_ms(identity))
        # What is over is forgotten, so that this stays small.
        self._until_ms = {
            one: end_ms
            for one, end_ms in self._until_ms.items()
            if end_ms > now_ms
        }
        if until_ms > now_ms:
            self._until_ms[identity] = until_ms

    def until_ms(self, identity):
        """Return until when a server wants nothing, 0 if it did not ask.

        Args:
          identity: The server's id.
        """
        return self._until_ms.get(identity, 0)
