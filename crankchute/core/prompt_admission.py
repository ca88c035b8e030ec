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
"""

import math

from crankchute.core.engine_plans import is_safely_on_time
from crankchute.core.outcomes import refuse_not_run

#: The share of its worth that a prompt on time loses by a retry: an answer
#: after its goal keeps about a quarter.  Higher values refuse fewer prompts.
_ON_TIME_GAIN = 0.75
#: The same for a late prompt, which loses the remaining quarter only if the
#: retry fails too, as about half of them do.
_LATE_GAIN = 0.125
#: The minimum admission rate of a size class, relative to the overall rate.
_MIN_RELATIVE_RATE = 0.6
#: The half-life of admission counts; long prompts arrive every few seconds.
_HALF_LIFE_MS = 10_000


class AdmissionEstimate:
    """The predicted effects of admitting a prompt.

    Attributes:
      first_ms: The time until its first event, in milliseconds.
      remaining_ms: The time left until its goal, in milliseconds.
      worth: Its full worth, in multiples of a usual prompt's.
      harm: The worth that other requests would lose, in the same unit.
    """

    __slots__ = ('first_ms', 'harm', 'remaining_ms', 'worth')

    def __init__(self, first_ms, remaining_ms, *, worth, harm):
        """Create the estimate.

        Args:
          first_ms: See the class.
          remaining_ms: See the class.
          worth: See the class.
          harm: See the class.
        """
        self.first_ms = first_ms
        self.remaining_ms = remaining_ms
        self.worth = worth
        self.harm = harm


def is_worth_admitting(estimate):
    """Return whether a prompt gains at least what other requests lose.

    Args:
      estimate: An AdmissionEstimate.
    Returns:
      A bool; true if no other request is delayed.
    """
    on_time = is_safely_on_time(estimate.first_ms, estimate.remaining_ms)
    gain = _ON_TIME_GAIN if on_time else _LATE_GAIN
    return estimate.harm <= estimate.worth * gain


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


class PromptAdmission:
    """The admission control of one pool."""

    __slots__ = ('_by_size', '_overall')

    def __init__(self):
        """Create the state without any decisions."""
        self._overall = AdmissionRate()
        self._by_size = {}

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
        is_underserved = (
            similar.rate() < self._overall.rate() * _MIN_RELATIVE_RATE
        )
        is_admitted = is_underserved or is_worth_admitting(estimate)
        for admission_rate in (similar, self._overall):
            admission_rate.record(now_ms, is_admitted=is_admitted)
        return is_admitted


def refuse_overloaded(hints, remaining_ms):
    """Return the refusal of a prompt that is not admitted.

    The duration of the overload is unknown, so the retry hint is as late as
    the caller's deadline permits.

    Args:
      hints: RetryHints.
      remaining_ms: The time left until the caller's deadline.
    Returns:
      A Refusal.
    """
    return refuse_not_run(
        'crowded',
        'the engines are full; sending this would make others late',
        hints.choose_ms(remaining_ms, remaining_ms),
    )
