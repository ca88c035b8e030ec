"""Policies that choose an engine for a request.

A policy is a function of the candidates and a RoutingView, and returns one of
the candidates.  The simple ones are the baselines that the chosen one is
measured against; all of them can be named in the configuration.
"""

from crankchute.core.prefix import hash_blocks
from crankchute.core.registry import Registry

routing_policies = Registry()

#: How old an engine's load may be when its report arrives.
REPORT_LAG_MS = 300
_FAR_PENALTY_MS = 4
_STREAM_COST_MS = 0.5
_MS_PER_LONG = 2


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
    waiting = load.queued_tokens + backend.unreported_tokens(REPORT_LAG_MS)
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
    count = min(len(candidates), 2)
    pair = view.random.sample(candidates, count)
    return min(pair, key=lambda backend: backend.in_flight)


@routing_policies.register('earliest-start')
def choose_earliest_start(candidates, view):
    """Choose the engine where the first token is predicted earliest.

    Engines that work on long prompts count as later for short requests, so
    that long prompts gather on few engines.
    """
    view.random.shuffle(candidates)
    return min(candidates, key=lambda one: _start_with_company(one, view))


def _count_uncached(backend, view):
    cached = backend.prefix.count_bytes(view.hashes, view.now_ms)
    whole = max(len(view.job.prompt), 1)
    return view.job.tokens * (1 - min(cached / whole, 1))


def _reported_load(backend):
    return backend.load.queued_tokens + backend.load.running


def _start_with_company(backend, view):
    start_ms = estimate_start_ms(backend, view)
    if backend.serving_long and not view.job.is_long:
        start_ms += _MS_PER_LONG * backend.serving_long
    return start_ms
