"""Cost-based placement of prompts on model engines.

The cost of a placement is the value lost by missed latency goals: those of
the prompt itself and those of other requests at its engines that it delays.
The prefill of a long prompt may be split among several engines, so the best
plan for each number of engines is compared.  Some engines are reserved for
long prompts, so that their prefills delay few short ones.  The KV memory of
the longest prompts is reserved at several engines.
"""

from crankchute.core.candidate_filter import CandidateFilter
from crankchute.core.choosers import Chooser, choosers
from crankchute.core.engine_model import (
    estimate_decode_ms,
    estimate_pass_ms,
    estimate_prefill_ms,
)
from crankchute.core.engine_plans import (
    PREFILL_DELAY_PASSES,
    Candidate,
    PlacementKey,
    Plan,
    count_required_parts,
    estimate_harm,
    estimate_late_probability,
    estimate_worth,
)
from crankchute.core.engine_work import Change, WorkItem
from crankchute.core.forward_job import (
    Placement,
    PlacementEstimate,
    RetryMode,
)
from crankchute.core.length_demand import LONG_PROMPT_FACTOR
from crankchute.core.memory_planning import USABLE_MEMORY_SHARE, MemoryPlanner
from crankchute.core.overload_control import OverloadControl

#: The default chooser of model engines.
PREDICTED = 'predicted'
#: Cost of a short prompt at an engine reserved for long ones: about the
#: probability that a long one arrives during its decode.
_RESERVED_ENGINE_COST = 0.12
#: Cost of a delay within the latency goal.
_DELAY_COST_PER_SECOND = 0.15
#: Cost of each engine that takes part in a prefill.
_COST_PER_ENGINE = 0.01
#: Cost of a memory shortage, which preempts a request and repeats its prefill.
_MEMORY_SHORTAGE_COST = 2
_FIRST_EVENT_TIMEOUT_MS = 1500
#: A first event this much later than the queued prefills and a multiple of its
#: own prediction explain is a sign of a fault.  Lower limits would report
#: healthy engines, whose load would then shift to the others.
_OVERDUE_MS = 600
_OVERDUE_FACTOR = 3
_FIRST_EVENT_TIMEOUT_FACTOR = 3
_GAP_TIMEOUT_FACTOR = 3
_MIN_GAP_TIMEOUT_MS = 1300
_MS_PER_SECOND = 1000


