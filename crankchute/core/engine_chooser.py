"""Choosing the engines of a prompt by what they are believed to be doing.

The cost of an engine is the predicted time to the first event there, plus
what the prompt would do to those that run there.  Long prompts are read by
several engines at once and are kept to a part of the engines, so that short
prompts find others free.  The memory of the longest is set aside at several
engines too.
"""

from crankchute.core.choosers import Chooser, choosers
from crankchute.core.engine_board import Change, Work
from crankchute.core.engine_model import (
    count_parts,
    estimate_pass_ms,
    estimate_read_ms,
)
from crankchute.core.forward_job import Helper, Placement

#: The name of the chooser in the registry.
PREDICTED = 'predicted'
#: Reading longer than this counts as long, in milliseconds: about five usual
#: short prompts (trial, docs/PLATFORM.md).
LONG_READ_MS = 120
#: How long one engine should read for one prompt at most.
_PART_MS = 120
_MOST_PARTS = 7
#: The part of a pool's engines that long prompts are kept to.
_LONG_SHARE = 0.55
#: What an engine of the other part must save to be chosen all the same.
_OTHER_PART_MS = 60
_NO_SLOT_MS = 400
_NO_MEMORY_MS = 2000
_USABLE_MEMORY = 0.97
#: What one more writer costs, in milliseconds of a prompt's own wait.
_WRITER_MS = 4
#: A prompt that needs more than this part of an engine's memory has it set
#: aside at several engines: beside it there would be room for little else.
_SHARED_MEMORY = 0.5
#: More memory is set aside than an even part, so that a prompt whose first
#: engine fills up still fits.
_TICKET_MARGIN = 1.05
_FIRST_SILENCE_MS = 1500
_FIRST_SILENCE_FACTOR = 3
_GAP_SILENCE_FACTOR = 3
_LEAST_GAP_SILENCE_MS = 1300


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
    """An engine and what sending a job there would cost.

    Attributes:
      backend: The Backend.
      cost_ms: The cost, in milliseconds of a first event's delay.
      free: How much of its memory is believed to be free, in tokens.
    """

    __slots__ = ('backend', 'cost_ms', 'free')

    def __init__(self, backend, cost_ms, free):
        """Create the candidate.

        Args:
          backend: A Backend.
          cost_ms: Milliseconds.
          free: Tokens.
        """
        self.backend = backend
        self.cost_ms = cost_ms
        self.free = free


