"""Admission control of prompts.

Under sustained overload every prefill delays decoding requests beyond their
latency goals, so admitting all prompts means that hardly any is on time.

A prompt is refused if other requests lose more worth by it than it gains.  It
gains what its caller would lose by retrying later: most of its worth if it
would be on time, little if it would be late anyway.  This needs no model of
capacity or traffic, and refuses nothing while engines have room.

Long prompts delay more requests and would hardly be admitted under overload.
So a prompt is also admitted if the admission rate of its size class is far
below the overall rate.

Where prompts have different priorities, a pool is short of a priority while its
prompts are refused or late.  Further ones that would hardly be on time are then
refused at once: they would make others late in turn, and their callers may
return when there is room.  Those that return go first.  While a pool is short
of a more urgent priority, less urgent prompts are admitted only as far as
needed to avoid starvation.

While a pool is short, a prompt of a client account that has more than its fair
share of the engines counts for less.
"""

import math

from crankchute.core.engine_plans import is_safely_on_time
from crankchute.core.length_demand import LONG_PROMPT_FACTOR
from crankchute.core.outcomes import refuse_not_run

#: Refusal code: the engines are full.
OVERLOADED = 'crowded'
#: The share of its worth that a prompt on time loses by a retry: an answer
#: after its goal keeps about a quarter.  Higher values refuse fewer prompts;
#: lower ones refuse long prompts above all, within _MIN_RELATIVE_RATE.
_ON_TIME_GAIN = 0.75
#: The same for a late prompt, which loses the remaining quarter only if the
#: retry fails too, as about half of them do.
_LATE_GAIN = 0.125
#: The minimum admission rate of a size class, relative to the overall rate.
_MIN_RELATIVE_RATE = 0.6
#: The same for less urgent prompts while more urgent ones are refused.
_MIN_DEFERRED_RATE = 0.35
#: While a pool is short, the share of its remaining time that a new prompt may
#: take until its first event, and the same for one whose caller returns after a
#: refusal: those go first, since few callers return twice.
_NEW_TIME_SHARE = 0.8
_RETURNING_TIME_SHARE = 0.9
#: An account counts as over its fair share from this multiple of it on; the
#: work of accounts that send alike varies by less.
_EXCESS_TOLERANCE = 1.5
#: The divisor for accounts over their share.  Their prompts come after
#: those of others, but get the room that others leave.
_MAX_EXCESS = 1.3
#: The half-life of loss rates: short enough to follow a burst of seconds.
_LOSS_HALF_LIFE_MS = 1000
#: A priority is short of capacity if it loses a larger share of its prompts.
_MAX_LOSS_SHARE = 0.05
#: The half-life of admission counts; long prompts arrive every few seconds.
_HALF_LIFE_MS = 10_000


class AdmissionEstimate:
    """The predicted effects of admitting a prompt.

    Attributes:
      first_ms: The time until its first event, in milliseconds.
      remaining_ms: The time left until its goal, in milliseconds.
      worth: Its full worth, in multiples of a usual prompt's.
      harm: The worth that other requests would lose, in the same unit.
      prefill_ms: Its prefill time, the part of first_ms that does not depend
        on the load.
      priority: Its urgency rank, lower is more urgent.
      is_returning: Whether its caller was probably refused before, a bool.
      excess: The divisor for an account that has recently used more of the
        engines than its fair share, 1 for others.
    """

    __slots__ = (
        'excess',
        'first_ms',
        'harm',
        'is_returning',
        'prefill_ms',
        'priority',
        'remaining_ms',
        'worth',
    )

    def __init__(self, first_ms, remaining_ms, *, worth, harm, **details):
        """Create the estimate.

        Args:
          first_ms: See the class.
          remaining_ms: See the class.
          worth: See the class.
          harm: See the class.
          details: The other attributes of the class, all optional.
        """
        self.excess = limit_excess(details.get('excess', 1))
        self.prefill_ms = details.get('prefill_ms', 0)
        self.priority = details.get('priority', 0)
        self.is_returning = details.get('is_returning', False)
        self.first_ms = first_ms
        self.remaining_ms = remaining_ms
        self.worth = worth
        self.harm = harm

    @property
    def is_long(self):
        """Whether it competes for the engines reserved for long prompts."""
        return self.worth > LONG_PROMPT_FACTOR


def limit_excess(excess):
    """Return the divisor of what a prompt of an account counts for.

    Args:
      excess: What the account has used, in multiples of its fair share.
    """
    return 1 if excess < _EXCESS_TOLERANCE else min(excess, _MAX_EXCESS)


def is_worth_admitting(estimate, excess=1):
    """Return whether a prompt gains at least what other requests lose.

    Args:
      estimate: An AdmissionEstimate.
      excess: A divisor of what it gains, at least 1.
    Returns:
      A bool; true if no other request is delayed.
    """
    on_time = is_safely_on_time(estimate.first_ms, estimate.remaining_ms)
    gain = _ON_TIME_GAIN if on_time else _LATE_GAIN
    return estimate.harm <= estimate.worth * gain / excess


def is_late_by_load(estimate, usable_share=1):
    """Return whether a prompt would be late, but not on idle engines.

    Args:
      estimate: An AdmissionEstimate.
      usable_share: The share of the remaining time that it may take.
    """
    if estimate.prefill_ms > estimate.remaining_ms:
        return False
    return estimate.first_ms > estimate.remaining_ms * usable_share


