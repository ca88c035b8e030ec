"""What a choice of engines is made of: candidates, plans, and their weights."""

#: The part of the time to the goal from which on a first event may be late.
#: Nine in ten come within 1.1 of the prediction where no joint read interferes;
#: 0.6 and 0.8 differ little (worth of yards without faults, mean of six seeds:
#: 0.882 and 0.888).
_SURE_PART = 0.8
#: How many passes a prompt waits at an engine with writers: half of the one
#: that runs, and the one in which it is read (MEASUREMENTS.md).
PASSES = 1.5
#: A prompt that needs more than this part of an engine's memory has it set
#: aside at several engines: beside it there would be room for little else.
_SHARED_MEMORY = 0.5


class PlacementKey:
    """By what the board knows an attempt: its works at several engines."""

    __slots__ = ('works',)

    def __init__(self, works):
        """Create the key.

        Args:
          works: A tuple of Work, the writer's first.
        """
        self.works = works


class Candidate:
    """An engine that a job may be sent to.

    Attributes:
      backend: The Backend.
      state: Its EngineState.
      delay_ms: How long a read that is sent now waits there.
      pass_ms: How long a pass takes there without new reads.
      is_kept: Whether short prompts are kept off it, a bool.
      slowness: How much slower than published it seems to be.
      risk: How likely a request fails there, from 0 to 1.
    """

    __slots__ = (
        'backend',
        'delay_ms',
        'is_kept',
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
        self.is_kept = fields['is_kept']
        self.slowness = fields['slowness']
        self.risk = fields['risk']

    def first_ms(self, read_ms):
        """Predict when a read that is sent now is done.

        Args:
          read_ms: How long it takes by the published figures.
        """
        return self.delay_ms + read_ms * self.slowness

    def list_harmed(self, read_ms, *, goes_first):
        """Return the works that a read would make late here.

        Parts of a prompt that several engines read go before what waits: of
        304 joint reads that another one followed, a tenth had first events
        after 4.4 times the prediction, of 857 others after 1.1 times.

        Args:
          read_ms: How long it takes by the published figures.
          goes_first: Whether it goes before what waits already.
        Returns:
          A list of Work.
        """
        wait_ms = self.delay_ms - self.pass_ms * PASSES
        own_ms = read_ms * self.slowness
        harmed = self.state.list_delayed_decodes(
            wait_ms + self.pass_ms + own_ms
        )
        if goes_first:
            harmed.extend(self.state.list_delayed_prefills(own_ms))
        return harmed


class Plan:
    """A way to place a job, and its cost in worth."""

    __slots__ = ('chosen', 'cost', 'first_ms', 'harm', 'read_ms')

    def __init__(self, chosen, *, read_ms, first_ms, cost, harm):
        """Create the plan.

        Args:
          chosen: Candidates, the writer first.
          read_ms: How long each of them reads.
          first_ms: When the last part is predicted to be read.
          cost: A float, the harm to others included.
          harm: What others lose by it, a float.
        """
        self.chosen = chosen
        self.read_ms = read_ms
        self.first_ms = first_ms
        self.cost = cost
        self.harm = harm


def weigh_harm(works):
    """Return the worth that is lost with works that come late.

    Args:
      works: An iterable of Work; the parts of one prompt count once.
    """
    weights = {work.key: work.weight for work in works}
    return sum(weights.values())


def weigh_job(figures, job):
    """Return the worth of a job, as that of so many usual prompts.

    Args:
      figures: EngineFigures.
      job: A ForwardJob with a size.
    """
    return max(job.size.prompt / figures.usual_prompt, 1)


def count_least_parts(figures, job):
    """Return among how many engines a job's memory must be shared.

    Args:
      figures: EngineFigures.
      job: A ForwardJob with a size.
    """
    usable = figures.memory_tokens * _SHARED_MEMORY
    needed = job.size.memory
    return 1 if needed <= usable else -int(-needed // usable)


def grade_lateness(part):
    """Return how likely what takes a part of its time is late, from 0 to 1.

    Args:
      part: The predicted by the allowed time.
    """
    return min(max((part - _SURE_PART) / (1 - _SURE_PART), 0), 1)


def is_surely_in_time(first_ms, left_ms):
    """Tell whether a first event is hardly ever late.

    Args:
      first_ms: When it is predicted.
      left_ms: What is left until the goal, in milliseconds.
    """
    return first_ms <= left_ms * _SURE_PART
