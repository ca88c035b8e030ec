"""Evidence that parts of prompts cause crashes, by their frequency.

A part that many prompts share is present at most crashes, whatever their cause.
It is suspicious only if it is present at more crashes, and missing in more of
the answers since, than its frequency in earlier answers explains.  The more
often it was answered before, the less likely it is to crash servers now.
"""

from bisect import bisect_right
from functools import reduce
from operator import and_, attrgetter, itemgetter

from crankchute.core.crash_chance import Chances, Observations
from crankchute.core.crash_timeline import Timeline

#: The acceptable number of sound parts that look like a cause by chance.
_MAX_CHANCE = 0.01
#: With fewer earlier answers it is unknown whether the servers ever worked.
_MIN_EARLIER_ANSWERS = 8


class Evidence:
    """The crashes and answers by which parts are judged.

    Many parts are judged by the same ones, so sets of crashes and of answers
    are ints with one bit for each.

    Attributes:
      chances: Chances.
      crashes: A list of Crash, in order of time.
    """

    __slots__ = (
        '_answers',
        '_explained',
        '_indexes',
        '_timelines',
        '_with_part',
        'chances',
        'crashes',
    )

    def __init__(self, crashes, explained, answers):
        """Create the index.

        Args:
          crashes: An iterable of Crash.
          explained: The set of those that quarantined suspects explain.
          answers: The RecentAnswers.
        """
        self.chances = Chances()
        self.crashes = sorted(crashes, key=attrgetter('at_ms'))
        self._answers = answers
        self._explained = _make_bits(
            crash in explained for crash in self.crashes
        )
        self._indexes = {}
        self._timelines = {}
        self._with_part = _index_parts(crash.parts for crash in self.crashes)

    def find_present(self, suspects):
        """Return the crashes at which all of some parts were present, as bits.

        Args:
          suspects: The fingerprints of the parts, a frozenset.
        """
        return _intersect(self._with_part, suspects)

    def find_first(self, present):
        """Return the first Crash of some.

        Args:
          present: The crashes, as bits; not 0.
        """
        return self.crashes[(present & -present).bit_length() - 1]

    def observe(self, suspects, present):
        """Return the Observations of some parts.

        Args:
          suspects: The fingerprints of the parts, a frozenset.
          present: The crashes at which they were present, as bits.
        """
        first = self.find_first(present)
        timeline = self._find_timeline(first, present)
        counted, sizes = timeline.count(suspects)
        index = self.index_answers(first.pool)
        earlier = index.count_until(first.at_ms)
        answered = _intersect(index.with_part, suspects) & ((1 << earlier) - 1)
        return Observations(
            earlier,
            answered.bit_count(),
            index.total - earlier,
            (present & counted).bit_count(),
            sizes,
        )

    def index_answers(self, pool):
        """Return the AnswerIndex of a pool.

        Args:
          pool: The name of the pool.
        """
        known = self._indexes.get(pool)
        if known is None:
            known = AnswerIndex(
                self._answers.list_all(pool), set(self._with_part)
            )
            self._indexes[pool] = known
        return known

    def count_parts(self, first, present=0):
        """Return the number of parts of earlier answers and of crashes.

        Args:
          first: The Crash before which the answers are.
          present: The crashes, as bits; without them 1 is the least.
        """
        index = self.index_answers(first.pool)
        earlier = index.count_until(first.at_ms)
        if not present:
            return max(index.parts_until[earlier], 1)
        crashed = [
            crash.parts
            for place, crash in enumerate(self.crashes)
            if present >> place & 1
        ]
        return len(index.list_parts(earlier).union(*crashed))

    def count_parts_at_most(self, first):
        """Return a bound of count_parts that takes less time.

        Args:
          first: See count_parts.
        """
        index = self.index_answers(first.pool)
        return index.parts_until[-1] + len(self._with_part)

    def is_working(self, first):
        """Return whether servers answered since a crash.

        Args:
          first: The Crash.
        """
        latest_ms = self._answers.latest_ms.get(first.pool, first.at_ms)
        return latest_ms > first.at_ms

    def _find_timeline(self, first, present):
        """Return the Timeline of a pool since the first crash."""
        own_explained = present & self._explained
        key = (first.pool, first.at_ms, own_explained)
        known = self._timelines.get(key)
        if known is None:
            without = self._explained & ~own_explained
            known = Timeline(
                {
                    crash: 1 << place
                    for place, crash in enumerate(self.crashes)
                    if crash.pool == first.pool
                    and crash.at_ms >= first.at_ms
                    and not without >> place & 1
                }
            )
            self._timelines[key] = known
        return known


class AnswerIndex:
    """The answers of a pool, by when their requests were sent.

    Attributes:
      parts_until: The numbers of parts of the first answers, a list.
      total: The number of answers.
      with_part: A map from part to the answers with it, as bits.
    """

    __slots__ = ('_sent_ms', '_sets', 'parts_until', 'total', 'with_part')

    def __init__(self, answers, suspects):
        """Create the index.

        Args:
          answers: Pairs of when a request was sent and a frozenset of its
            parts.
          suspects: The set of the parts that may be looked up.
        """
        ordered = sorted(answers, key=itemgetter(0))
        self._sent_ms = [sent_ms for sent_ms, _parts in ordered]
        self._sets = [parts for _sent_ms, parts in ordered]
        self.total = len(ordered)
        seen = set()
        self.parts_until = [0]
        for one in self._sets:
            seen |= one
            self.parts_until.append(len(seen))
        self.with_part = _index_parts(parts & suspects for parts in self._sets)

    def count_until(self, at_ms):
        """Return the number of answers to requests sent until a time.

        Args:
          at_ms: The time.
        """
        return bisect_right(self._sent_ms, at_ms)

    def list_parts(self, count):
        """Return the set of all parts of the first answers.

        Args:
          count: The number of those answers.
        """
        return set().union(*self._sets[:count])


def _make_bits(flags):
    return sum(1 << place for place, flag in enumerate(flags) if flag)


def _index_parts(sets):
    """Return a map from part to the sets with it, as bits."""
    index = {}
    for place, parts in enumerate(sets):
        bit = 1 << place
        for part in parts:
            index[part] = index.get(part, 0) | bit
    return index


def _intersect(index, suspects):
    return reduce(and_, (index.get(one, 0) for one in suspects))


def is_likely_cause(suspects, evidence):
    """Return whether parts of prompts are likely to cause crashes.

    Args:
      suspects: The fingerprints of parts, a frozenset.  No prompt with all of
        them was answered since the first Crash at which all were present.
      evidence: Evidence.
    """
    present = evidence.find_present(suspects)
    if not present:
        return False
    first = evidence.find_first(present)
    observed = evidence.observe(suspects, present)
    is_known = observed.earlier >= _MIN_EARLIER_ANSWERS
    if not is_known and not evidence.is_working(first):
        return False
    # The odds that the next answer is the first failure (rule of succession).
    against = observed.earlier_with + 1
    # Each part that was seen might have looked like a cause.
    limit = _MAX_CHANCE / against / evidence.count_parts(first)
    chance = evidence.chances.estimate(observed, limit)
    if chance > limit:
        return False
    if chance * evidence.count_parts_at_most(first) * against <= _MAX_CHANCE:
        return True
    parts = evidence.count_parts(first, present)
    return chance * parts * against <= _MAX_CHANCE
