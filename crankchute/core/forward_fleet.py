"""The backend servers of forwarding, as the store and the peers tell of them.

A server that drains takes no new requests from the moment anyone here knows
of it, whatever the store says later.  One whose entry is gone takes none until
its entry is back: entries lapse while the store is away, and the servers
behind them mostly live.  Around trouble with the store, such entries are kept
for a while.
"""

from crankchute.core.fleet import LEAVING, Backend

#: How long an entry that vanished around trouble of the store is kept.
_LAPSE_MS = 1800
#: How long an id that drained is remembered.
_REMEMBER_MS = 120_000
#: How long the servers of a pool are listed as they are, while no entry
#: changes; what is gone may be back a little later than it could.
_KEEP_POOLS_MS = 500
#: How long others are told that a server drains.
_TELL_DRAINED_MS = 15_000
#: How long a server stays out after another instance told that its entry is
#: gone, if this instance's own list still has it.
_GONE_MS = 8000
#: What others tell is older than an entry that was read this lately here.
_FRESH_MS = 3000


class ForwardFleet:
    """Backend servers by id and by pool."""

    def __init__(self, timers, pool_label):
        """Create an empty fleet.

        Args:
          timers: A TimerService.
          pool_label: The label of a server that names its pool.
        """
        self._timers = timers
        self._pool_label = pool_label
        self._backends = {}
        self._drained_ms = {}
        self._gone_ms = {}
        self._listed_ms = {}
        self._lapsing = {}
        self._pools = {}
        self._listed_pools_ms = float('-inf')

    def __len__(self):
        """Return the number of servers listed."""
        return len(self._backends)

    def __iter__(self):
        """Iterate over the servers, leaving ones included."""
        return iter(self._backends.values())

    def get(self, identity):
        """Return the Backend with an id, or None."""
        return self._backends.get(identity)

    def identities(self):
        """Return the ids of all servers, a set."""
        return set(self._backends)

    def list_drained(self):
        """Return the ids of all servers that are known to drain, a list."""
        return list(self._drained_ms)

    def drained(self):
        """Return the ids that were noted as draining lately, a list.

        The others hear of them within a second or two, and whoever starts
        gets the whole list; a release of all servers would otherwise be
        told with every message for two minutes.
        """
        now_ms = self._now_ms()
        return [
            identity
            for identity, since_ms in self._drained_ms.items()
            if now_ms - since_ms < _TELL_DRAINED_MS
        ]

    def gone(self):
        """Return the ids whose entries went lately, a list."""
        now_ms = self._now_ms()
        return [
            identity
            for identity, since_ms in self._gone_ms.items()
            if now_ms - since_ms < _GONE_MS
        ]

    def members_of(self, pool):
        """Return the servers of a pool that take new requests.

        Args:
          pool: The pool's name.
        Returns:
          A list of Backend; the same one while nothing changes, and not to
          be changed.
        """
        now_ms = self._now_ms()
        if now_ms - self._listed_pools_ms > _KEEP_POOLS_MS:
            self._listed_pools_ms = now_ms
            self._pools = {}
        members = self._pools.get(pool)
        if members is None:
            members = [
                backend
                for identity, backend in self._backends.items()
                if self.pool_of(backend) == pool
                and self._takes_requests(identity)
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
        """Take the entry of a server.

        Args:
          listed: A Listed.
        """
        self._lapsing.pop(listed.identity, None)
        self._gone_ms.pop(listed.identity, None)
        self._listed_ms[listed.identity] = self._now_ms()
        backend = self._backends.get(listed.identity)
        if backend is None or backend.listed.address != listed.address:
            backend = Backend(listed)
            self._backends[listed.identity] = backend
        backend.listed = listed
        self._pools = {}
        if listed.state == LEAVING:
            self.note_drained(listed.identity)

    def remove(self, identity, *, may_lapse):
        """Take the end of a server's entry.

        Args:
          identity: The server's id.
          may_lapse: Whether the entry may have ended only because the store
            was away.
        """
        if identity not in self._backends:
            return
        if may_lapse and identity not in self._drained_ms:
            if identity not in self._lapsing:
                self._lapsing[identity] = self._timers.after(
                    _LAPSE_MS,
                    lambda: self._end_lapse(identity),
                )
            return
        self._drop(identity)

    def replace(self, listed, *, may_lapse):
        """Take all entries at once.

        Args:
          listed: A list of Listed.
          may_lapse: See remove().
        """
        present = {record.identity for record in listed}
        for record in listed:
            self.put(record)
        for identity in tuple(self._backends):
            if identity not in present:
                self.remove(identity, may_lapse=may_lapse)

    def note_drained(self, identity):
        """Note that a server drains; it gets no new request any more.

        Args:
          identity: The server's id.
        """
        self._drained_ms.setdefault(identity, self._now_ms())
        self._pools = {}
        self._forget_old()

    def note_gone(self, identity):
        """Note that another instance saw a server's entry go.

        Args:
          identity: The server's id.
        """
        now_ms = self._now_ms()
        listed_ms = self._listed_ms.get(identity)
        is_fresh = listed_ms is not None and now_ms - listed_ms < _FRESH_MS
        if not is_fresh:
            self._gone_ms.setdefault(identity, now_ms)
            self._pools = {}

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _takes_requests(self, identity):
        if identity in self._drained_ms:
            return False
        gone_ms = self._gone_ms.get(identity)
        return gone_ms is None or self._now_ms() - gone_ms > _GONE_MS

    def _end_lapse(self, identity):
        if self._lapsing.pop(identity, None) is not None:
            self._drop(identity)

    def _drop(self, identity):
        self._backends.pop(identity, None)
        self._listed_ms.pop(identity, None)
        self._gone_ms[identity] = self._now_ms()
        self._pools = {}
        self._forget_old()

    def _forget_old(self):
        oldest_ms = self._now_ms() - _REMEMBER_MS
        for times in (self._drained_ms, self._gone_ms):
            for identity, since_ms in tuple(times.items()):
                if since_ms < oldest_ms and identity not in self._backends:
                    times.pop(identity)
