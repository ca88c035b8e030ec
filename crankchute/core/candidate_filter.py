"""Preselection of the engines to compare for a prompt.

Computing the cost of every engine would block the event loop, which relays all
streams, in large pools.  So a sample of the engines is ranked by a cheap
estimate of their wait, and only the best are compared in full.
"""

import heapq

from crankchute.core.engine_division import divide_engines
from crankchute.core.engine_model import estimate_decode_ms

#: The number of engines compared for a short prompt: unreserved ones, and
#: those reserved for long prompts.
_SHORT_LIMIT = 16
_SHORT_RESERVED_LIMIT = 8
#: The same for a long prompt, whose prefill up to 17 engines may share.
_LONG_LIMIT = 24
_LONG_RESERVED_LIMIT = 24
#: The size of the random sample of engines that are ranked.  The best of so
#: many are about as good as the best of all.
_MAX_RANKED = 192
#: Penalty for each decoding request, in milliseconds of wait, since a prefill
#: may delay it.
_DECODE_PENALTY_MS = 30
#: Penalty for a certain failure, in milliseconds of wait.
_FAILURE_PENALTY_MS = 1000
#: Penalties for a new connection and for an engine in another data centre, in
#: seconds of wait.  They exceed the added latency of 1 to 5 ms, since
#: connections cost CPU time at both ends and traffic between data centres costs
#: money, but they are low enough to only break ties.
_CONNECT_COST_S = 0.02
_REMOTE_COST_S = 0.01
_MS_PER_SECOND = 1000


class CandidateFilter:
    """Selects the engines of a pool to compare.

    Attributes:
      reserved_ids: The ids of the engines reserved for long prompts.
      is_limited: Whether urgent prompts limit the number of reserved engines.
    """

    def __init__(self, parts):
        """Create the candidate_filter of a pool.

        Args:
          parts: ChooserParts.
        """
        self._random = parts.random
        self._work_tracker = parts.work_tracker
        self._is_connected = parts.is_connected
        self._data_centre = parts.data_centre
        self._slots = parts.pool.engine_figures.slots
        self._slot_ms = (
            estimate_decode_ms(parts.pool.engine_figures) / self._slots
        )
        self._members = None
        self._shuffled = []
        self._sorted_ids = []
        self._reserved_count = 0
        self.is_limited = False
        self.reserved_ids = frozenset()

    def update_members(self, members):
        """Set the engines of the pool.

        Reserved engines are chosen by id, so that all instances reserve the
        same ones.

        Args:
          members: The Backends; the same list object while unchanged.
        """
        if members is self._members:
            return
        self._members = members
        self._shuffled = list(members)
        self._random.shuffle(self._shuffled)
        self._sorted_ids = sorted(backend.identity for backend in members)
        self._reserved_count = 0

    def update_reserved(self, now_ms):
        """Reserve engines for long prompts according to demand.

        Args:
          now_ms: The time.
        """
        demand = self._work_tracker.demand
        division = divide_engines(
            len(self._sorted_ids),
            demand.estimate_long_share(now_ms, self._slot_ms),
            demand.estimate_urgent_engines(now_ms, self._slot_ms),
        )
        self.is_limited = division.is_limited
        count = division.reserved_count
        if count != self._reserved_count:
            self._reserved_count = count
            self.reserved_ids = frozenset(self._sorted_ids[:count])

    def sample_window(self):
        """Return a random sample of the engines, a list of Backend."""
        if not self._shuffled:
            return []
        start = self._random.randrange(len(self._shuffled))
        # Ties go to the first engine, so the sample starts at a random place
        # of an order that differs between instances.
        rotated = self._shuffled[start:] + self._shuffled[:start]
        return rotated[:_MAX_RANKED]

    def restrict(self, usable, priority, now_ms, *, is_long):
        """Return the engines that a prompt may use.

        While urgent short prompts need more engines than long ones leave, both
        keep to their engines: long prompts would pause urgent streams, and
        urgent prompts would fill the few engines that others depend on.

        Args:
          usable: The Backends that accept requests now.
          priority: The priority of the prompt.
          now_ms: The time.
          is_long: Whether it is a long prompt.
        Returns:
          A list of Backend; empty only if usable is empty.
        """
        demand = self._work_tracker.demand
        if not self.is_limited:
            return usable
        if is_long and not demand.is_deferrable(priority, now_ms):
            return usable
        return [
            backend
            for backend in usable
            if (backend.identity in self.reserved_ids) == is_long
        ] or usable

    def select(self, usable, now_ms, *, is_long):
        """Return the engines to compare, in any order.

        Args:
          usable: The Backends that accept requests now.
          now_ms: The time.
          is_long: Whether several engines may share the prefill.
        Returns:
          A list of Backend.
        """
        limit, reserved_limit = _SHORT_LIMIT, _SHORT_RESERVED_LIMIT
        if is_long:
            limit, reserved_limit = _LONG_LIMIT, _LONG_RESERVED_LIMIT
        if len(usable) <= limit + reserved_limit:
            return usable
        unreserved = [
            backend
            for backend in usable
            if backend.identity not in self.reserved_ids
        ]
        reserved = [
            backend
            for backend in usable
            if backend.identity in self.reserved_ids
        ]

        def estimate_wait(backend):
            return self._estimate_wait_ms(backend, now_ms)

        return [
            *heapq.nsmallest(limit, unreserved, key=estimate_wait),
            *heapq.nsmallest(reserved_limit, reserved, key=estimate_wait),
        ]

    def estimate_network_cost_s(self, backend):
        """Return the network penalty of an engine, in seconds of wait.

        Args:
          backend: A Backend.
        """
        cost_s = 0
        if not self._is_connected(backend):
            cost_s += _CONNECT_COST_S
        if backend.listed.data_centre != self._data_centre:
            cost_s += _REMOTE_COST_S
        return cost_s

    def _estimate_wait_ms(self, backend, now_ms):
        """Return a cheap estimate of the wait for an engine, with penalties."""
        state = self._work_tracker.state(backend.identity)
        excess = max(state.decode_count + 1 - self._slots, 0)
        return (
            state.wait_ms(now_ms)
            + state.decode_count * _DECODE_PENALTY_MS
            + excess * self._slot_ms
            + backend.failure_estimator.failure_probability(now_ms)
            * _FAILURE_PENALTY_MS
            + self.estimate_network_cost_s(backend) * _MS_PER_SECOND
        )
