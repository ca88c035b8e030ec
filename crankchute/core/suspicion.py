"""How much a backend server seems to fail, by own signs and others'.

A server is avoided from the first failure on, while a breaker waits for the
third.  Instances tell each other their own signs only, so that a sign never
comes back as news.  All signs fade, and are weighed against the other reasons
for a choice; they never forbid a server.
"""

#: After this long half of a sign has faded, in milliseconds: about as long as
#: a short request takes, so that a server is tried again by a few of them.
_HALF_MS = 2000
#: No matter how many failures, a server counts as failing at most this much.
_MOST = 4
#: What a success leaves of the signs before it.
_LEFT_BY_SUCCESS = 0.5
#: Less than this is not worth telling or weighing.
LEAST_SIGN = 0.1


class FadingSign:
    """A number that halves every so often."""

    __slots__ = ('_level', '_since_ms')

    def __init__(self, level, now_ms):
        """Create the sign.

        Args:
          level: A float.
          now_ms: The time.
        """
        self._level = level
        self._since_ms = now_ms

    def level(self, now_ms):
        """Return what is left of it.

        Args:
          now_ms: The time.
        """
        return self._level * 0.5 ** ((now_ms - self._since_ms) / _HALF_MS)


class Suspicion:
    """What is thought of one server."""

    __slots__ = ('_heard', '_own')

    def __init__(self):
        """Create the record of a server without signs."""
        self._own = None
        self._heard = {}

    def note_failure(self, now_ms, weight=1):
        """Note that a request failed there.

        Args:
          now_ms: The time.
          weight: How sure it is that the server is at fault, up to 1.
        """
        level = min(self.own_level(now_ms) + weight, _MOST)
        self._own = FadingSign(level, now_ms)

    def note_success(self, now_ms):
        """Note that a request was answered.

        Args:
          now_ms: The time.
        """
        level = self.own_level(now_ms) * _LEFT_BY_SUCCESS
        self._own = FadingSign(level, now_ms) if level > LEAST_SIGN else None

    def hear(self, instance, level, now_ms):
        """Take what another instance thinks by its own signs.

        Args:
          instance: Its id; a later word replaces an earlier one.
          level: A float.
          now_ms: The time.
        """
        self._heard[instance] = FadingSign(min(level, _MOST), now_ms)

    def own_level(self, now_ms):
        """Return how much it failed this instance lately, a float.

        Args:
          now_ms: The time.
        """
        return 0 if self._own is None else self._own.level(now_ms)

    def level(self, now_ms):
        """Return how much it seems to fail, from 0 to 4; one is a failure.

        Args:
          now_ms: The time.
        """
        if self._own is None and not self._heard:
            return 0
        total = self.own_level(now_ms)
        for instance, sign in tuple(self._heard.items()):
            level = sign.level(now_ms)
            if level < LEAST_SIGN:
                self._heard.pop(instance)
            else:
                total += level
        return min(total, _MOST)
