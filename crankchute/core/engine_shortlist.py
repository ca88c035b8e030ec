"""Which engines of a pool are worth a full comparison for a prompt.

Comparing every engine costs 1.0 ms for a prompt of 5,000 tokens and 2.8 ms for
one of 100,000 at 150 engines, and 15.6 and 63 ms at 2,900 (processor time,
median of 15 choices), on the loop that relays all streams.  So the engines are
put in order by about how long new work would wait there, which is cheap, and
only the first are compared: 0.24 and 1.1 ms at 150, 0.34 and 1.3 ms at 2,900.
"""

import heapq

from crankchute.core.engine_model import estimate_decode_ms

#: How many engines are compared for a prompt that one engine reads, of those
#: that short prompts may use freely and of the others.
_SHORT = 16
_SHORT_KEPT = 8
#: The same for a prompt that several engines may read, up to 17 of them.
_LONG = 24
_LONG_KEPT = 24
#: How many engines are put in order at all, a stretch of them that begins
#: anywhere: the best of so many are about as good as the best of all.
_MOST_ORDERED = 192
#: What a request that writes there counts, in milliseconds of waiting: the
#: pause that a read makes for it has about this chance to matter.
_WRITER_MS = 30
#: What a failure counts that is sure, in milliseconds of waiting.
_RISK_MS = 1000
#: What opening a connection counts, and an engine of another data centre, in
#: seconds of waiting.  They take 1 to 5 ms; they count more because each
#: costs processor at both ends, and traffic between data centres is paid for,
#: and little enough to part only engines that are alike.  On a quiet day of 195
#: instances and 150 engines 2,126 connections were opened for 8,300 requests,
#: 4,662 before (one play each, with other changes).
_CONNECT_S = 0.02
_FAR_S = 0.01
_MS_PER_SECOND = 1000


class Shortlist:
    """Draws the engines to compare.

    Attributes:
      kept: The ids of the engines that short prompts are kept off.
    """

    def __init__(self, parts):
        """Create the shortlist of a pool.

        Args:
          parts: ChooserParts.
        """
        self._random = parts.random
        self._board = parts.board
        self._is_connected = parts.is_connected
        self._data_centre = parts.data_centre
        self._slots = parts.pool.figures.slots
        self._slot_ms = estimate_decode_ms(parts.pool.figures) / self._slots
        self._members = None
        self._order = []
        self._ordered = []
        self._kept_count = 0
        self.kept = frozenset()

    def take(self, members):
        """Take the engines of the pool.

        Which of them short prompts are kept off follows from their ids, so
        that every instance keeps short prompts off the same ones.

        Args:
          members: The Backends; the same list while they do not change.
        """
        if members is self._members:
            return
        self._members = members
        self._order = list(members)
        self._random.shuffle(self._order)
        self._ordered = sorted(one.identity for one in members)
        self._kept_count = 0

    def divide(self, now_ms):
        """Divide the engines between long and short prompts.

        Args:
          now_ms: The time.
        """
        demand = self._board.demand
        share = demand.estimate_long_share(now_ms, self._slot_ms)
        count = max(1, round(len(self._ordered) * share))
        if count != self._kept_count:
            self._kept_count = count
            self.kept = frozenset(self._ordered[:count])

    def draw_stretch(self):
        """Return the engines to look at for one prompt, a list of Backend."""
        if not self._order:
            return []
        begin = self._random.randrange(len(self._order))
        # Among engines that are alike the first are drawn, so the stretch
        # begins elsewhere each time, and every instance has its own order.
        turned = self._order[begin:] + self._order[:begin]
        return turned[:_MOST_ORDERED]

    def draw(self, usable, now_ms, *, is_long):
        """Return the engines to compare, in any order.

        Args:
          usable: The Backends that may be asked now.
          now_ms: The time.
          is_long: Whether several engines may read the prompt.
        Returns:
          A list of Backend.
        """
        count, kept_count = _SHORT, _SHORT_KEPT
        if is_long:
            count, kept_count = _LONG, _LONG_KEPT
        if len(usable) <= count + kept_count:
            return usable
        free = [one for one in usable if one.identity not in self.kept]
        others = [one for one in usable if one.identity in self.kept]

        def burden(backend):
            return self._weigh_burden(backend, now_ms)

        return [
            *heapq.nsmallest(count, free, key=burden),
            *heapq.nsmallest(kept_count, others, key=burden),
        ]

    def weigh_way(self, backend):
        """Return what the way to an engine counts, in seconds of waiting.

        Args:
          backend: A Backend.
        """
        way_s = 0
        if not self._is_connected(backend):
            way_s += _CONNECT_S
        if backend.listed.data_centre != self._data_centre:
            way_s += _FAR_S
        return way_s

    def _weigh_burden(self, backend, now_ms):
        """Return about how long new work waits at an engine, in ms."""
        state = self._board.state(backend.identity)
        lacking = max(state.writers + 1 - self._slots, 0)
        return (
            state.wait_ms(now_ms)
            + state.writers * _WRITER_MS
            + lacking * self._slot_ms
            + backend.suspicion.chance(now_ms) * _RISK_MS
            + self.weigh_way(backend) * _MS_PER_SECOND
        )
