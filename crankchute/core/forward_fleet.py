"""The backend servers of forwarding, from the store and the other instances.

A server that drains gets no new requests from then on, whatever the store says
later.  A server whose entry was removed gets none until the entry is back.
Entries expire while the store is unavailable, mostly with their servers still
running, so entries lost at such a time are kept for a grace period.

A server of an evacuated data centre gets no new requests until the operator
withdraws the evacuation.

A server that asks for no requests for a while (see server_pauses) is avoided
only by the instance that it asked.

A server may restart under the same id, and has then lost its state.  So state is
kept for each start (ListedServer.identity), and the latest start counts, in
whatever order the starts are reported.
"""

from crankchute.core.evacuations import Evacuations
from crankchute.core.fleet import LEAVING, Backend
from crankchute.core.server_pauses import ServerPauses

#: How long an entry is kept that may have expired only because the store was
#: unavailable.
_LAPSE_GRACE_MS = 1800
#: How long the times of servers that are no longer listed are kept.
_RETENTION_MS = 120_000
#: How long the members of a pool are cached while no entry changes; a server
#: becomes available again up to this much late.
_POOL_CACHE_MS = 500
#: How long other instances are told that a server drains.
_DRAINED_SHARE_MS = 15_000
#: How long a server that is still listed here is avoided after another instance
#: reported its entry as removed.
_REMOVED_MS = 8000
#: The greatest age of the copy from which the store may be restored.
_MAX_COPY_AGE_MS = 30_000
#: A removal reported by another instance is older than an entry that was read
#: here within this time.
_FRESH_MS = 3000


class NullListingObserver:
    """Ignores which servers are listed."""

    def record_listed(self, listed, pool):
        """Do nothing; see ColdServers."""

    def record_unlisted(self, identity):
        """Do nothing; see ColdServers."""


