"""Applies admission control to the best placement of a prompt."""

from crankchute.core.engine_plans import estimate_worth
from crankchute.core.prompt_admission import (
    AdmissionEstimate,
    PromptAdmission,
    refuse_overloaded,
)


class OverloadControl:
    """The admission control of one pool, with its inputs."""

    def __init__(self, parts, candidate_filter):
        """Create the control of a pool.

        Args:
          parts: ChooserParts.
          candidate_filter: The CandidateFilter of the pool.
        """
        self._parts = parts
        self._figures = parts.pool.engine_figures
        self._candidate_filter = candidate_filter
        self._admission = PromptAdmission()

    def find_refusal(self, job, plan, make_work):
        """Return the refusal of a prompt, or None if it is admitted.

        Args:
          job: A ForwardJob.
          plan: Its best Plan.
          make_work: A function that returns the WorkItem of the prompt; called
            only for a refused one, whose demand counts.
        """
        now_ms = self._parts.timers.clock.now_ms()
        shares = self._parts.work_tracker.account_shares
        estimate = AdmissionEstimate(
            plan.first_ms,
            job.remaining_goal_ms(now_ms),
            worth=estimate_worth(self._figures, job),
            harm=plan.harm,
            prefill_ms=plan.prefill_ms,
            priority=job.urgency_rank,
            is_returning=job.is_returning,
            excess=shares.excess(shares.identify(job.account), now_ms),
        )
        if self._admission.admits(estimate, now_ms):
            return None
        self._parts.work_tracker.demand.record_refused(
            make_work(), self._parts.count_active(), now_ms
        )
        return refuse_overloaded(
            self._parts.hints,
            job.remaining_ms(now_ms),
            self._describe_inputs(estimate),
        )

    def describe(self):
        """Return the state of the control, a dict for display."""
        now_ms = self._parts.timers.clock.now_ms()
        return {
            'reserved_engines': len(self._candidate_filter.reserved_ids),
            'is_limited': self._candidate_filter.is_limited,
            'short_priorities': self._admission.list_short_priorities(now_ms),
        }

    def _describe_inputs(self, estimate):
        return {
            'predicted_ms': estimate.first_ms,
            'remaining_goal_ms': estimate.remaining_ms,
            'harm': estimate.harm,
            'excess': estimate.excess,
            'heard_ms_ago': self._parts.last_peer_message_age_ms(),
            **self.describe(),
        }
