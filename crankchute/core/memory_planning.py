"""Decides which engines have memory for a prompt, and how much each reserves.

The decision uses the work that is known at each engine, which is more than the
engine holds at the moment: it includes reservations on their way and answers
that are not yet complete.  An engine that refuses a reservation holds memory
that no known work explains, so it is not asked again for a short time.
"""

import math

from crankchute.core.engine_model import estimate_decode_ms
from crankchute.core.engine_plans import count_required_parts
from crankchute.core.forward_job import PrefillHelper
from crankchute.core.memory_waits import estimate_release_ms
from crankchute.core.outcomes import refuse_not_run

#: Refusal codes: the engines together could not hold the prompt even if they
#: were idle; their known work leaves too little memory.
TOO_LARGE = 'too_large'
NO_MEMORY = 'no_memory'
#: The largest number of engines for one prompt: the published maximum number
#: of helpers, plus one.
MAX_PARTS = 17
#: The part of an engine's memory that known work may fill; the rest allows for
#: rounding by the engine.
USABLE_MEMORY_SHARE = 0.97
#: Helpers reserve more than an even share, so that a prompt still fits if its
#: decoding engine fills up.
_RESERVATION_MARGIN = 1.05
_MIN_RETRY_MS = 100


class MemoryPlanner:
    """Compares the memory that a prompt needs with that of a pool's engines."""

    __slots__ = ('_decode_ms', '_figures', '_find_state', '_usable_tokens')

    def __init__(self, figures, find_state):
        """Create the planner of a pool.

        Args:
          figures: EngineFigures.
          find_state: A function that maps an engine's id to its EngineState.
        """
        self._figures = figures
        self._find_state = find_state
        self._decode_ms = estimate_decode_ms(figures)
        self._usable_tokens = figures.memory_tokens * USABLE_MEMORY_SHARE

    def fits_one_engine(self, job):
        """Return whether an idle engine could hold a prompt and its answer.

        Args:
          job: A ForwardJob with a size.
        """
        return job.size.kv_tokens <= self._usable_tokens

    def part_tokens(self, job, parts):
        """Return the most memory that one engine needs for its part.

        Args:
          job: A ForwardJob with a size.
          parts: The number of engines.
        """
        if parts == 1:
            return job.size.kv_tokens
        return int(job.size.kv_tokens / parts * _RESERVATION_MARGIN) + 1

    def make_helpers(self, job, backends, create_ticket_id):
        """Return the PrefillHelpers of a placement, a tuple.

        Args:
          job: A ForwardJob with a size.
          backends: The Backends of the helpers.
          create_ticket_id: A function that returns the id of a reservation.
        """
        if count_required_parts(self._figures, job) == 1:
            return tuple(PrefillHelper(backend) for backend in backends)
        tokens = self.part_tokens(job, len(backends) + 1)
        return tuple(
            PrefillHelper(backend, create_ticket_id(), tokens)
            for backend in backends
        )

    def may_reserve(self, engine, tokens, now_ms):
        """Return whether an engine may take part in a joint prefill.

        Args:
          engine: The engine's id.
          tokens: The memory of its part.
          now_ms: The time.
        """
        state = self._find_state(engine)
        has_refused = state.refused_tokens(now_ms) is not None
        return not has_refused and state.memory + tokens <= self._usable_tokens

    def select(self, job, backends, now_ms, max_wait_ms):
        """Return the engines of which a placement may be made.

        Args:
          job: A ForwardJob with a size.
          backends: The Backends that accept requests.
          now_ms: The time.
          max_wait_ms: How long a prompt that needs one engine may wait for
            memory there; this counts only if no engine has room.
        Returns:
          A list of Backend; it is empty if the prompt must be refused.
        """
        if count_required_parts(self._figures, job) > 1:
            return self._list_for_parts(job, backends, now_ms)
        tokens = job.size.kv_tokens
        with_room = []
        # This runs for every prompt and many engines, so calls are saved.
        find_state = self._find_state
        max_known = self._usable_tokens - tokens
        for backend in backends:
            state = find_state(backend.identity)
            if state.memory <= max_known and not state.refuses(tokens, now_ms):
                with_room.append(backend)
        return with_room or [
            full
            for full in backends
            if self._wait_ms(full.identity, tokens, now_ms) <= max_wait_ms
        ]

    def list_splits(self, job, candidates, now_ms):
        """Return the possible numbers of engines with the engines for each.

        Args:
          job: A ForwardJob with a size.
          candidates: Candidates that may take part.
          now_ms: The time.
        Returns:
          A list of pairs of an int and a list of Candidate.
        """
        required_parts = count_required_parts(self._figures, job)
        max_parts = min(MAX_PARTS, len(candidates))
        if required_parts == 1:
            return [(parts, candidates) for parts in range(1, max_parts + 1)]
        splits = []
        for parts in self._list_part_counts(job, len(candidates)):
            if parts < required_parts and splits:
                # Fewer engines leave less room for other requests.
                break
            tokens = self.part_tokens(job, parts)
            fitting = [
                candidate
                for candidate in candidates
                if self.may_reserve(candidate.backend.identity, tokens, now_ms)
            ]
            if len(fitting) >= parts:
                splits.append((parts, fitting))
        return splits

    def is_too_large(self, job, engine_count):
        """Return whether a prompt would not fit if all engines were idle.

        Args:
          job: A ForwardJob with a size.
          engine_count: The number of engines of the pool.
        """
        return not self._list_part_counts(job, engine_count)

    def refuse(self, job, backends, hints, **context):
        """Return the Refusal of a prompt for which there is no memory.

        Args:
          job: A ForwardJob with a size.
          backends: The Backends that were considered.
          hints: RetryHints.
          context: The inputs of the decision besides the engines' states:
            `now_ms`, the time; `engine_count`, the number of engines of the
            pool; and `heard_ms_ago`, the time since the last message of
            another instance, or None.
        """
        now_ms = context['now_ms']
        if self.is_too_large(job, context['engine_count']):
            refusal = refuse_not_run(
                TOO_LARGE,
                'the engines of the pool have less memory than this needs',
                hints.choose_at_least_ms(job.remaining_ms(now_ms)),
            )
            wait_ms = math.inf
        else:
            wait_ms = self._placement_wait_ms(job, backends, now_ms)
            retry_ms = min(wait_ms, job.remaining_ms(now_ms))
            refusal = refuse_not_run(
                NO_MEMORY,
                'the engines have no memory left for this',
                hints.choose_at_least_ms(max(retry_ms, _MIN_RETRY_MS)),
            )
        refusal.inputs = {
            'needed': job.size.kv_tokens,
            'engines': len(backends),
            'pool': context['engine_count'],
            'left_out': self._count_left_out(backends, now_ms),
            'free_in_ms': None if math.isinf(wait_ms) else round(wait_ms),
            'heard_ms_ago': context['heard_ms_ago'],
        }
        return refusal

    def still_fits(self, work):
        """Return whether an engine has memory for work that was announced.

        Two instances that have not heard of each other's work may choose the
        same engine.  Once both know of both works, the one with the lower key
        keeps its place, so that exactly one of them gives way.

        Args:
          work: A WorkItem of this instance.
        """
        others = self._find_state(work.engine).works.values()
        earlier_tokens = sum(
            other.memory
            for other in others
            if other.key != work.key
            and (other.sent_ms < work.sent_ms or other.key < work.key)
        )
        return earlier_tokens + work.memory <= self._usable_tokens

    def _list_for_parts(self, job, backends, now_ms):
        """Return the engines that may take part in a joint prefill.

        Prefers engines with room for a large part, if these are as many as one
        prompt can use; else the number of parts that leaves the widest choice.
        All returned engines have room for that number of parts.
        """
        widest = []
        for parts in self._list_part_counts(job, len(backends)):
            tokens = self.part_tokens(job, parts)
            fitting = [
                backend
                for backend in backends
                if self.may_reserve(backend.identity, tokens, now_ms)
            ]
            if len(fitting) >= min(MAX_PARTS, len(backends)):
                return fitting
            if len(fitting) >= max(parts, len(widest) + 1):
                widest = fitting
        return widest

    def _list_part_counts(self, job, engine_count):
        """Return the possible numbers of engines, the preferred ones first."""
        required_parts = count_required_parts(self._figures, job)
        max_parts = min(MAX_PARTS, engine_count)
        preferred = range(required_parts, max_parts + 1)
        others = range(min(required_parts - 1, max_parts), 0, -1)
        return [
            parts
            for parts in (*preferred, *others)
            if self.part_tokens(job, parts) <= self._usable_tokens
        ]

    def _count_left_out(self, backends, now_ms):
        return sum(
            self._find_state(backend.identity).refused_tokens(now_ms)
            is not None
            for backend in backends
        )

    def _placement_wait_ms(self, job, backends, now_ms):
        """Return the expected time until a placement is possible."""
        part_counts = self._list_part_counts(job, len(backends))
        # The extremes bound the others at a fraction of their cost.
        extremes = {min(part_counts), max(part_counts)} if part_counts else ()
        waits = [
            sorted(
                self._wait_ms(
                    backend.identity, self.part_tokens(job, parts), now_ms
                )
                for backend in backends
            )[parts - 1]
            for parts in extremes
        ]
        return min(waits, default=math.inf)

    def _wait_ms(self, engine, tokens, now_ms):
        """Return the expected time until an engine has memory."""
        state = self._find_state(engine)
        lacking = state.memory + tokens - self._usable_tokens
        wait_ms = estimate_release_ms(state, lacking, self._decode_ms, now_ms)
        return max(wait_ms, state.left_out_ms(now_ms))
