"""What long and short prompts ask of engines, as it was seen lately.

Engines are divided between both by it.  A fixed half was wrong wherever the
mix of lengths swings: with nearly no long prompts it left half of a pool idle
beside queues of short ones, and with many it kept long ones off engines that
nobody else used.
"""

#: A prompt that is longer than so many usual ones counts as long.
LONG_PROMPTS = 2
#: After this long half of what was seen has faded, so that the division has
#: followed most of a swing after some seconds.
_HALF_MS = 2000
#: How much more a long prompt needs than the time of reading it: its parts are
#: read at the same time, and need engines where nobody is put back by them.
_LONG_FACTOR = 2
#: What is left to either at least, so that the first one of a swing finds room.
_LEAST_SHARE = 0.1
#: The division until anything was seen, and what it is drawn to while little is.
_USUAL_SHARE = 0.5
#: How much work, in milliseconds of engines, counts as little.
_LITTLE_MS = 4000


class LengthDemand:
    """Fading sums of the work that was sent to engines."""

    __slots__ = ('_long_ms', '_short_ms', '_shorts', '_since_ms')

    def __init__(self):
        """Create without any work seen."""
        self._long_ms = float(0)
        self._short_ms = float(0)
        self._shorts = float(0)
        self._since_ms = float(0)

    def note(self, work, now_ms):
        """Take work that was sent, by whichever instance.

        Args:
          work: A Work.
          now_ms: The time.
        """
        self._fade(now_ms)
        if work.weight > LONG_PROMPTS:
            self._long_ms += work.read_ms
        else:
            self._short_ms += work.read_ms
            self._shorts += work.is_writer

    def estimate_long_share(self, now_ms, slot_ms):
        """Return which part of a pool's engines long prompts should have.

        Args:
          now_ms: The time.
          slot_ms: How long a usual answer takes, by the slots of an engine.
        Returns:
          A float.
        """
        self._fade(now_ms)
        long_ms = self._long_ms * _LONG_FACTOR
        short_ms = self._short_ms + self._shorts * slot_ms
        total_ms = long_ms + short_ms + _LITTLE_MS
        share = (long_ms + _LITTLE_MS * _USUAL_SHARE) / total_ms
        return min(max(share, _LEAST_SHARE), 1 - _LEAST_SHARE)

    def _fade(self, now_ms):
        left = 0.5 ** ((now_ms - self._since_ms) / _HALF_MS)
        self._long_ms *= left
        self._short_ms *= left
        self._shorts *= left
        self._since_ms = now_ms
