"""Evidence that parts of prompts cause crashes, by their frequency.

A part that many prompts share is present at most crashes, whatever their cause.
It is suspicious only if it is present at more crashes, and missing in more of
the answers since, than its frequency in earlier answers explains.  The more
often it was answered before, the less likely it is to crash servers now.
"""

from itertools import repeat
from math import inf
from operator import attrgetter

from crankchute.core.crash_attribution import group_simultaneous

#: The acceptable number of sound parts that look like a cause by chance.
_MAX_CHANCE = 0.01
#: With fewer earlier answers it is unknown whether the servers ever worked.
_MIN_EARLIER_ANSWERS = 8
#: Shares with less than this part of all weights are left out.
_NEGLIGIBLE = 1e-9
#: The number of possible shares over which the chance is averaged.
_STEPS = 50


class Observations:
    """What is known of parts that may cause crashes.

    Simultaneous crashes may have one cause and count once.  The one with the
    fewest requests stands for them, since it tells most about its suspects.

    Attributes:
      earlier: The number of answers before the first crash.
      earlier_with: How many of those had the parts.
      later: The number of answers since; none had the parts.
      crashes_with: At how many of the crashes since the parts were present.
      sizes: The number of requests at each of those crashes, a list.
    """

    __slots__ = ('crashes_with', 'earlier', 'earlier_with', 'later', 'sizes')

    def __init__(self, suspects, crashes, answers):
        """Count.

        Args:
          suspects: The fingerprints of the parts, a frozenset.
          crashes: The Crashes of a pool, in order of time, from the first one
            at which the parts were present.
          answers: The RecentAnswers.
        """
        pool, first_ms = crashes[0].pool, crashes[0].at_ms
        earlier = answers.list_before(pool, first_ms)
        self.earlier = len(earlier)
        self.earlier_with = sum(suspects <= parts for parts in earlier)
        self.later = answers.count_after(pool, first_ms)
        counted = [
            min(group, key=attrgetter('size'))
            for group in _separate_attempts(suspects, crashes)
        ]
        self.crashes_with = sum(suspects <= one.suspects for one in counted)
        self.sizes = [max(one.size, 1) for one in counted]


def _separate_attempts(suspects, crashes):
    """Return lists of simultaneous crashes, in order of time.

    An attempt sent after a crash cannot belong to it, so the crash of its own
    server counts separately, however soon it follows.
    """
    groups = []
    for group in group_simultaneous(crashes):
        last_ms = inf
        for crash in group:
            if last_ms == inf or _find_begun(suspects, crash) > last_ms:
                groups.append([])
            groups[-1].append(crash)
            last_ms = crash.at_ms
    return groups


def _find_begun(suspects, crash):
    """Return when the first of some suspects was sent, if all were present."""
    return min(crash.begun_ms.get(one, -inf) for one in suspects)


def is_likely_cause(suspects, crashes, answers):
    """Return whether parts of prompts are likely to cause crashes.

    Args:
      suspects: The fingerprints of parts, a frozenset.  No prompt with all of
        them was answered since the first Crash at which all were present.
      crashes: The Crashes that no other suspects explain.
      answers: The RecentAnswers.
    """
    own = [crash for crash in crashes if suspects <= crash.suspects]
    if not own:
        return False
    first = min(own, key=attrgetter('at_ms'))
    since = [
        crash
        for crash in sorted(crashes, key=attrgetter('at_ms'))
        if crash.pool == first.pool and crash.at_ms >= first.at_ms
    ]
    observed = Observations(suspects, since, answers)
    latest_ms = answers.latest_ms.get(first.pool, first.at_ms)
    is_working = latest_ms > first.at_ms
    if not is_working and observed.earlier < _MIN_EARLIER_ANSWERS:
        return False
    # Each part that was seen might have looked like a cause.
    earlier = answers.list_before(first.pool, first.at_ms)
    parts = set().union(*earlier, *(crash.parts for crash in own))
    # The odds that the next answer is the first failure (rule of succession).
    against = observed.earlier_with + 1
    return estimate_chance(observed) * len(parts) * against <= _MAX_CHANCE


def estimate_chance(observed):
    """Return the probability to observe this, or more, of sound parts.

    How frequent the parts are is uncertain, so the probability is the mean over
    all possible shares of prompts, weighted by the earlier answers.  It is 1 if
    the parts are at no more crashes than is usual.

    Args:
      observed: Observations.
    """
    usual = (observed.earlier_with + 0.5) / (observed.earlier + 1)
    absent = sum((1 - usual) ** size for size in observed.sizes)
    if observed.crashes_with <= len(observed.sizes) - absent:
        return 1
    shares = [(step + 0.5) / _STEPS for step in range(_STEPS)]
    weights = {share: _weigh(share, observed) for share in shares}
    total = sum(weights.values())
    return (
        sum(
            weight * _chance_at(share, observed)
            for share, weight in weights.items()
            if weight > total * _NEGLIGIBLE
        )
        / total
    )


def _weigh(share, observed):
    """Return the weight of a share: Jeffreys prior and earlier answers."""
    without = observed.earlier - observed.earlier_with
    return share ** (observed.earlier_with - 0.5) * (1 - share) ** (
        without - 0.5
    )


def _chance_at(share, observed):
    """Return the probability, given the share of prompts with the parts."""
    absent = [(1 - share) ** size for size in observed.sizes]
    most_absent = len(absent) - observed.crashes_with
    crash_chance = _estimate_at_most(most_absent, absent)
    return crash_chance * (1 - share) ** observed.later


def _estimate_at_most(limit, chances):
    """Return the probability that few of some independent events happen.

    Args:
      limit: The largest number of events that happen.
      chances: The probability of each event, a list.
    """
    by_count = [1, *repeat(0, limit)]
    for chance in chances:
        for count in range(limit, 0, -1):
            by_count[count] += chance * (by_count[count - 1] - by_count[count])
        by_count[0] *= 1 - chance
    return sum(by_count)
