"""Division of backend servers' rate limits among instances.

A limit applies to the requests of all instances together, and no component
counts them centrally.  For each server, the instances that callers are sent to
choose a few holders by hash, more for a higher limit, and divide it equally, so
that each share is large enough to use.  Instances with the same view choose the
same holders.

Views differ for a short time after a change.  An instance therefore uses a new
or larger share only after a whole window, when the previous holder has seen the
change too.  An instance that cannot reach most of the others cannot tell whether
they have failed or a network partition separates them: it takes over no shares
and reduces its own, so that both sides together stay within the limits.
"""

from math import floor

from crankchute.core.hashing import rank_by_hash

#: The period over which servers count requests, in milliseconds.
WINDOW_MS = 4000
_NOT_CACHED = (None, 0)
#: The factor on the share of an instance that cannot reach most of the others.
_MINORITY_SHARE_FACTOR = 0.25
#: How long an instance that is no longer active counts as a participant that
#: may be unreachable.
_ACTIVE_RETENTION_MS = 30_000


class Participants:
    """The instances that divide limits, in the view of one of them.

    Attributes:
      instances: Their ids, a sorted tuple.
      share_factor: The usable fraction of this instance's share, from 0 to 1.
    """

    __slots__ = ('instances', 'share_factor')

    def __init__(self, instances, share_factor=1):
        """Create the view.

        Args:
          instances: An iterable of ids.
          share_factor: See the class.
        """
        self.instances = tuple(sorted(instances))
        self.share_factor = share_factor

    def is_same(self, other):
        """Return whether two views are equal.

        Args:
          other: A Participants.
        """
        return (
            self.instances == other.instances
            and self.share_factor == other.share_factor
        )

    def share_of(self, instance, server, limit):
        """Return the fraction of a limit that an instance may use.

        Args:
          instance: Its id.
          server: The server's id.
          limit: Requests per second.
        """
        holders = self.list_holders(server, limit)
        return self.share_factor / len(holders) if instance in holders else 0

    def list_holders(self, server, limit):
        """Return the ids of the instances with a share of a limit, a list.

        Args:
          server: The server's id.
          limit: Requests per second.
        """
        count = min(len(self.instances), floor(limit) + 1)
        return rank_by_hash(server, self.instances)[:count]


class ParticipantTracker:
    """Determines which instances divide the limits of servers."""

    def __init__(self, own):
        """Create the tracker of an instance that knows no others.

        Args:
          own: Its id.
        """
        self._own = own
        self._last_active_ms = {}

    def update(self, active, is_unreachable, now_ms):
        """Record the active instances and return the participants.

        Args:
          active: The ids of the instances that callers are sent to.
          is_unreachable: A function of an id that returns whether that
            instance does not respond though it did not announce its leave.
          now_ms: The time in milliseconds.
        Returns:
          A Participants.
        """
        self._last_active_ms = {
            instance: active_ms
            for instance, active_ms in self._last_active_ms.items()
            if now_ms - active_ms < _ACTIVE_RETENTION_MS
        }
        self._last_active_ms.update(dict.fromkeys(active, now_ms))
        known = {self._own, *self._last_active_ms}
        unreachable = [
            other
            for other in known
            if other != self._own and is_unreachable(other)
        ]
        reachable_count = len(known) - len(unreachable)
        if reachable_count > len(unreachable):
            return Participants(active)
        is_half = reachable_count == len(unreachable)
        return Participants(known, 1 if is_half else _MINORITY_SHARE_FACTOR)


class _View:
    """Participants, and since when they are in effect."""

    __slots__ = ('participants', 'since_ms')

    def __init__(self, participants, since_ms):
        self.participants = participants
        self.since_ms = since_ms


class LimitShares:
    """One instance's shares of all limits."""

    def __init__(self, clock, own):
        """Create the shares of a process that starts and has none.

        Args:
          clock: A Clock.
          own: This instance's id.
        """
        self._clock = clock
        self._own = own
        self._cached_shares = {}
        self._views = [_View(Participants(()), clock.now_ms())]

    def update(self, participants):
        """Set the participants.

        Args:
          participants: A Participants.
        """
        if not participants.is_same(self._views[-1].participants):
            self._views.append(_View(participants, self._clock.now_ms()))
            self._cached_shares = {}

    def share_of(self, server, limit):
        """Return this instance's smallest share of a limit in the window.

        Args:
          server: The server's id.
          limit: Requests per second.
        Returns:
          A fraction from 0 to 1.
        """
        self._drop_old()
        known_limit, share = self._cached_shares.get(server, _NOT_CACHED)
        if known_limit != limit:
            share = min(
                view.participants.share_of(self._own, server, limit)
                for view in self._views
            )
            self._cached_shares[server] = (limit, share)
        return share

    def list_holders(self, server, limit):
        """Return the ids of the instances that now have a share of a limit.

        Args:
          server: The server's id.
          limit: Requests per second.
        """
        return self._views[-1].participants.list_holders(server, limit)

    def is_first_holder(self, server):
        """Return whether this instance is the one that probes a server.

        Args:
          server: The server's id.
        """
        return self._views[-1].participants.share_of(self._own, server, 0) > 0

    def _drop_old(self):
        """Drop views that were replaced at least a window ago."""
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while len(self._views) > 1 and self._views[1].since_ms <= oldest_ms:
            self._views.pop(0)
            self._cached_shares = {}
