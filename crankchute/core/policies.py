"""Routing policies, which choose an engine for a request.

A policy is a function that takes the candidates and a RoutingView and returns
one of the candidates.  The configuration selects a policy by name; the simple
ones serve as baselines for benchmarks.
"""

from crankchute.core.prefix_index import hash_blocks
from crankchute.core.registry import Registry

routing_policies = Registry()

_REMOTE_PENALTY_MS = 4
_STREAM_COST_MS = 0.5
_TIE_MARGIN_MS = 8


class RoutingView:
    """The input of a policy besides the candidates.

    Attributes:
      job: The Job to place.
      now_ms: The time in milliseconds.
      random: A random.Random.
      data_centre: The data centre of this instance.
      counter: A number that increases by one with each choice.
    """

    __slots__ = ('_hashes', 'counter', 'data_centre', 'job', 'now_ms', 'random')

    def __init__(self, job, now_ms, random, data_centre, counter):
        """Create the view.

        Args:
          job: The Job.
          now_ms: The time in milliseconds.
          random: A random.Random.
          data_centre: The data centre of this instance.
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
    """Estimate the time to the first token of a request on an engine.

    Includes the prompt tokens that are queued there, by the engine's last
    report and the requests that this instance sent since, and the part of the
    prompt that is not in the engine's prefix cache.

    Args:
      backend: A Backend.
      view: A RoutingView.
    Returns:
      Milliseconds, a float.
    """
    load = backend.load
    queued = backend.tokens_ahead(view.job.engine_priority, view.now_ms)
    uncached = _count_uncached(backend, view)
    is_remote = backend.listed.data_centre != view.data_centre
    distance_ms = _REMOTE_PENALTY_MS if is_remote else 0
    streams_ms = load.running * _STREAM_COST_MS
    return (queued + uncached) / load.prefill_rate + distance_ms + streams_ms


@routing_policies.register('random')
def choose_random(candidates, view):
    """Choose a random engine."""
    return view.random.choice(candidates)


@routing_policies.register('round-robin')
def choose_round_robin(candidates, view):
    """Choose the engines in round-robin order."""
    return candidates[view.counter % len(candidates)]


@routing_policies.register('least-reported')
def choose_least_reported(candidates, view):
    """Choose the engine with the smallest reported load."""
    return min(candidates, key=_reported_load)


@routing_policies.register('two-choices')
def choose_better_of_two(candidates, view):
    """Choose the one of two random engines with fewer requests in flight."""
    return min(_sample_two(candidates, view), key=_in_flight)


@routing_policies.register('earliest-start')
def choose_earliest_start(candidates, view):
    """Choose an engine with a nearly minimal time to the first token.

    Instances do not see each other's choices, so each chooses at random among
    the engines close to the best; otherwise all would pick the same one.
    """
    starts = [
        (estimate_start_ms(backend, view), backend) for backend in candidates
    ]
    earliest_ms = min(start_ms for start_ms, _ in starts)
    best = [
        backend
        for start_ms, backend in starts
        if start_ms <= earliest_ms + _TIE_MARGIN_MS
    ]
    return min(_sample_two(best, view), key=_in_flight)


def _count_uncached(backend, view):
    cached = backend.prefix.count_bytes(view.hashes, view.now_ms)
    total_bytes = max(len(view.job.prompt), 1)
    return view.job.tokens * (1 - min(cached / total_bytes, 1))


def _reported_load(backend):
    return backend.load.queued_tokens + backend.load.running


def _sample_two(candidates, view):
    return view.random.sample(candidates, min(len(candidates), 2))


def _in_flight(backend):
    return backend.in_flight
