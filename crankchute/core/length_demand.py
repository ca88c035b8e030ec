"""Recent demand of long and short prompts, which sets their shares of a pool.

The share of the engines that is reserved for long prompts follows the demand.
A fixed share would leave engines idle next to queues whenever the mix of
lengths changes.
"""

#: The length, in usual prompts, above which a prompt counts as long.
LONG_PROMPT_FACTOR = 2
#: The half-life of recorded demand; shares follow a change within seconds.
_HALF_LIFE_MS = 2000
#: The capacity reserved for long prompts, in multiples of their prefill time:
#: their parts run in parallel and should not delay other requests.
_LONG_HEADROOM_FACTOR = 2
#: The minimum share of either kind, so that a change in the mix finds room.
_MIN_SHARE = 0.1
#: The long share without demand, towards which little demand is weighted.
_DEFAULT_SHARE = 0.5
#: The weight of the default share, in milliseconds of engine time.
_PRIOR_MS = 4000


class LengthDemand:
    """Exponentially decaying sums of the work sent to engines."""

    __slots__ = ('_long_ms', '_short_count', '_short_ms', '_updated_ms')

    def __init__(self):
        """Create the sums without any demand."""
        self._long_ms = float(0)
        self._short_ms = float(0)
        self._short_count = float(0)
        self._updated_ms = float(0)

    def record(self, work, now_ms):
        """Record work sent by any instance.

        Args:
          work: A WorkItem.
          now_ms: The time.
        """
        self._decay(now_ms)
        if work.weight > LONG_PROMPT_FACTOR:
            self._long_ms += work.prefill_ms
        else:
            self._short_ms += work.prefill_ms
            self._short_count += work.is_decoding

    def estimate_long_share(self, now_ms, slot_ms):
        """Return the share of a pool's engines to reserve for long prompts.

        Args:
          now_ms: The time.
          slot_ms: The decode time of a usual answer, divided by the slots of
            an engine.
        Returns:
          A float.
        """
        self._decay(now_ms)
        long_ms = self._long_ms * _LONG_HEADROOM_FACTOR
        short_ms = self._short_ms + self._short_count * slot_ms
        total_ms = long_ms + short_ms + _PRIOR_MS
        share = (long_ms + _PRIOR_MS * _DEFAULT_SHARE) / total_ms
        return min(max(share, _MIN_SHARE), 1 - _MIN_SHARE)

    def _decay(self, now_ms):
        factor = 0.5 ** ((now_ms - self._updated_ms) / _HALF_LIFE_MS)
        self._long_ms *= factor
        self._short_ms *= factor
        self._short_count *= factor
        self._updated_ms = now_ms
