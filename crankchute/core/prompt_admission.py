"""Whether a prompt is sent to engines at all.

The load that this answers: more prompts come than the engines of a pool can
serve in time, for seconds on end.  Each of them can still be placed, at the
least harm; but with every engine full of writers, a read makes several of
them late, and a long prompt that several engines read makes nearly all late.
Where everybody is taken, hardly anybody is served in time: with a third of the
engines of a usual day 55 of 554 short prompts were, and 290 with what is
decided here (one play each).

A prompt is refused if sending it now takes more from others than it gains its
own caller.  The caller is told at once, and may come back.  What it gains is
what it would lose by that: most of its worth if it would be in time, little
if it would be late in any case.  So nothing has to be known of capacity or
traffic, and nothing is refused where nobody is harmed, as on engines with
room.

Long prompts harm more, so in a lasting crowd hardly any of them would be sent.
So none is refused while those of its length are sent much more seldom than
all.
"""

import math

from crankchute.core.engine_plans import is_safely_on_time
from crankchute.core.outcomes import refuse_not_run

#: What a caller loses that comes back, as a part of its full worth: an answer
#: after its goal keeps about a quarter.  Higher parts refuse less: with 1, a
#: half and 0.3 a day of four times the traffic is worth 0.36, 0.39 and 0.39
#: (0.10 if nothing is refused), and on one with twice the traffic the longest
#: prompts are served 0.90, 0.77 and 0.64 times as often as the short ones (one
#: play each, without the bound below).
_IN_TIME_GAIN = 0.75
#: The same for one that is late in any case: by coming back it loses its
#: quarter only if it is not served then, which half of them are.
_LATE_GAIN = 0.125
#: Prompts of some length are sent at least so often as all are, as a part of
#: that.  Without this bound 3 and 7 in 100 of those of 45,000 and 182,000
#: tokens were answered at three times the load, and 48 of those of 5000
#: (bench.overload, seed 1).
_FAIR_PART = 0.6
#: After this long half of what was sent and refused has faded: long prompts
#: come every few seconds.
_HALF_MS = 10_000


class Prospect:
    """What sending a prompt now would do, as predicted.

    Attributes:
      first_ms: When its first event would come, in milliseconds.
      left_ms: What is left until its goal, in milliseconds.
      worth: Its full worth, as that of so many usual prompts.
      harm: What others would lose, in the same unit.
    """

    __slots__ = ('first_ms', 'harm', 'left_ms', 'worth')

    def __init__(self, first_ms, left_ms, *, worth, harm):
        """Create the prospect.

        Args:
          first_ms: See the class.
          left_ms: See the class.
          worth: See the class.
          harm: See the class.
        """
        self.first_ms = first_ms
        self.left_ms = left_ms
        self.worth = worth
        self.harm = harm


def is_worth_sending(prospect):
    """Tell whether a prompt gains more than it takes from others.

    Args:
      prospect: A Prospect.
    Returns:
      A bool; true if nobody is harmed.
    """
    in_time = is_safely_on_time(prospect.first_ms, prospect.left_ms)
    gain = _IN_TIME_GAIN if in_time else _LATE_GAIN
    return prospect.harm <= prospect.worth * gain


class SentShare:
    """Which part of some prompts was sent lately, as fading counts."""

    __slots__ = ('_sent', '_since_ms', '_total')

    def __init__(self):
        """Create the share of prompts that were all sent."""
        self._sent = float(1)
        self._total = float(1)
        self._since_ms = float(0)

    def note(self, now_ms, *, is_sent):
        """Count a prompt.

        Args:
          now_ms: The time.
          is_sent: Whether it was sent.
        """
        left = 0.5 ** ((now_ms - self._since_ms) / _HALF_MS)
        self._since_ms = now_ms
        # What fades does so towards one prompt that was sent.
        self._sent = 1 + (self._sent - 1) * left + is_sent
        self._total = 1 + (self._total - 1) * left + 1

    def part(self):
        """Return it as a float from 0 to 1."""
        return self._sent / self._total


class PromptAdmission:
    """Decides for the prompts of one pool, and remembers what it decided."""

    __slots__ = ('_all', '_by_length')

    def __init__(self):
        """Create for a pool whose prompts were all sent so far."""
        self._all = SentShare()
        self._by_length = {}

    def sends(self, prospect, now_ms):
        """Decide whether a prompt is sent.

        Args:
          prospect: A Prospect.
          now_ms: The time.
        Returns:
          A bool.
        """
        # Lengths within a doubling count as alike.
        length = math.floor(math.log2(prospect.worth))
        alike = self._by_length.setdefault(length, SentShare())
        is_rare = alike.part() < self._all.part() * _FAIR_PART
        is_sent = is_rare or is_worth_sending(prospect)
        for share in (alike, self._all):
            share.note(now_ms, is_sent=is_sent)
        return is_sent


def refuse_crowded(hints, remaining_ms):
    """Return the refusal of a prompt that is not worth sending.

    How long the crowd lasts is not known, so the caller is asked to come back
    as late as it can be asked to.

    Args:
      hints: ReturnHints.
      remaining_ms: What the caller has left, in milliseconds.
    Returns:
      A Refusal.
    """
    return refuse_not_run(
        'crowded',
        'the engines are full; sending this would make others late',
        hints.choose_ms(remaining_ms, remaining_ms),
    )
