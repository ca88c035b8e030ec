"""The crashes of a pool that count when parts of prompts are judged."""

from itertools import chain, pairwise
from math import inf
from operator import attrgetter

from crankchute.core.crash_attribution import group_simultaneous


class Timeline:
    """Crashes of a pool, those of separate causes counted once.

    Simultaneous crashes may have one cause and count once.  The one with the
    fewest requests stands for them, since it tells most about its suspects.
    An attempt sent after a crash cannot belong to it, so the crash of its own
    server counts separately, however soon it follows.
    """

    __slots__ = ('_bits', '_counted', '_followers', '_groups')

    def __init__(self, bits):
        """Create the timeline.

        Args:
          bits: A map from Crash to its bit.
        """
        self._bits = bits
        self._counted = {}
        self._groups = group_simultaneous(bits)
        self._followers = tuple(
            chain.from_iterable(map(pairwise, self._groups))
        )

    def count(self, suspects):
        """Return the crashes that count for some parts.

        Args:
          suspects: The fingerprints of the parts, a frozenset.
        Returns:
          The crashes as bits, and a tuple of their sizes in order of time.
        """
        separate = self._followers and frozenset(
            crash
            for before, crash in self._followers
            if _find_begun(suspects, crash) > before.at_ms
        )
        known = self._counted.get(separate)
        if known is None:
            known = self._count_separate(separate)
            self._counted[separate] = known
        return known

    def _count_separate(self, separate):
        separated = []
        for simultaneous in self._groups:
            separated.append(simultaneous[:1])
            for following in simultaneous[1:]:
                if following in separate:
                    separated.append([])
                separated[-1].append(following)
        counted = [min(group, key=attrgetter('size')) for group in separated]
        return (
            sum(self._bits[crash] for crash in counted),
            tuple(max(crash.size, 1) for crash in counted),
        )


def _find_begun(suspects, crash):
    """Return when the first of some suspects was sent, if all were present."""
    return min(crash.begun_ms.get(one, -inf) for one in suspects)
