"""Candidates, plans and cost terms of the placement of prompts."""

#: The share of the time to a goal up to which a predicted duration is safe.
#: First events may come somewhat later than predicted, and much later where a
#: split prefill intervenes.
_SAFE_SHARE = 0.8
#: Passes before the first event of a prompt at a decoding engine: half of the
#: current one on average, and the one with its prefill.
PREFILL_DELAY_PASSES = 1.5
#: A prompt that needs a larger share of an engine's memory reserves it at
#: several engines, which leaves room for other requests.
_MAX_MEMORY_SHARE = 0.5


class PlacementKey:
    """The works of an attempt at all of its engines."""

    __slots__ = ('works',)

    def __init__(self, works):
        """Create the key.

        Args:
          works: A tuple of WorkItem, that of the decoding engine first.
        """
        self.works = works


class Candidate:
    """An engine that is considered for a job.

    Attributes:
      backend: The Backend.
      state: Its EngineState.
      delay_ms: The predicted queueing delay of a new prefill.
      pass_ms: The duration of a pass without new prefills.
      is_reserved: Whether it is reserved for long prompts, a bool.
      slowness: The estimated ratio of actual to published durations.
      risk: The probability that a request fails there.
    """

    __slots__ = (
        'backend',
        'delay_ms',
        'is_reserved',
        'pass_ms',
        'risk',
        'slowness',
        'state',
    )

    def __init__(self, backend, state, **fields):
        """Create the candidate.

        Args:
          backend: A Backend.
          state: Its EngineState.
          fields: A value for each other attribute.
        """
        self.backend = backend
        self.state = state
        self.delay_ms = fields['delay_ms']
        self.pass_ms = fields['pass_ms']
        self.is_reserved = fields['is_reserved']
        self.slowness = fields['slowness']
        self.risk = fields['risk']

    def first_ms(self, prefill_ms):
        """Return the predicted time until a new prefill ends.

        Args:
          prefill_ms: Its duration by the published figures.
        """
        return self.delay_ms + prefill_ms * self.slowness

    def list_delayed(self, prefill_ms, *, is_prioritized):
        """Return the works here that a new prefill would make late.

        Args:
          prefill_ms: Its duration by the published figures.
          is_prioritized: Whether it runs before those that wait, as the parts
            of a split prefill do.  First events behind such a part may take
            several times as long as predicted.
        Returns:
          A list of WorkItem.
        """
        wait_ms = self.delay_ms - self.pass_ms * PREFILL_DELAY_PASSES
        slowed_ms = prefill_ms * self.slowness
        delayed = self.state.list_delayed_decodes(
            wait_ms + self.pass_ms + slowed_ms
        )
        if is_prioritized:
            delayed.extend(self.state.list_delayed_prefills(slowed_ms))
        return delayed


class Plan:
    """A possible placement of a job and its cost."""

    __slots__ = ('chosen', 'cost', 'first_ms', 'harm', 'prefill_ms')

    def __init__(self, chosen, *, prefill_ms, first_ms, cost, harm):
        """Create the plan.

        Args:
          chosen: Candidates, the decoding engine first.
          prefill_ms: The prefill time on each of them.
          first_ms: The predicted time until all parts are prefilled.
          cost: The total cost, including harm, a float.
          harm: The worth that other requests lose, a float.
        """
        self.chosen = chosen
        self.prefill_ms = prefill_ms
        self.first_ms = first_ms
        self.cost = cost
        self.harm = harm


def estimate_harm(works):
    """Return the worth that is lost if works are late.

    Args:
      works: An iterable of WorkItem; the parts of one prompt count once.
    """
    weights = {work.key: work.weight for work in works}
    return sum(weights.values())


def estimate_worth(figures, job):
    """Return the worth of a job, in multiples of a usual prompt's.

    Args:
      figures: EngineFigures.
      job: A ForwardJob with a size.
    """
    return max(job.size.prompt / figures.usual_prompt, 1)


def count_required_parts(figures, job):
    """Return the number of engines that a job's memory requires.

    Args:
      figures: EngineFigures.
      job: A ForwardJob with a size.
    """
    usable = figures.memory_tokens * _MAX_MEMORY_SHARE
    needed = job.size.kv_tokens
    return 1 if needed <= usable else -int(-needed // usable)


def estimate_late_probability(time_share):
    """Return the probability of missing a goal, from 0 to 1.

    Args:
      time_share: The ratio of the predicted to the allowed time.
    """
    return min(max((time_share - _SAFE_SHARE) / (1 - _SAFE_SHARE), 0), 1)


def is_safely_on_time(first_ms, remaining_ms):
    """Return whether a first event is very likely on time.

    Args:
      first_ms: The predicted time until the first event.
      remaining_ms: The time left until the goal.
    """
    return first_ms <= remaining_ms * _SAFE_SHARE