@choosers.register(PREDICTED)
class EngineChooser(Chooser):
    """Chooses by the predicted first event and the delay of other requests."""

    needs_size = True

    def __init__(self, parts):
        """See Chooser."""
        super().__init__(parts)
        self._figures = parts.pool.engine_figures
        self._work_tracker = parts.work_tracker
        self._decode_ms = estimate_decode_ms(parts.pool.engine_figures)
        self._candidate_filter = CandidateFilter(parts)
        self._overload_control = OverloadControl(parts, self._candidate_filter)
        self._memory = MemoryPlanner(self._figures, self._work_tracker.state)
        self._placement_count = 0

    def choose(self, job, avoided):
        """See Chooser."""
        self._candidate_filter.update_members(self._parts.members())
        self._candidate_filter.update_reserved(self.now_ms())
        window = self._candidate_filter.sample_window()
        usable = self.usable(avoided, window) or self.usable(avoided)
        if not usable:
            return self.refuse()
        # Admission control applies to first attempts only.
        is_first_attempt = not avoided and job.resume_after is None
        # A repeated request may wait for memory until its deadline, since a
        # refusal would waste the work that was done for it.
        remaining_ms = job.remaining_ms(self.now_ms())
        fitting = self._memory.select(
            job,
            usable,
            self.now_ms(),
            job.remaining_goal_ms(self.now_ms())
            if is_first_attempt
            else remaining_ms,
        )
        plans = self._make_plans(job, fitting) if fitting else []
        if not plans:
            return self._memory.refuse(
                job,
                usable,
                self._parts.hints,
                now_ms=self.now_ms(),
                engine_count=len(self._parts.members()),
                heard_ms_ago=self._parts.last_peer_message_age_ms(),
            )
        plan = min(plans, key=_cost_of)
        refusal = self._find_refusal(job, plan) if is_first_attempt else None
        return refusal or self._make_placement(job, plan)

    def stalled_at_ms(self, job, attempt):
        """See Chooser.

        An engine emits no events during a prefill, so the timeout starts at
        the predicted end of the prefills that were sent to it.  Requests that
        must not be repeated have no timeout: the engine may go on.
        """
        if job.repeat == RetryMode.ONCE:
            return None
        state = self._work_tracker.state(attempt.backend.identity)
        since_ms = max(attempt.last_event_ms, state.prefill_until_ms)
        if attempt.started:
            gap_ms = (job.gap_ms or 0) * _GAP_TIMEOUT_FACTOR
            return since_ms + max(gap_ms, _MIN_GAP_TIMEOUT_MS)
        first_ms = attempt.placement.first_ms or 0
        timeout_ms = (
            _FIRST_EVENT_TIMEOUT_MS + first_ms * _FIRST_EVENT_TIMEOUT_FACTOR
        )
        if attempt.placement.helpers:
            timeout_ms += self._figures.stall_ms
        return since_ms + timeout_ms

    def overdue_at_ms(self, job, attempt):
        """See Chooser."""
        state = self._work_tracker.state(attempt.backend.identity)
        since_ms = max(attempt.last_event_ms, state.prefill_until_ms)
        first_ms = attempt.placement.first_ms or 0
        return since_ms + _OVERDUE_MS + first_ms * _OVERDUE_FACTOR

    def record_sent(self, job, placement):
        """See Chooser."""
        super().record_sent(job, placement)
        for work in placement.key.works:
            self._work_tracker.add(work)
            self._parts.announce_work(Change.SENT, work)

    def record_first_event(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._work_tracker.start(work.engine, work.key)
            self._parts.announce_work(Change.STARTED, work)

    def record_first_event_latency(self, placement, actual_ms):
        """See Chooser; split prefills do not show which engine was slow."""
        if placement.helpers or not placement.first_ms:
            return
        state = self._work_tracker.state(placement.backend.identity)
        state.update_slowness(actual_ms / placement.first_ms, self.now_ms())

    def record_load(self, backend, load):
        """See Chooser."""
        state = self._work_tracker.state(backend.identity)
        state.record_load(load, self.now_ms())

    def record_polled_load(self, backend, load):
        """See Chooser."""
        load.age_ms = self._figures.report_lag_ms
        self.record_load(backend, load)

    def still_fits(self, placement):
        """See Chooser."""
        return self._memory.still_fits(placement.key.works[0])

    def record_end(self, job, placement):
        """See Chooser."""
        for work in placement.key.works:
            self._work_tracker.end(work.engine, work.key)
            self._parts.announce_work(Change.ENDED, work)

    def describe_state(self):
        """See Chooser."""
        return self._overload_control.describe()

    def _find_refusal(self, job, plan):
        """Return the refusal of an overloaded pool, or None."""
        return self._overload_control.find_refusal(
            job,
            plan,
            lambda: self._make_work(job, '', plan.chosen[0].backend, plan),
        )

    def _make_plans(self, job, usable):
        """Return the Plans to compare."""
        long_threshold = self._figures.usual_prompt * LONG_PROMPT_FACTOR
        is_long = (
            job.size.prompt > long_threshold
            or not self._memory.fits_one_engine(job)
        )
        usable = self._candidate_filter.restrict(
            usable, job.urgency_rank, self.now_ms(), is_long=is_long
        )
        candidates = self._make_candidates(usable, is_long=is_long)
        if is_long:
            return self._plan_split(job, candidates)
        prefill_ms = estimate_prefill_ms(self._figures, job.size.prompt)
        return [
            self._plan(
                job,
                (candidate,),
                prefill_ms,
                self._cost_of_single(job, candidate),
            )
            for candidate in candidates
        ]

    def _make_candidates(self, usable, *, is_long):
        """Return a Candidate for each shortlisted engine, in random order."""
        candidate_filter = self._candidate_filter
        selected = candidate_filter.select(
            usable, self.now_ms(), is_long=is_long
        )
        candidates = [
            self._make_candidate(
                backend, backend.identity in candidate_filter.reserved_ids
            )
            for backend in selected
        ]
        self._parts.random.shuffle(candidates)
        return candidates

    def _make_candidate(self, backend, is_reserved):
        state = self._work_tracker.state(backend.identity)
        slowness = state.slowness(self.now_ms())
        pass_ms = estimate_pass_ms(
            self._figures, state.decode_count, state.memory
        )
        pass_ms *= slowness
        delay_ms = state.wait_ms(self.now_ms()) + pass_ms * PREFILL_DELAY_PASSES
        requests = state.count_requests(self.now_ms(), self._decode_ms)
        lacking = requests + 1 - self._figures.slots
        if lacking > 0:
            # A slot frees up at the average rate of finished answers.
            delay_ms += lacking * self._decode_ms / self._figures.slots
        return Candidate(
            backend,
            state,
            delay_ms=delay_ms,
            pass_ms=pass_ms,
            is_reserved=is_reserved,
            slowness=slowness,
            risk=backend.failure_estimator.failure_probability(self.now_ms()),
        )

    def _cost_of_single(self, job, candidate):
        cost = _RESERVED_ENGINE_COST if candidate.is_reserved else 0
        cost += (
            self._candidate_filter.estimate_network_cost_s(candidate.backend)
            * _DELAY_COST_PER_SECOND
        )
        return cost + _cost_of_memory(
            self._figures, job.size.kv_tokens, candidate
        )

    def _plan_split(self, job, candidates):
        """Return the best plan for each number of engines.

        A split prefill sends requests to every engine, which count against
        their rate limits, so engines with a low limit do not take part.
        """
        may_take_reservations = self._parts.permits.may_take_reservations
        available = [
            candidate
            for candidate in candidates
            if may_take_reservations(candidate.backend.identity)
        ]
        required_parts = count_required_parts(self._figures, job)
        plans = [
            self._plan_parts(job, fitting, parts)
            for parts, fitting in self._memory.list_splits(
                job, available, self.now_ms()
            )
        ]
        if required_parts == 1 and len(available) < len(candidates):
            plans.append(self._plan_parts(job, candidates, 1))
        return plans

    def _plan_parts(self, job, candidates, parts):
        prefill_ms = estimate_prefill_ms(self._figures, job.size.prompt, parts)
        memory = job.size.kv_tokens / parts
        if parts == 1 or count_required_parts(self._figures, job) == 1:
            memory = job.size.kv_tokens
        remaining_ms = max(job.remaining_goal_ms(self.now_ms()), 1)

        def estimate_cost(candidate):
            delay = candidate.first_ms(prefill_ms) / remaining_ms
            delayed = candidate.list_delayed(
                prefill_ms, is_prioritized=parts > 1
            )
            return estimate_harm(delayed) + estimate_worth(
                self._figures, job
            ) * (delay + candidate.risk)

        ranked = sorted(candidates, key=estimate_cost)[:parts]
        decoder = min(
            ranked,
            key=lambda candidate: _cost_of_memory(
                self._figures, memory, candidate
            ),
        )
        helpers = [
            candidate for candidate in ranked if candidate is not decoder
        ]
        cost = (
            _cost_of_memory(self._figures, memory, decoder)
            + parts * _COST_PER_ENGINE
        )
        return self._plan(job, (decoder, *helpers), prefill_ms, cost)

    def _plan(self, job, chosen, prefill_ms, cost):
        first_ms = max(candidate.first_ms(prefill_ms) for candidate in chosen)
        harm = estimate_harm(
            work
            for candidate in chosen
            for work in candidate.list_delayed(
                prefill_ms, is_prioritized=len(chosen) > 1
            )
        )
        risk = sum(candidate.risk for candidate in chosen)
        lateness = estimate_late_probability(
            first_ms / max(job.remaining_goal_ms(self.now_ms()), 1)
        )
        lateness += estimate_late_probability(
            chosen[0].pass_ms / (job.gap_ms or job.goal_ms),
        )
        cost += harm + estimate_worth(self._figures, job) * (lateness + risk)
        cost += first_ms / _MS_PER_SECOND * _DELAY_COST_PER_SECOND
        return Plan(
            chosen,
            prefill_ms=prefill_ms,
            first_ms=first_ms,
            cost=cost,
            harm=harm,
        )

    def _make_placement(self, job, plan):
        self._placement_count += 1
        key = f'{job.request_id}-{self._placement_count}'
        helpers = self._memory.make_helpers(
            job,
            [candidate.backend for candidate in plan.chosen[1:]],
            self._parts.create_ticket_id,
        )
        reserved_tokens = sum(helper.tokens for helper in helpers)
        decoder = plan.chosen[0].backend
        decoder_work = self._make_work(job, key, decoder, plan)
        decoder_work.memory = max(job.size.kv_tokens - reserved_tokens, 0)
        decoder_work.is_decoding = True
        works = [decoder_work]
        for helper in helpers:
            work = self._make_work(job, key, helper.backend, plan)
            work.memory = helper.tokens
            works.append(work)
        placement = Placement(
            decoder,
            first_ms=plan.first_ms,
            helpers=helpers,
            key=PlacementKey(tuple(works)),
        )
        placement.estimate = self._make_estimate(plan)
        placement.priority = job.priority
        return placement

    def _make_estimate(self, plan):
        decoder = plan.chosen[0]
        state = decoder.state
        writers = state.count_requests(self.now_ms(), self._decode_ms)
        return PlacementEstimate(
            slowness=max(candidate.slowness for candidate in plan.chosen),
            risk=sum(candidate.risk for candidate in plan.chosen),
            wait_ms=state.wait_ms(self.now_ms()),
            writers=writers,
            lacking=max(writers + 1 - self._figures.slots, 0),
            memory=state.memory,
            cost=plan.cost,
            heard_ms_ago=self._parts.last_peer_message_age_ms(),
        )

    def _make_work(self, job, key, backend, plan):
        return WorkItem(
            key,
            backend.identity,
            prefill_ms=plan.prefill_ms,
            memory=0,
            is_decoding=False,
            gap_ms=job.gap_ms or job.goal_ms,
            weight=estimate_worth(self._figures, job),
            priority=job.urgency_rank,
            until_ms=job.deadline_ms,
            due_ms=job.arrived_ms + job.goal_ms,
            first_event_at_ms=self.now_ms() + plan.first_ms,
            is_prioritized=len(plan.chosen) > 1,
            account=self._work_tracker.account_shares.identify(job.account),
        )


def _cost_of(plan):
    return plan.cost


def _cost_of_memory(figures, memory, candidate):
    needed = candidate.state.memory + memory
    lacks = needed > figures.memory_tokens * USABLE_MEMORY_SHARE
    return _MEMORY_SHORTAGE_COST if lacks else 0