class ForwardFleet:
    """Backend servers by identity and by pool.

    Attributes:
      listing_observer: Told of each entry and of each server that is dropped,
        a ColdServers.
      pauses: The ServerPauses.
      evacuations: The Evacuations.
    """

    def __init__(self, timers, pool_label, evacuations=None):
        """Create an empty fleet.

        Args:
          timers: A TimerService.
          pool_label: The label that holds the name of a server's pool.
          evacuations: An Evacuations, or None if there are none.
        """
        self._timers = timers
        self.evacuations = evacuations or Evacuations(is_enabled=False)
        self.pauses = ServerPauses(timers.clock)
        self.listing_observer = NullListingObserver()
        self._pool_label = pool_label
        self._on_restarted = []
        self._latest_starts = {}
        self._backends = {}
        self._drained_at_ms = {}
        self._removed_at_ms = {}
        self._left_at_ms = {}
        self._listed_at_ms = {}
        self._lapse_timers = {}
        self._pools = {}
        self._pools_at_ms = float('-inf')
        self._pools_revision = self.evacuations.revision

    def __len__(self):
        """Return the number of servers."""
        return len(self._backends)

    def __iter__(self):
        """Iterate over the servers, including leaving ones."""
        return iter(self._backends.values())

    def get(self, identity):
        """Return the Backend of one start of a server, or None."""
        return self._backends.get(identity)

    def subscribe_restarted(self, callback):
        """Call a function when a server has restarted.

        Args:
          callback: A function of the Backend of the earlier start.
        """
        self._on_restarted.append(callback)

    def list_drained(self):
        """Return the identities of all servers known to drain, a list."""
        return list(self._drained_at_ms)

    def list_recently_drained(self):
        """Return the identities of servers that began to drain recently.

        Other instances receive them within seconds, and new instances get the
        whole list.  Without the limit, messages would grow with each release
        that replaces all servers.
        """
        now_ms = self._now_ms()
        return [
            identity
            for identity, at_ms in self._drained_at_ms.items()
            if now_ms - at_ms < _DRAINED_SHARE_MS
        ]

    def list_recently_removed(self):
        """Return the identities of servers removed recently, a list."""
        now_ms = self._now_ms()
        return [
            identity
            for identity, at_ms in self._removed_at_ms.items()
            if now_ms - at_ms < _REMOVED_MS
        ]

    def members_of(self, pool):
        """Return the servers of a pool that accept new requests.

        Args:
          pool: The pool's name.
        Returns:
          A list of Backend; it is cached and must not be modified.
        """
        now_ms = self._now_ms()
        if (
            now_ms - self._pools_at_ms > _POOL_CACHE_MS
            or self._pools_revision != self.evacuations.revision
        ):
            self._pools_at_ms = now_ms
            self._pools_revision = self.evacuations.revision
            self._pools = {}
        members = self._pools.get(pool)
        if members is None:
            members = [
                backend
                for identity, backend in self._backends.items()
                if self.pool_of(backend) == pool
                and self._accepts_requests(identity)
                and not self.evacuations.excludes(backend.listed.data_centre)
            ]
            self._pools[pool] = members
        return members

    def pool_of(self, backend):
        """Return the name of the pool that a server belongs to.

        Args:
          backend: A Backend.
        """
        return backend.listed.labels[self._pool_label]

    def put(self, listed):
        """Add or update a server; an entry of an earlier start is ignored.

        Args:
          listed: A ListedServer.
        """
        latest = self._latest_starts.get(listed.listed_id, listed)
        if latest.born is not None and listed.born is None:
            # A server that publishes its start time always does, so this entry
            # is of another server.
            self.remove(listed.listed_id, may_have_expired=False)
        elif not listed.is_older(latest):
            self._put_latest(listed)
            if latest.identity != listed.identity:
                self._discard_earlier(latest.identity)

    def resolve_reporter(self, backend, born):
        """Return the Backend that a server's report is about, or None.

        A server's report may show a restart before the server's entry does.

        Args:
          backend: The Backend that sent the report.
          born: The start time in the report, or None.
        """
        known = backend.listed
        if born is None or known.born in {None, born}:
            return backend
        reported = known.copy_restarted(born)
        if reported.is_older(known) or known.state == LEAVING:
            return None
        self.put(reported)
        return self._backends.get(reported.identity)

    def remove(self, listed_id, *, may_have_expired):
        """Remove a server whose entry was deleted or expired.

        Args:
          listed_id: The id under which the server was listed.
          may_have_expired: Whether the entry may have expired only because the
            store was unavailable.
        Returns:
          The identity of the server that was listed, or None.
        """
        latest = self._latest_starts.get(listed_id)
        if latest is None or latest.identity not in self._backends:
            return None
        identity = latest.identity
        if may_have_expired and identity not in self._drained_at_ms:
            if identity not in self._lapse_timers:
                self._lapse_timers[identity] = self._timers.after(
                    _LAPSE_GRACE_MS,
                    lambda: self._drop(identity),
                )
        else:
            self._left_at_ms[identity] = self._now_ms()
            self._drop(identity)
        return identity

    def replace(self, listed, *, may_have_expired, may_be_old=False):
        """Replace all entries.

        A store restored from an older copy lists servers that have left since.
        They may still be running, but get no requests until they write their
        entries again.

        Args:
          listed: A list of ListedServer.
          may_have_expired: See remove().
          may_be_old: Whether the list may be older than the current one.
        """
        if may_be_old:
            oldest_ms = self._now_ms() - _MAX_COPY_AGE_MS
            listed = [
                record
                for record in listed
                if self._left_at_ms.get(record.identity, oldest_ms) <= oldest_ms
            ]
        present = {record.listed_id for record in listed}
        for record in listed:
            self.put(record)
        for backend in tuple(self._backends.values()):
            if backend.listed.listed_id not in present:
                self.remove(
                    backend.listed.listed_id, may_have_expired=may_have_expired
                )

    def record_drained(self, identity):
        """Record that a server drains; it gets no new requests from now on.

        Args:
          identity: The server's identity.
        """
        self._drained_at_ms.setdefault(identity, self._now_ms())
        self._pools = {}
        self._discard_expired()

    def record_removed(self, identity, *, is_seen=False):
        """Record that a server is gone although it may still be listed.

        The surest sign is that another server answers at its address.  That
        one looks idle and rejects requests at once, so it would attract all
        requests until the entry of the old one expires.

        Args:
          identity: The server's identity.
          is_seen: Whether another server answered at its address; otherwise
            another instance reported the removal, perhaps of an older entry.
        """
        now_ms = self._now_ms()
        listed_at_ms = self._listed_at_ms.get(identity)
        is_fresh = (
            listed_at_ms is not None and now_ms - listed_at_ms < _FRESH_MS
        )
        if is_seen:
            self._removed_at_ms[identity] = now_ms
        elif not is_fresh:
            # Repeated reports do not extend the time.
            self._removed_at_ms.setdefault(identity, now_ms)
        self._pools = {}

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _accepts_requests(self, identity):
        if identity in self._drained_at_ms:
            return False
        removed_at_ms = self._removed_at_ms.get(identity)
        return (
            removed_at_ms is None
            or self._now_ms() - removed_at_ms > _REMOVED_MS
        )

    def _put_latest(self, listed):
        self._cancel_lapse(listed.identity)
        backend = self._backends.get(listed.identity)
        if backend is None or _is_written_again(listed, backend.listed):
            self._removed_at_ms.pop(listed.identity, None)
            self._left_at_ms.pop(listed.identity, None)
            self._listed_at_ms[listed.identity] = self._now_ms()
        if backend is None or backend.listed.address != listed.address:
            backend = Backend(listed)
            backend.pause_until(self.pauses.until_ms(listed.identity))
            self._backends[listed.identity] = backend
        backend.listed = listed
        self._latest_starts[listed.listed_id] = listed
        self.listing_observer.record_listed(listed, self.pool_of(backend))
        self._pools = {}
        if listed.state == LEAVING:
            self.record_drained(listed.identity)

    def _discard_earlier(self, identity):
        """Drop an earlier start of a server and notify the subscribers."""
        backend = self._backends.get(identity)
        if backend is not None:
            self._drop(identity)
            for callback in self._on_restarted:
                callback(backend)

    def _cancel_lapse(self, identity):
        timer = self._lapse_timers.pop(identity, None)
        if timer is not None:
            timer.cancel()

    def _drop(self, identity):
        self._cancel_lapse(identity)
        backend = self._backends.pop(identity, None)
        if backend is not None:
            # The pause that it asked for, perhaps through another server,
            # outlasts the entry.
            self.pauses.pause_until(identity, backend.paused_until_ms)
        self.listing_observer.record_unlisted(identity)
        self._listed_at_ms.pop(identity, None)
        self._removed_at_ms[identity] = self._now_ms()
        self._pools = {}
        self._discard_expired()

    def _discard_expired(self):
        oldest_ms = self._now_ms() - _RETENTION_MS
        for times in (
            self._drained_at_ms,
            self._removed_at_ms,
            self._left_at_ms,
        ):
            for identity, at_ms in tuple(times.items()):
                if at_ms < oldest_ms and identity not in self._backends:
                    times.pop(identity)
        self._latest_starts = {
            listed_id: listed
            for listed_id, listed in self._latest_starts.items()
            if listed.identity in self._backends
            or listed.identity in self._removed_at_ms
        }


def _is_written_again(listed, known):
    """Return whether an entry may be newer than the known one.

    A list of another instance may be older than a reported removal.
    """
    return listed.revision is None or listed.revision != known.revision


def accepts_requests(fleet, backend, now_ms):
    """Return whether a server accepts new requests, as far as is known.

    Args:
      fleet: The ForwardFleet.
      backend: A Backend.
      now_ms: The time.
    """
    is_available = now_ms >= backend.paused_until_ms
    return is_available and backend in fleet.members_of(fleet.pool_of(backend))


def is_evacuated(fleet, pool):
    """Return whether a pool has servers only in evacuated data centres.

    Servers elsewhere that accept no requests are not considered.

    Args:
      fleet: The ForwardFleet.
      pool: The pool's name.
    """
    evacuated = fleet.evacuations.evacuated
    # Checked first, as it is cheap and called for each refused request.
    if not evacuated or fleet.members_of(pool):
        return False
    return any(
        backend.listed.data_centre in evacuated
        for backend in fleet
        if fleet.pool_of(backend) == pool
    )
