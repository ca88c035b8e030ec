"""How long ago something was proved to be the newest of its kind."""

#: By way of a reader and a home a proof is up to two seconds old.
_USUAL_MS = 2050
#: A keyed request needs one younger than 4.3 s where revocation is strict.
_LONGEST_MS = 3000


def choose_stale_ms(in_force_ms):
    """Return how old a proof is when the platform has to be asked for a new one.

    All who read the platform for others may be cut off from it at once, while
    a version is published that must be in force soon.

    Args:
      in_force_ms: Within what time a version must be in force, in
        milliseconds.
    """
    return min(max(in_force_ms, _USUAL_MS), _LONGEST_MS)


class Proof:
    """The newest moment at which it was proved, on this process's clock.

    That moment is the one of asking, not that of the answer: what comes back
    proves no more than what was current when it was asked for.
    """

    __slots__ = ('_asked_ms',)

    def __init__(self):
        """Create without a proof."""
        self._asked_ms = None

    def note(self, asked_ms):
        """Take a proof; an older one changes nothing.

        Args:
          asked_ms: When it was asked for, on this process's clock.
        """
        if self._asked_ms is None or asked_ms > self._asked_ms:
            self._asked_ms = asked_ms

    def age_ms(self, now_ms):
        """Return the age of the proof in milliseconds, or None.

        Args:
          now_ms: The time on this process's clock.
        """
        return None if self._asked_ms is None else now_ms - self._asked_ms
