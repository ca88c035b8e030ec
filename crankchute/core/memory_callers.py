"""Fake callers of long and short prompts, for replays of load."""

from random import Random

from crankchute.core.forward_job import PromptSize
from crankchute.core.memory_model import USUAL_PROMPT

_MS_PER_SECOND = 1000
_BURST_MS = 20
_LONG_ANSWER = 1000
_LONG_GOAL_MS = 6055
_LONG_GAP_MS = 1000
_LONG_DEADLINE_MS = 20_000
_SHORT_ANSWER = 300
_SHORT_GOAL_MS = 271
_SHORT_DEADLINE_MS = 5000


class ModelCallers:
    """Callers of long and short prompts, who retry once after a refusal.

    Attributes:
      long_sinks: A dict from request id to the FakeSink of a long prompt.
      short_sinks: The same for short prompts.
    """

    def __init__(self, world, seed):
        """Create the callers; replay() sends their prompts.

        Args:
          world: The ModelWorld.
          seed: The seed of sizes and times.
        """
        self._world = world
        self._random = Random(seed)
        self.long_sinks = {}
        self.short_sinks = {}

    def replay(self, duration_ms, long_per_s, short_per_s):
        """Send prompts with random gaps, and advance the time.

        Args:
          duration_ms: How long prompts arrive.
          long_per_s: The mean number of prompts of 190,000 to 600,000 tokens.
          short_per_s: The mean number of prompts of usual length.
        """
        for rate, send in (
            (long_per_s, self._send_long),
            (short_per_s, self._send_short),
        ):
            due_ms = self._random.expovariate(rate) * _MS_PER_SECOND
            while due_ms < duration_ms:
                self._world.timers.after(due_ms, send)
                due_ms += self._random.expovariate(rate) * _MS_PER_SECOND
        self._world.timers.advance(duration_ms)

    def send_long_burst(self, count):
        """Send long prompts within 20 ms.

        Args:
          count: The number of prompts.
        """
        for _ in range(count):
            delay_ms = self._random.uniform(0, _BURST_MS)
            self._world.timers.after(delay_ms, self._send_long)

    def _send_long(self):
        prompt = self._random.choice((190_000, 190_000, 300_000, 600_000))
        fields = {
            'size': PromptSize(prompt, _LONG_ANSWER),
            'goal_ms': _LONG_GOAL_MS,
            'gap_ms': _LONG_GAP_MS,
            'priority': 2,
            'remaining_ms': _LONG_DEADLINE_MS,
        }
        self._send(self.long_sinks, 'long', fields)

    def _send_short(self):
        fields = {
            'size': PromptSize(USUAL_PROMPT, _SHORT_ANSWER),
            'goal_ms': _SHORT_GOAL_MS,
            'remaining_ms': _SHORT_DEADLINE_MS,
        }
        self._send(self.short_sinks, 'short', fields)

    def _send(self, sinks, kind, fields, *, may_retry=True):
        request_id = f'{kind}-{len(sinks)}'
        alive = [one for one in self._world.instances if not one.is_dead]
        sink = self._random.choice(alive).submit(
            request_id=request_id, **fields
        )
        sinks[request_id] = sink
        if sink.retry_after_ms is not None and may_retry:
            self._world.timers.after(
                sink.retry_after_ms,
                lambda: self._send(sinks, kind, fields, may_retry=False),
            )


def count_served(sinks):
    """Return how many requests received an event.

    Args:
      sinks: FakeSinks.
    """
    return sum(('event', 1) in sink.events for sink in sinks)