@choosers.register(PREDICTED)
class EngineChooser(Chooser):
    """Chooses by predicted first event and by the harm to others."""

    def __init__(self, parts):
        """See Chooser."""
        super().__init__(parts)
        self._figures = parts.pool.figures
        self._board = parts.board
        self._sent = 0

    def choose(self, job, avoided):
        """See Chooser."""
        members = self.usable(avoided)
        if not members:
            return self.refuse()
        read_ms = estimate_read_ms(self._figures, job.size.prompt)
        is_long = read_ms > LONG_READ_MS
        candidates = self._rank(job, read_ms, members, is_long=is_long)
        if is_long:
            return self._place_jointly(job, candidates)
        best = candidates[0]
        return self._place(job, best, (), read_ms)

    def stall_ms(self, job, attempt):
        """See Chooser."""
        if attempt.started:
            gap_ms = (job.gap_ms or 0) * _GAP_SILENCE_FACTOR
            return max(gap_ms, _LEAST_GAP_SILENCE_MS)
        first_ms = attempt.placement.first_ms or 0
        allowed_ms = _FIRST_SILENCE_MS + first_ms * _FIRST_SILENCE_FACTOR
        if attempt.placement.helpers:
            allowed_ms += self._figures.stall_ms
        return allowed_ms

    def note_sent(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._board.add(work)
            self._parts.news(Change.SENT, work)

    def note_first(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._board.start(work.engine, work.key)
            self._parts.news(Change.STARTED, work)

    def note_end(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._board.end(work.engine, work.key)
            self._parts.news(Change.ENDED, work)

    def _rank(self, job, read_ms, members, *, is_long):
        """Return the Candidates, the cheapest first, ties in any order."""
        lane = self._long_lane(members)
        candidates = []
        for one in members:
            cost_ms = self._cost_ms(job, read_ms, one)
            if is_long != (one.identity in lane):
                cost_ms += _OTHER_PART_MS
            state = self._board.state(one.identity)
            free = self._figures.memory_tokens * _USABLE_MEMORY - state.memory
            candidates.append(Candidate(one, cost_ms, free))
        self._parts.random.shuffle(candidates)
        candidates.sort(key=_cost_of)
        return candidates

    def _long_lane(self, members):
        """Return the ids of the engines that long prompts are kept to.

        The order of ids is the same at every instance.
        """
        ordered = sorted(one.identity for one in members)
        return set(ordered[: max(1, round(len(ordered) * _LONG_SHARE))])

    def _cost_ms(self, job, read_ms, backend):
        state = self._board.state(backend.identity)
        figures = self._figures
        pass_ms = estimate_pass_ms(figures, state.writers, state.memory)
        cost_ms = state.wait_ms(self.now_ms()) + read_ms * state.slowness
        cost_ms += pass_ms / 2 + state.writers * _WRITER_MS
        if state.writers >= figures.slots:
            cost_ms += _NO_SLOT_MS * (state.writers + 1 - figures.slots)
        needed = state.memory + job.size.memory
        if needed > figures.memory_tokens * _USABLE_MEMORY:
            cost_ms += _NO_MEMORY_MS
        return cost_ms

    def _place_jointly(self, job, candidates):
        tokens = job.size.prompt
        shared = figures_share(self._figures, job.size.memory)
        most = min(_MOST_PARTS, len(candidates))
        parts = count_parts(self._figures, tokens, _PART_MS, most)
        parts = min(max(parts, shared), len(candidates))
        chosen = candidates[:parts]
        part_ms = estimate_read_ms(self._figures, tokens, parts)
        if shared > 1:
            helpers = self._share_memory(job, chosen)
            return self._place(job, chosen[0], helpers, part_ms)
        helpers = tuple(Helper(one.backend) for one in chosen[1:])
        return self._place(job, chosen[0], helpers, part_ms)

    def _share_memory(self, job, chosen):
        """Return helpers that each hold an even part of the memory."""
        even = int(job.size.memory / len(chosen) * _TICKET_MARGIN) + 1
        return tuple(
            Helper(one.backend, self._parts.new_ticket(), even)
            for one in chosen[1:]
        )

    def _place(self, job, best, helpers, read_ms):
        self._sent += 1
        key = f'{job.request_id}-{self._sent}'
        reserved = sum(helper.tokens for helper in helpers)
        fields = {
            'read_ms': read_ms,
            'is_long': bool(helpers),
            'until_ms': job.deadline_ms,
        }
        own = Work(
            key,
            best.backend.identity,
            memory=max(job.size.memory - reserved, 0),
            is_writer=True,
            **fields,
        )
        others = [
            Work(
                key,
                helper.backend.identity,
                memory=helper.tokens,
                is_writer=False,
                **fields,
            )
            for helper in helpers
        ]
        first_ms = self._predict_first_ms(own, others)
        return Placement(
            best.backend,
            first_ms=first_ms,
            helpers=helpers,
            key=PlacementKey((own, *others)),
        )

    def _predict_first_ms(self, own, others):
        """Predict the first event: the last part decides, then one stride."""
        now_ms = self.now_ms()
        parts = [
            self._board.state(work.engine).wait_ms(now_ms)
            + work.read_ms * self._board.state(work.engine).slowness
            for work in (own, *others)
        ]
        state = self._board.state(own.engine)
        pass_ms = estimate_pass_ms(
            self._figures,
            state.writers,
            state.memory,
        )
        return max(parts) + pass_ms / 2


def figures_share(figures, memory):
    """Return among how many engines a prompt's memory must be shared.

    Args:
      figures: EngineFigures.
      memory: The tokens that it needs.
    Returns:
      An int; 1 if one engine holds it and others beside it.
    """
    usable = figures.memory_tokens * _SHARED_MEMORY
    return 1 if memory <= usable else -int(-memory // usable)


def _cost_of(candidate):
    return candidate.cost_ms