class AdmissionRate:
    """The recent admission rate of prompts, from decaying counts."""

    __slots__ = ('_admitted', '_total', '_updated_ms')

    def __init__(self):
        """Create the rate with a prior of one admitted prompt."""
        self._admitted = float(1)
        self._total = float(1)
        self._updated_ms = float(0)

    def record(self, now_ms, *, is_admitted):
        """Count a prompt.

        Args:
          now_ms: The time.
          is_admitted: Whether it was admitted.
        """
        decay = 0.5 ** ((now_ms - self._updated_ms) / _HALF_LIFE_MS)
        self._updated_ms = now_ms
        # The counts decay towards the prior.
        self._admitted = 1 + (self._admitted - 1) * decay + is_admitted
        self._total = 1 + (self._total - 1) * decay + 1

    def rate(self):
        """Return the rate, a float from 0 to 1."""
        return self._admitted / self._total


class LossRate:
    """The recent share of refused or late prompts of one priority."""

    __slots__ = ('_lost', '_total', '_updated_ms')

    def __init__(self):
        """Create the rate without prompts."""
        self._lost = float(0)
        self._total = float(0)
        self._updated_ms = float(0)

    def record(self, now_ms, *, is_lost):
        """Count a prompt.

        Args:
          now_ms: The time.
          is_lost: Whether it was refused, or admitted though late.
        """
        self._decay(now_ms)
        self._lost += is_lost
        self._total += 1

    def is_high(self, now_ms):
        """Return whether more prompts are lost than a single one by chance.

        Args:
          now_ms: The time.
        """
        self._decay(now_ms)
        return self._lost > 1 + self._total * _MAX_LOSS_SHARE

    def _decay(self, now_ms):
        decay = 0.5 ** ((now_ms - self._updated_ms) / _LOSS_HALF_LIFE_MS)
        self._updated_ms = now_ms
        self._lost *= decay
        self._total *= decay


class PromptAdmission:
    """The admission control of one pool."""

    __slots__ = ('_by_size', '_losses', '_overall')

    def __init__(self):
        """Create the state without any decisions."""
        self._overall = AdmissionRate()
        self._by_size = {}
        self._losses = {}

    def admits(self, estimate, now_ms):
        """Decide whether a prompt is admitted, and record the decision.

        Args:
          estimate: An AdmissionEstimate.
          now_ms: The time.
        Returns:
          A bool.
        """
        # Each size class spans a factor of two.
        size_class = math.floor(math.log2(estimate.worth))
        similar = self._by_size.setdefault(size_class, AdmissionRate())
        key = (estimate.priority, estimate.is_long)
        losses = self._losses.setdefault(key, LossRate())
        is_admitted = self._is_timely(estimate, losses, now_ms)
        if is_admitted:
            is_admitted = self._is_due(estimate, similar, losses, now_ms)
        for admission_rate in (similar, self._overall):
            admission_rate.record(now_ms, is_admitted=is_admitted)
        is_lost = not is_admitted or is_late_by_load(estimate)
        losses.record(now_ms, is_lost=is_lost)
        return is_admitted

    def list_short_priorities(self, now_ms):
        """Return the priorities whose prompts are being refused, a list.

        Args:
          now_ms: The time.
        """
        return [
            priority
            for (priority, _is_long), losses in self._losses.items()
            if losses.is_high(now_ms)
        ]

    def _is_timely(self, estimate, losses, now_ms):
        """Return whether a prompt is early enough to be sent to a short pool.

        Without priorities, late prompts of accounts that are within their fair
        shares are judged only by the harm they do.
        """
        if not losses.is_high(now_ms):
            return True
        share = _NEW_TIME_SHARE
        if estimate.is_returning:
            share = _RETURNING_TIME_SHARE
        if not self._has_priorities():
            share = 1 if estimate.excess > 1 else math.inf
        return not is_late_by_load(estimate, share / estimate.excess)

    def _has_priorities(self):
        return len({priority for priority, _is_long in self._losses}) > 1

    def _is_due(self, estimate, similar, losses, now_ms):
        """Return whether a prompt is admitted before its competitors.

        Short prompts do not wait for long ones, however urgent, since these
        are limited by the engines reserved for them.
        """
        is_deferred = any(
            other.is_high(now_ms)
            for (priority, is_long), other in self._losses.items()
            if priority < estimate.priority and is_long <= estimate.is_long
        )
        min_rate = _MIN_DEFERRED_RATE if is_deferred else _MIN_RELATIVE_RATE
        is_underserved = similar.rate() < self._overall.rate() * min_rate
        if is_deferred or is_underserved:
            return is_underserved
        excess = estimate.excess if losses.is_high(now_ms) else 1
        return is_worth_admitting(estimate, excess)


def refuse_overloaded(hints, remaining_ms, inputs=None):
    """Return the refusal of a prompt that is not admitted.

    The duration of the overload is unknown, so the retry hint is as late as
    the caller's deadline permits.

    Args:
      hints: RetryHints.
      remaining_ms: The time left until the caller's deadline.
      inputs: The figures on which the decision was based, for logs.
    Returns:
      A Refusal.
    """
    refusal = refuse_not_run(
        OVERLOADED,
        'the engines are full; sending this would make others late',
        hints.choose_ms(remaining_ms, remaining_ms),
    )
    refusal.inputs = inputs
    return refusal
