"""Policies that choose an engine for a request.

A policy is a function of the candidates and a RoutingView, and returns one of
the candidates.  The simple ones are the baselines that the chosen one is
measured against; all of them can be named in the configuration.
"""

from crankchute.core.prefix import hash_blocks
from crankchute.core.registry import Registry

routing_policies = Registry()

_FAR_PENALTY_MS = 4
_STREAM_COST_MS = 0.5
_NEAR_MS = 8


class RoutingView:
    """What a policy may look at besides the candidates.

    Attributes:
      job: The Job that is to be placed.
      now_ms: The time in milliseconds.
      random: A random.Random.
      data_centre: Where this instance runs.
      counter: A number that rises by one with each choice.
    """

    __slots__ = ('_hashes', 'counter', 'data_centre', 'job', 'now_ms', 'random')

    def __init__(self, job, now_ms, random, data_centre, counter):
        """Create the view.

        Args:
          job: The Job.
          now_ms: The time in milliseconds.
          random: A random.Random.
          data_centre: Where this instance runs.
          counter: The number of the choice.
        """
        self.job = job
        self.now_ms = now_ms
        self.random = random
        self.data_centre = data_centre
        self.counter = counter
        self._hashes = None

    @property
    def hashes(self):
        """The hashes of the prompt's leading blocks, a list."""
        if self._hashes is None:
            model = self.job.model.encode()
            self._hashes = hash_blocks(self.job.prompt, model)
        return self._hashes


def estimate_start_ms(backend, view):
    """Predict the time until a request's first token on an engine.

    Counts the prompt tokens that wait there, by the engine's last report and
    by what this instance sent since, and the part of the prompt that is not
    believed to be cached.

    Args:
      backend: A Backend.
      view: A RoutingView.
    Returns:
      Milliseconds, a float.
    """
    load = backend.load
    waiting = backend.tokens_ahead(view.job.engine_priority, view.now_ms)
    own = _count_uncached(backend, view)
    far = backend.listed.data_centre != view.data_centre
    distance_ms = _FAR_PENALTY_MS if far else 0
    streams_ms = load.running * _STREAM_COST_MS
    return (waiting + own) / load.prefill_rate + distance_ms + streams_ms


@routing_policies.register('random')
def choose_random(candidates, view):
    """Choose any engine."""
    return view.random.choice(candidates)


@routing_policies.register('round-robin')
def choose_round_robin(candidates, view):
    """Choose the engines in turn."""
    return candidates[view.counter % len(candidates)]


@routing_policies.register('least-reported')
def choose_least_reported(candidates, view):
    """Choose the engine with the smallest reported load."""
    return min(candidates, key=_reported_load)


@routing_policies.register('two-choices')
def choose_of_two(candidates, view):
    """Choose the better of two random engines, by own requests in flight."""
    return min(_draw_two(candidates, view), key=_in_flight)


@routing_policies.register('earliest-start')
def choose_earliest_start(candidates, view):
    """Choose an engine where the first token is predicted about earliest.

    Instances do not know of one another's choices.  Each chooses at random
    among the engines that are nearly as good as the best, so that they do
    not all run to the same one.
    """
    starts = [(estimate_start_ms(one, view), one) for one in candidates]
    soonest = min(start for start, _ in starts)
    near = [one for start, one in starts if start <= soonest + _NEAR_MS]
    return min(_draw_two(near, view), key=_in_flight)


def _count_uncached(backend, view):
    cached = backend.prefix.count_bytes(view.hashes, view.now_ms)
    whole = max(len(view.job.prompt), 1)
    return view.job.tokens * (1 - min(cached / whole, 1))


def _reported_load(backend):
    return backend.load.queued_tokens + backend.load.running


def _draw_two(candidates, view):
    return view.random.sample(candidates, min(len(candidates), 2))


def _in_flight(backend):
    return backend.in_flight
