"""The backend servers of forwarding, as the store and the peers tell of them.

A server that leaves takes no new requests from the moment anyone here knows
of it, whatever the store says later: an incarnation that left never returns.
Entries that lapse because the store was away are kept for a while, since the
servers behind them mostly live.
"""

from crankchute.core.fleet import LEAVING, Backend

#: How long an entry that vanished around trouble of the store is kept.
_LAPSE_MS = 1800
#: How long an id that left is remembered.
_REMEMBER_MS = 120_000


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
        self._left_ms = {}
        self._listeners = []
        self._lapsing = {}

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

    def left(self):
        """Return the ids that are known to have left lately, a list."""
        return list(self._left_ms)

    def subscribe(self, listener):
        """Be told when a server leaves.

        Args:
          listener: A function of the server's id.
        """
        self._listeners.append(listener)

    def members_of(self, pool):
        """Return the servers of a pool that take new requests.

        Args:
          pool: The pool's name.
        Returns:
          A list of Backend.
        """
        return [
            backend
            for identity, backend in self._backends.items()
            if backend.listed.labels[self._pool_label] == pool
            and identity not in self._left_ms
        ]

    def put(self, listed):
        """Take the entry of a server.

        Args:
          listed: A Listed.
        """
        self._lapsing.pop(listed.identity, None)
        backend = self._backends.get(listed.identity)
        if backend is None or backend.listed.address != listed.address:
            backend = Backend(listed)
            self._backends[listed.identity] = backend
        backend.listed = listed
        if listed.state == LEAVING:
            self.note_left(listed.identity)

    def remove(self, identity, *, may_lapse):
        """Take the end of a server's entry.

        Args:
          identity: The server's id.
          may_lapse: Whether the entry may have ended only because the store
            was away.
        """
        if identity not in self._backends:
            return
        if may_lapse and identity not in self._left_ms:
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

    def note_left(self, identity):
        """Note that a server leaves; it gets no new request any more.

        Args:
          identity: The server's id.
        """
        if identity in self._left_ms:
            return
        self._left_ms[identity] = self._timers.clock.now_ms()
        self._forget_old()
        for listener in self._listeners:
            listener(identity)

    def _end_lapse(self, identity):
        if self._lapsing.pop(identity, None) is not None:
            self._drop(identity)

    def _drop(self, identity):
        self._backends.pop(identity, None)
        self.note_left(identity)

    def _forget_old(self):
        oldest_ms = self._timers.clock.now_ms() - _REMEMBER_MS
        for identity, since_ms in tuple(self._left_ms.items()):
            if since_ms < oldest_ms and identity not in self._backends:
                self._left_ms.pop(identity)
