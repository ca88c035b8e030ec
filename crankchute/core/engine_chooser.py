"""Choosing the engines of a prompt by what they are believed to be doing.

Every way to place a prompt has a cost in worth: that of the prompt itself if
its first event comes late, and that of the others at its engines whose next
event would come late because of it.  Long prompts may be read by several
engines at once, so the cost of each number of engines is compared.  Short
prompts are kept off a part of the engines, where long ones find no one to
delay.  The memory of the longest prompts is set aside at several engines.
"""

from crankchute.core.choosers import Chooser, choosers
from crankchute.core.engine_board import Change, Work
from crankchute.core.engine_model import (
    estimate_pass_ms,
    estimate_read_ms,
    estimate_write_ms,
)
from crankchute.core.engine_plans import (
    PASSES,
    Candidate,
    PlacementKey,
    Plan,
    count_least_parts,
    grade_lateness,
    weigh_harm,
    weigh_job,
)
from crankchute.core.engine_shortlist import Shortlist
from crankchute.core.forward_job import Beliefs, Helper, Placement
from crankchute.core.length_demand import LONG_PROMPTS
from crankchute.core.prompt_admission import (
    Prospect,
    PromptAdmission,
    refuse_crowded,
)

#: The name of the chooser in the registry.
PREDICTED = 'predicted'
#: The most engines that read one prompt, the published bound of helpers + 1.
_MOST_PARTS = 17
#: What sending a short prompt to an engine that is kept for long ones counts, in worth: about the
#: chance that a long one comes while it is written.
_LONG_PART_COST = 0.12
#: Where all else is equal, a second of delay counts this much.
_SECOND_COST = 0.15
#: Every further engine that reads a prompt costs a little.
_PART_COST = 0.01
#: What a lack of memory costs: somebody is put back and read anew.
_NO_MEMORY_COST = 2
_USABLE_MEMORY = 0.97
#: More memory is set aside than an even part, so that a prompt whose first
#: engine fills up still fits.
_TICKET_MARGIN = 1.05
_FIRST_SILENCE_MS = 1500
#: A first event that is this much later than others' reads and three times its
#: own prediction explain is a sign of a fault.  Half of it and twice the
#: prediction were signs at sound engines too, and led to crowds elsewhere.
_OVERDUE_MS = 600
_OVERDUE_FACTOR = 3
_FIRST_SILENCE_FACTOR = 3
_GAP_SILENCE_FACTOR = 3
_LEAST_GAP_SILENCE_MS = 1300
_MS_PER_SECOND = 1000


