"""The probability that sound parts of prompts are at many crashes by chance.

How frequent parts are is uncertain, so the probability is the mean over all
possible shares of prompts, weighted by the earlier answers.
"""

from functools import lru_cache

#: Shares with less than this part of all weights are left out.
_NEGLIGIBLE = 1e-9
#: The number of possible shares over which the chance is averaged.
_STEPS = 50
_MAX_KNOWN_WEIGHTS = 512
#: Above the rounding errors of a sum.
_MARGIN = 1 + _NEGLIGIBLE


class Observations:
    """What is known of parts that may cause crashes.

    Attributes:
      earlier: The number of answers before the first crash.
      earlier_with: How many of those had the parts.
      later: The number of answers since; none had the parts.
      crashes_with: At how many of the crashes since the parts were present.
      sizes: The number of requests at each of those crashes, a tuple.
    """

    __slots__ = ('crashes_with', 'earlier', 'earlier_with', 'later', 'sizes')

    def __init__(self, earlier, earlier_with, later, crashes_with, sizes):
        """Create the record; see the class."""
        self.earlier = earlier
        self.earlier_with = earlier_with
        self.later = later
        self.crashes_with = crashes_with
        self.sizes = sizes


class Chances:
    """Probabilities, with what different parts have in common computed once.

    Attributes:
      operations: How many numbers of distributions were computed.
    """

    __slots__ = ('_absent', '_distributions', 'operations')

    def __init__(self):
        """Create an empty record."""
        self.operations = 0
        self._absent = {}
        self._distributions = {}

    def estimate(self, observed, limit):
        """Return the probability to observe this, or more, of sound parts.

        It is 1 if the parts are at no more crashes than is usual.

        Args:
          observed: Observations.
          limit: If the probability is above this, a lower bound of it that is
            also above may be returned.
        """
        usual = (observed.earlier_with + 0.5) / (observed.earlier + 1)
        absent = self._count_absent(usual, observed.sizes)
        if observed.crashes_with <= len(observed.sizes) - absent:
            return 1
        weights, total = _weigh_shares(observed.earlier, observed.earlier_with)
        enough = limit * total * _MARGIN
        least = self._find_least(weights, observed, enough)
        if least > enough:
            return least / total
        chance = 0
        for weight, share in weights:
            chance += weight * self._chance_at(share, observed)
            if chance > enough:
                break
        return chance / total

    def _find_least(self, weights, observed, enough):
        """Return a lower bound of the weighted probability.

        The median of a sum of independent events is less than 1 from its mean.

        Args:
          weights: See _weigh_shares.
          observed: Observations.
          enough: A bound above this need not be closer.
        """
        most_absent = len(observed.sizes) - observed.crashes_with
        least = 0
        if not most_absent:
            return least
        for weight, share in weights:
            if most_absent >= self._count_absent(share, observed.sizes) + 1:
                least += weight * (1 - share) ** observed.later / 2
                if least > enough:
                    break
        return least

    def _count_absent(self, usual, sizes):
        """Return at how many crashes parts with a usual share are missing."""
        known = self._absent.get((usual, sizes))
        if known is None:
            self.operations += len(sizes)
            known = sum((1 - usual) ** size for size in sizes)
            self._absent[(usual, sizes)] = known
        return known

    def _chance_at(self, share, observed):
        """Return the probability, given the share of prompts with the parts."""
        most_absent = len(observed.sizes) - observed.crashes_with
        by_count = self._distribute(share, observed.sizes)
        return sum(by_count[: most_absent + 1]) * (1 - share) ** observed.later

    def _distribute(self, share, sizes):
        """Return the probability of each number of crashes without the parts.

        Parts that were first present later have the same last crashes.

        Args:
          share: The share of prompts with the parts.
          sizes: See Observations.
        """
        known = self._distributions.setdefault(share, {(): [1]})
        start = 0
        while sizes[start:] not in known:
            start += 1
        by_count = known[sizes[start:]]
        for first in range(start - 1, -1, -1):
            chance = (1 - share) ** sizes[first]
            by_count = [
                before * chance + same * (1 - chance)
                for before, same in zip(
                    [0, *by_count], [*by_count, 0], strict=True
                )
            ]
            self.operations += len(by_count)
            known[sizes[first:]] = by_count
        return by_count


@lru_cache(_MAX_KNOWN_WEIGHTS)
def _weigh_shares(earlier, earlier_with):
    """Return the weights of shares: Jeffreys prior and earlier answers.

    Args:
      earlier: See Observations.
      earlier_with: See Observations.
    Returns:
      Pairs of a weight and a share, the largest weights first, without the
      negligible ones; and the sum of all weights.
    """
    without = earlier - earlier_with
    shares = [(step + 0.5) / _STEPS for step in range(_STEPS)]
    weights = [
        (share ** (earlier_with - 0.5) * (1 - share) ** (without - 0.5), share)
        for share in shares
    ]
    total = sum(weight for weight, _share in weights)
    kept = [one for one in weights if one[0] > total * _NEGLIGIBLE]
    return sorted(kept, reverse=True), total
