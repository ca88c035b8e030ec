"""Which part of a server's limit an instance may use.

The limit binds the sum over all instances, and nobody counts for them.  Those
that callers are sent to divide it: each server has a few holders among them,
chosen by hash, more of them the more it takes, so that a part is not too small to
be of use.  All that know the same instances know the same holders.

Instances differ for a moment in whom they know.  So a part counts once it has
been this instance's for a whole window: whoever had it before knows better by
then.  An instance that most of the others are lost to cannot tell whether they
are gone; it takes over nothing and uses less of its own, so that both sides of a
cut together stay within what servers stand.
"""

from math import floor

from crankchute.core.hashing import rank_by_hash

#: The time over which servers count what reaches them, in milliseconds.
WINDOW_MS = 4000
#: Stands for the part of a server that was not looked for yet.
_NO_PART = (None, 0)
#: What an instance that is cut off uses of its own part.
_CUT_OFF_PART = 0.25
#: How long an instance that was active counts as one of those that may be lost.
_REMEMBER_MS = 30_000


class Sharers:
    """The instances that divide limits, as one of them sees it.

    Attributes:
      instances: Their ids, a sorted tuple.
      part: How much of its own part this instance uses, from 0 to 1.
    """

    __slots__ = ('instances', 'part')

    def __init__(self, instances, part=1):
        """Create the record.

        Args:
          instances: An iterable of ids.
          part: See the class.
        """
        self.instances = tuple(sorted(instances))
        self.part = part

    def is_same(self, other):
        """Tell whether another record says the same.

        Args:
          other: A Sharers.
        """
        return self.instances == other.instances and self.part == other.part

    def part_of(self, instance, server, limit):
        """Return which part of a limit an instance may use, from 0 to 1.

        Args:
          instance: Its id.
          server: The server's id.
          limit: Requests a second.
        """
        holders = self.list_holders(server, limit)
        return self.part / len(holders) if instance in holders else 0

    def list_holders(self, server, limit):
        """Return the ids of the instances that have a part of a limit, a list.

        Args:
          server: The server's id.
          limit: Requests a second.
        """
        count = min(len(self.instances), floor(limit) + 1)
        return rank_by_hash(server, self.instances)[:count]


class SharerFinder:
    """Finds out who divides limits, by who is active and who is lost."""

    def __init__(self, own):
        """Create the finder of an instance that knows of nobody.

        Args:
          own: Its id.
        """
        self._own = own
        self._active_ms = {}

    def find(self, active, is_lost, now_ms):
        """Return the Sharers.

        Args:
          active: The ids of the instances that callers are sent to.
          is_lost: A function of an id that tells whether that instance does
            not answer, though it did not say that it leaves.
          now_ms: The time.
        """
        self._active_ms = {
            instance: active_ms
            for instance, active_ms in self._active_ms.items()
            if now_ms - active_ms < _REMEMBER_MS
        }
        self._active_ms.update(dict.fromkeys(active, now_ms))
        known = {self._own, *self._active_ms}
        lost = [one for one in known if one != self._own and is_lost(one)]
        present = len(known) - len(lost)
        if present > len(lost):
            return Sharers(active)
        is_half = present == len(lost)
        return Sharers(known, 1 if is_half else _CUT_OFF_PART)


class _View:
    """Sharers, and since when they are those."""

    __slots__ = ('sharers', 'since_ms')

    def __init__(self, sharers, since_ms):
        self.sharers = sharers
        self.since_ms = since_ms


class LimitShares:
    """The parts of all limits that one instance may use."""

    def __init__(self, clock, own):
        """Create the shares of a process that starts, and has none.

        Args:
          clock: A Clock.
          own: This instance's id.
        """
        self._clock = clock
        self._own = own
        self._parts = {}
        self._views = [_View(Sharers(()), clock.now_ms())]

    def note(self, sharers):
        """Take who divides limits from now on.

        Args:
          sharers: Sharers.
        """
        if not sharers.is_same(self._views[-1].sharers):
            self._views.append(_View(sharers, self._clock.now_ms()))
            self._parts = {}

    def part_of(self, server, limit):
        """Return the least part that was this instance's within the window.

        Args:
          server: The server's id.
          limit: Requests a second.
        Returns:
          A float from 0 to 1.
        """
        self._drop_old()
        known_limit, part = self._parts.get(server, _NO_PART)
        if known_limit != limit:
            part = min(
                one.sharers.part_of(self._own, server, limit)
                for one in self._views
            )
            self._parts[server] = (limit, part)
        return part

    def list_holders(self, server, limit):
        """Return the ids of the instances that have a part of a limit now.

        Args:
          server: The server's id.
          limit: Requests a second.
        """
        return self._views[-1].sharers.list_holders(server, limit)

    def is_first(self, server):
        """Tell whether this instance is the one that asks after a server.

        Args:
          server: The server's id.
        """
        return self._views[-1].sharers.part_of(self._own, server, 0) > 0

    def _drop_old(self):
        """Forget views that ended a window ago."""
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while len(self._views) > 1 and self._views[1].since_ms <= oldest_ms:
            self._views.pop(0)
            self._parts = {}
