"""Recent demand of long and short prompts, which sets their shares of a pool.

The share of the engines that is reserved for long prompts follows the demand.
A fixed share would leave engines idle next to queues whenever the mix of
lengths changes.  Demand of short prompts that are more urgent than the long
ones is counted separately, including prompts that were refused: otherwise
refusing them would free engines for less urgent prompts.
"""

import math

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
#: The half-life of demand by priority: a burst of urgent prompts lasts a few
#: seconds, and its first prompts are lost until the division follows.
_URGENT_HALF_LIFE_MS = 1000
#: Demand by priority below this engine time is ignored, in milliseconds.
_NEGLIGIBLE_MS = 1


class LengthDemand:
    """Exponentially decaying sums of the work sent to engines."""

    __slots__ = (
        '_by_priority',
        '_long_ms',
        '_short_count',
        '_short_ms',
        '_updated_ms',
    )

    def __init__(self):
        """Create the sums without any demand."""
        self._by_priority = {}
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
        sums = self._sums_of(work.priority, now_ms)
        if work.weight > LONG_PROMPT_FACTOR:
            self._long_ms += work.prefill_ms
            sums.long_ms += work.prefill_ms
        else:
            self._short_ms += work.prefill_ms
            self._short_count += work.is_decoding
            sums.short_ms += work.prefill_ms
            sums.short_count += work.is_decoding

    def record_refused(self, prompt, instances, now_ms):
        """Record a prompt that this instance refused.

        Other instances refuse alike but do not report it, so each refusal
        counts for all instances that callers are directed to.

        Args:
          prompt: A WorkItem that was not sent.
          instances: The number of these instances.
          now_ms: The time.
        """
        sums = self._sums_of(prompt.priority, now_ms)
        if prompt.weight <= LONG_PROMPT_FACTOR:
            sums.short_ms += prompt.prefill_ms * instances
            sums.short_count += instances

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

    def estimate_urgent_engines(self, now_ms, slot_ms):
        """Return how many engines the more urgent short prompts fill.

        Short prompts count by the fraction of the long prompts' work that is
        less urgent than they are.

        Args:
          now_ms: The time.
          slot_ms: See estimate_long_share.
        Returns:
          A float; 0 if no short prompt is more urgent than a long one.
        """
        weighted_ms = 0
        less_urgent_ms = 0
        for priority in sorted(self._by_priority, reverse=True):
            sums = self._sums_of(priority, now_ms)
            short_ms = sums.short_ms + sums.short_count * slot_ms
            weighted_ms += short_ms * less_urgent_ms
            less_urgent_ms += sums.long_ms
        if less_urgent_ms < _NEGLIGIBLE_MS:
            return 0
        urgent_ms = weighted_ms / less_urgent_ms
        return urgent_ms * math.log(2) / _URGENT_HALF_LIFE_MS

    def is_deferrable(self, priority, now_ms):
        """Return whether short prompts of a more urgent priority are sent.

        Args:
          priority: The priority of a prompt.
          now_ms: The time.
        """
        return any(
            other < priority
            and self._sums_of(other, now_ms).short_ms >= _NEGLIGIBLE_MS
            for other in self._by_priority
        )

    def _sums_of(self, priority, now_ms):
        sums = self._by_priority.get(priority)
        if sums is None:
            sums = _PrioritySums(now_ms)
            self._by_priority[priority] = sums
        sums.decay(now_ms)
        return sums

    def _decay(self, now_ms):
        factor = 0.5 ** ((now_ms - self._updated_ms) / _HALF_LIFE_MS)
        self._long_ms *= factor
        self._short_ms *= factor
        self._short_count *= factor
        self._updated_ms = now_ms


class _PrioritySums:
    """Decaying sums of the demand of one priority."""

    __slots__ = ('long_ms', 'short_count', 'short_ms', 'updated_ms')

    def __init__(self, now_ms):
        self.long_ms = float(0)
        self.short_ms = float(0)
        self.short_count = float(0)
        self.updated_ms = now_ms

    def decay(self, now_ms):
        factor = 0.5 ** ((now_ms - self.updated_ms) / _URGENT_HALF_LIFE_MS)
        self.long_ms *= factor
        self.short_ms *= factor
        self.short_count *= factor
        self.updated_ms = now_ms