@choosers.register(PREDICTED)
class EngineChooser(Chooser):
    """Chooses by predicted first event and by the harm to others."""

    def __init__(self, parts):
        """See Chooser."""
        super().__init__(parts)
        self._figures = parts.pool.figures
        self._board = parts.board
        self._write_ms = estimate_write_ms(parts.pool.figures)
        self._shortlist = Shortlist(parts)
        self._admission = PromptAdmission()
        self._sent = 0

    def choose(self, job, avoided):
        """See Chooser."""
        self._shortlist.take(self._parts.members())
        self._shortlist.divide(self.now_ms())
        stretch = self._shortlist.draw_stretch()
        usable = self.usable(avoided, stretch) or self.usable(avoided)
        if not usable:
            return self.refuse()
        plans = self._list_plans(job, usable)
        if not plans:
            return self.refuse()
        plan = min(plans, key=_cost_of)
        # What was begun for a caller is gone on with.
        is_new = not avoided and job.resume_after is None
        if is_new and not self._sends(job, plan):
            remaining_ms = job.remaining_ms(self.now_ms())
            return refuse_crowded(self._parts.hints, remaining_ms)
        return self._place(job, plan)

    def silent_until_ms(self, job, attempt):
        """See Chooser.

        While an engine reads what was sent there since it was heard from, it
        writes nothing, so the silence counts from the end of that.
        """
        state = self._board.state(attempt.backend.identity)
        since_ms = max(attempt.heard_ms, state.read_until_ms)
        if attempt.started:
            gap_ms = (job.gap_ms or 0) * _GAP_SILENCE_FACTOR
            return since_ms + max(gap_ms, _LEAST_GAP_SILENCE_MS)
        first_ms = attempt.placement.first_ms or 0
        allowed_ms = _FIRST_SILENCE_MS + first_ms * _FIRST_SILENCE_FACTOR
        if attempt.placement.helpers:
            allowed_ms += self._figures.stall_ms
        return since_ms + allowed_ms

    def overdue_at_ms(self, job, attempt):
        """See Chooser."""
        state = self._board.state(attempt.backend.identity)
        since_ms = max(attempt.heard_ms, state.read_until_ms)
        first_ms = attempt.placement.first_ms or 0
        return since_ms + _OVERDUE_MS + first_ms * _OVERDUE_FACTOR

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

    def note_pace(self, placement, seen_ms):
        """See Chooser; with helpers nobody can tell which one was slow."""
        if placement.helpers or not placement.first_ms:
            return
        state = self._board.state(placement.backend.identity)
        state.note_pace(seen_ms / placement.first_ms, self.now_ms())

    def note_load(self, backend, load):
        """See Chooser."""
        state = self._board.state(backend.identity)
        state.note_load(load, self.now_ms())

    def note_report(self, backend, load):
        """See Chooser."""
        load.age_ms = self._figures.report_lag_ms
        self.note_load(backend, load)

    def note_end(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._board.end(work.engine, work.key)
            self._parts.news(Change.ENDED, work)

    def _list_plans(self, job, usable):
        """Return the Plans that are worth comparing."""
        longest = self._figures.usual_prompt * LONG_PROMPTS
        is_long = job.size.prompt > longest
        candidates = self._make_candidates(usable, is_long=is_long)
        if is_long:
            return self._plan_jointly(job, candidates)
        read_ms = estimate_read_ms(self._figures, job.size.prompt)
        return [
            self._plan(job, (one,), read_ms, self._cost_alone(job, one))
            for one in candidates
        ]

    def _make_candidates(self, usable, *, is_long):
        """Return a Candidate for each engine to compare, in random order."""
        shortlist = self._shortlist
        drawn = shortlist.draw(usable, self.now_ms(), is_long=is_long)
        candidates = [
            self._make_candidate(one, one.identity in shortlist.kept)
            for one in drawn
        ]
        self._parts.random.shuffle(candidates)
        return candidates

    def _make_candidate(self, backend, is_kept):
        state = self._board.state(backend.identity)
        slowness = state.slowness(self.now_ms())
        pass_ms = estimate_pass_ms(self._figures, state.writers, state.memory)
        pass_ms *= slowness
        delay_ms = state.wait_ms(self.now_ms()) + pass_ms * PASSES
        requests = state.count_requests(self.now_ms(), self._write_ms)
        lacking = requests + 1 - self._figures.slots
        if lacking > 0:
            # One of the writers ends every so often.
            delay_ms += lacking * self._write_ms / self._figures.slots
        return Candidate(
            backend,
            state,
            delay_ms=delay_ms,
            pass_ms=pass_ms,
            is_kept=is_kept,
            slowness=slowness,
            risk=backend.suspicion.chance(self.now_ms()),
        )

    def _cost_alone(self, job, candidate):
        cost = _LONG_PART_COST if candidate.is_kept else 0
        cost += self._shortlist.weigh_way(candidate.backend) * _SECOND_COST
        return cost + _cost_of_memory(self._figures, job.size.memory, candidate)

    def _plan_jointly(self, job, candidates):
        """Return the best plan for each number of engines.

        Joint reads take orders at each engine, which count against its limit; an
        engine that takes little reads alone or not at all.
        """
        may_help = self._parts.turns.may_help
        helping = [one for one in candidates if may_help(one.backend.identity)]
        needed = count_least_parts(self._figures, job)
        least = max(min(needed, len(helping)), 1)
        most = min(_MOST_PARTS, len(helping))
        plans = [
            self._plan_parts(job, helping, parts)
            for parts in range(least, most + 1)
        ]
        if needed == 1 and len(helping) < len(candidates):
            plans.append(self._plan_parts(job, candidates, 1))
        return plans

    def _plan_parts(self, job, candidates, parts):
        read_ms = estimate_read_ms(self._figures, job.size.prompt, parts)
        memory = job.size.memory / parts
        if parts == 1 or count_least_parts(self._figures, job) == 1:
            memory = job.size.memory
        left_ms = max(self._left_ms(job), 1)

        def rank(one):
            delay = one.first_ms(read_ms) / left_ms
            harmed = one.list_harmed(read_ms, goes_first=parts > 1)
            return weigh_harm(harmed) + weigh_job(self._figures, job) * (
                delay + one.risk
            )

        ranked = sorted(candidates, key=rank)[:parts]
        writer = min(
            ranked,
            key=lambda one: _cost_of_memory(self._figures, memory, one),
        )
        others = [one for one in ranked if one is not writer]
        cost = (
            _cost_of_memory(self._figures, memory, writer) + parts * _PART_COST
        )
        return self._plan(job, (writer, *others), read_ms, cost)

    def _plan(self, job, chosen, read_ms, cost):
        first_ms = max(one.first_ms(read_ms) for one in chosen)
        harm = weigh_harm(
            work
            for one in chosen
            for work in one.list_harmed(read_ms, goes_first=len(chosen) > 1)
        )
        risk = sum(one.risk for one in chosen)
        late = grade_lateness(first_ms / max(self._left_ms(job), 1))
        late += grade_lateness(
            chosen[0].pass_ms / (job.gap_ms or job.goal_ms),
        )
        cost += harm + weigh_job(self._figures, job) * (late + risk)
        cost += first_ms / _MS_PER_SECOND * _SECOND_COST
        return Plan(
            chosen,
            read_ms=read_ms,
            first_ms=first_ms,
            cost=cost,
            harm=harm,
        )

    def _sends(self, job, plan):
        prospect = Prospect(
            plan.first_ms,
            self._left_ms(job),
            worth=weigh_job(self._figures, job),
            harm=plan.harm,
        )
        return self._admission.sends(prospect, self.now_ms())

    def _left_ms(self, job):
        return job.goal_ms - (self.now_ms() - job.arrived_ms)

    def _place(self, job, plan):
        self._sent += 1
        key = f'{job.request_id}-{self._sent}'
        helpers = self._make_helpers(job, plan)
        reserved = sum(helper.tokens for helper in helpers)
        writer = plan.chosen[0].backend
        own = self._make_work(job, key, writer, plan)
        own.memory = max(job.size.memory - reserved, 0)
        own.is_writer = True
        works = [own]
        for helper in helpers:
            work = self._make_work(job, key, helper.backend, plan)
            work.memory = helper.tokens
            works.append(work)
        placement = Placement(
            writer,
            first_ms=plan.first_ms,
            helpers=helpers,
            key=PlacementKey(tuple(works)),
        )
        placement.beliefs = self._note_beliefs(plan)
        return placement

    def _note_beliefs(self, plan):
        writer = plan.chosen[0]
        state = writer.state
        writers = state.count_requests(self.now_ms(), self._write_ms)
        return Beliefs(
            slowness=max(one.slowness for one in plan.chosen),
            risk=sum(one.risk for one in plan.chosen),
            wait_ms=state.wait_ms(self.now_ms()),
            writers=writers,
            lacking=max(writers + 1 - self._figures.slots, 0),
            memory=state.memory,
            cost=plan.cost,
            heard_ms_ago=self._parts.heard_ms_ago(),
        )

    def _make_helpers(self, job, plan):
        others = [one.backend for one in plan.chosen[1:]]
        if count_least_parts(self._figures, job) == 1:
            return tuple(Helper(backend) for backend in others)
        even = int(job.size.memory / len(plan.chosen) * _TICKET_MARGIN) + 1
        return tuple(
            Helper(backend, self._parts.new_ticket(), even)
            for backend in others
        )

    def _make_work(self, job, key, backend, plan):
        return Work(
            key,
            backend.identity,
            read_ms=plan.read_ms,
            memory=0,
            is_writer=False,
            gap_ms=job.gap_ms or job.goal_ms,
            weight=weigh_job(self._figures, job),
            until_ms=job.deadline_ms,
            due_ms=job.arrived_ms + job.goal_ms,
            first_at_ms=self.now_ms() + plan.first_ms,
            goes_first=len(plan.chosen) > 1,
        )


def _cost_of(plan):
    return plan.cost


def _cost_of_memory(figures, memory, candidate):
    needed = candidate.state.memory + memory
    lacks = needed > figures.memory_tokens * _USABLE_MEMORY
    return _NO_MEMORY_COST if lacks else 0
