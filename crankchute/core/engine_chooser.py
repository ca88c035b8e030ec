"""Choosing the engines of a prompt by what they are believed to be doing.

The cost of an engine is the predicted time to the first event there, plus
what the prompt would do to those that run there: a long read delays every
writer's next event.  Long prompts are read by several engines at once, and
are kept to a part of the engines, so that short prompts find others free.
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
#: prompts of ten thousand tokens (trial, docs/PLATFORM.md).
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
        lane = self._long_lane(members)
        is_long = read_ms > LONG_READ_MS
        costs = [
            (self._cost_ms(job, read_ms, one, is_long == (one in lane)), one)
            for one in members
        ]
        self._parts.random.shuffle(costs)
        costs.sort(key=_first_of)
        cost_ms, chosen = costs[0]
        if not is_long:
            return self._place(job, chosen, (), read_ms, cost_ms)
        return self._place_jointly(job, costs)

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

    def note_sent(self, job, attempt):
        """See Chooser."""
        for work in attempt.placement.key.works:
            self._board.add(work)
            self._parts.news(Change.SENT, work)

    def note_first(self, job, attempt):
        """See Chooser."""
        for work in attempt.placement.key.works:
            self._board.start(work.engine, work.key)
            self._parts.news(Change.STARTED, work)

    def note_end(self, job, attempt):
        """See Chooser."""
        for work in attempt.placement.key.works:
            self._board.end(work.engine, work.key)
            self._parts.news(Change.ENDED, work)

    def _long_lane(self, members):
        """Return the engines that long prompts are kept to.

        The order of ids is the same at every instance.
        """
        ordered = sorted(members, key=_identity_of)
        return set(ordered[: max(1, round(len(ordered) * _LONG_SHARE))])

    def _cost_ms(self, job, read_ms, backend, is_own_part):
        state = self._board.state(backend.identity)
        figures = self._figures
        pass_ms = estimate_pass_ms(figures, state.writers, state.memory)
        cost_ms = state.wait_ms(self.now_ms()) + read_ms * state.slowness
        cost_ms += pass_ms / 2 + state.writers * _WRITER_MS
        if not is_own_part:
            cost_ms += _OTHER_PART_MS
        if state.writers >= figures.slots:
            cost_ms += _NO_SLOT_MS * (state.writers + 1 - figures.slots)
        needed = state.memory + job.size.memory
        if needed > figures.memory_tokens * _USABLE_MEMORY:
            cost_ms += _NO_MEMORY_MS
        return cost_ms

    def _place_jointly(self, job, costs):
        tokens = job.size.prompt
        most = min(_MOST_PARTS, len(costs))
        parts = count_parts(self._figures, tokens, _PART_MS, most)
        part_ms = estimate_read_ms(self._figures, tokens, parts)
        _cost_ms, chosen = costs[0]
        others = [one for _cost, one in costs[1:parts]]
        waits = [
            self._board.state(one.identity).wait_ms(self.now_ms())
            for one in (chosen, *others)
        ]
        first_ms = max(waits) + part_ms
        helpers = tuple(Helper(one) for one in others)
        return self._place(job, chosen, helpers, part_ms, first_ms)

    def _place(self, job, chosen, helpers, read_ms, first_ms):
        self._sent += 1
        key = f'{job.request_id}-{self._sent}'
        is_long = bool(helpers) or read_ms > LONG_READ_MS
        fields = {
            'read_ms': read_ms,
            'is_long': is_long,
            'until_ms': job.deadline_ms,
        }
        works = [
            Work(
                key,
                chosen.identity,
                memory=job.size.memory,
                is_writer=True,
                **fields,
            ),
        ]
        works.extend(
            Work(
                key,
                helper.backend.identity,
                memory=0,
                is_writer=False,
                **fields,
            )
            for helper in helpers
        )
        return Placement(
            chosen,
            first_ms=first_ms,
            helpers=helpers,
            key=PlacementKey(tuple(works)),
        )


def _first_of(pair):
    return pair[0]


def _identity_of(backend):
    return backend.identity
