"""The backend servers of forwarding, as the store and the peers tell of them.

A server that drains takes no new requests from the moment anyone here knows
of it, whatever the store says later.  One whose entry is gone takes none until
its entry is back: entries lapse while the store is away, and the servers
behind them mostly live.  Around trouble with the store, such entries are kept
for a while.

A server that wants rest is told so to the instance that it turned away, and is
left alone by that one alone.

A server may start again under its id.  Then it holds and knows nothing of
before, so everything here goes by its start (Listed.identity), and the later
of two starts is the one that counts, in whatever order they are heard of.
"""

from crankchute.core.fleet import LEAVING, Backend
from crankchute.core.server_rests import ServerRests

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
#: How old a copy of the list may be from which the store comes back.
_OLDEST_COPY_MS = 30_000
#: What others tell is older than an entry that was read this lately here.
_FRESH_MS = 3000


class ForwardFleet:
    """Backend servers by id and by pool.

    Attributes:
      rests: The ServerRests.
    """

    def __init__(self, timers, pool_label):
        """Create an empty fleet.

        Args:
          timers: A TimerService.
          pool_label: The label of a server that names its pool.
        """
        self._timers = timers
        self.rests = ServerRests(timers.clock)
        self._pool_label = pool_label
        self._on_restarted = []
        self._newest = {}
        self._backends = {}
        self._drained_ms = {}
        self._gone_ms = {}
        self._left_ms = {}
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
        """Return the Backend of one start of a server, or None."""
        return self._backends.get(identity)

    def subscribe_restarted(self, callback):
        """Be told of servers that started again.

        Args:
          callback: A function of the Backend of the start that is over.
        """
        self._on_restarted.append(callback)

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
        """Take the entry of a server; one of an earlier start changes nothing.

        Args:
          listed: A Listed.
        """
        newest = self._newest.get(listed.listed_id, listed)
        if newest.born is not None and listed.born is None:
            # Servers that tell their start always do: this is not theirs.
            self.remove(listed.listed_id, may_lapse=False)
        elif not listed.is_older(newest):
            self._put_newest(listed)
            if newest.identity != listed.identity:
                self._end_start(newest.identity)

    def find_reporting(self, backend, born):
        """Return the Backend that a server's own word is about, or None.

        A server may say of itself that it started again before its entry does.

        Args:
          backend: The Backend that was asked.
          born: When it says that it started, or None if it does not tell.
        """
        asked = backend.listed
        if born is None or asked.born in {None, born}:
            return backend
        said = asked.restarted(born)
        if said.is_older(asked) or asked.state == LEAVING:
            return None
        self.put(said)
        return self._backends.get(said.identity)

    def remove(self, listed_id, *, may_lapse):
        """Take the end of a server's entry.

        Args:
          listed_id: The id under which the server was listed.
          may_lapse: Whether the entry may have ended only because the store
            was away.
        Returns:
          The identity of the server that was listed, or None.
        """
        newest = self._newest.get(listed_id)
        if newest is None or newest.identity not in self._backends:
            return None
        identity = newest.identity
        if may_lapse and identity not in self._drained_ms:
            if identity not in self._lapsing:
                self._lapsing[identity] = self._timers.after(
                    _LAPSE_MS,
                    lambda: self._drop(identity),
                )
        else:
            self._left_ms[identity] = self._now_ms()
            self._drop(identity)
        return identity

    def replace(self, listed, *, may_lapse, may_be_old=False):
        """Take all entries at once.

        An older copy of the list holds entries that ended since.  While the
        platform was sound they ended since their servers left, and those may
        serve on; they get nothing, unless they write again.

        Args:
          listed: A list of Listed.
          may_lapse: See remove().
          may_be_old: Whether the list may be from before what is known.
        """
        if may_be_old:
            oldest_ms = self._now_ms() - _OLDEST_COPY_MS
            listed = [
                record
                for record in listed
                if self._left_ms.get(record.identity, oldest_ms) <= oldest_ms
            ]
        present = {record.listed_id for record in listed}
        for record in listed:
            self.put(record)
        for backend in tuple(self._backends.values()):
            if backend.listed.listed_id not in present:
                self.remove(backend.listed.listed_id, may_lapse=may_lapse)

    def note_drained(self, identity):
        """Note that a server drains; it gets no new request any more.

        Args:
          identity: The server's id.
        """
        self._drained_ms.setdefault(identity, self._now_ms())
        self._pools = {}
        self._forget_old()

    def note_gone(self, identity, *, is_seen=False):
        """Note that a server is gone, however its own entry is.

        Another server that answers at its address is as sure a sign as can
        be.  That one answers at once and seems idle, so that it would draw all
        requests, and reject them, until its entry is gone.

        Args:
          identity: The server's id.
          is_seen: Whether another server answered at its address; else an
            instance told that the entry went, which may be older than it.
        """
        now_ms = self._now_ms()
        listed_ms = self._listed_ms.get(identity)
        is_fresh = listed_ms is not None and now_ms - listed_ms < _FRESH_MS
        if is_seen:
            self._gone_ms[identity] = now_ms
        elif not is_fresh:
            # Those that tell it again do not know it any better.
            self._gone_ms.setdefault(identity, now_ms)
        self._pools = {}

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _takes_requests(self, identity):
        if identity in self._drained_ms:
            return False
        gone_ms = self._gone_ms.get(identity)
        return gone_ms is None or self._now_ms() - gone_ms > _GONE_MS

    def _put_newest(self, listed):
        self._cancel_lapse(listed.identity)
        self._gone_ms.pop(listed.identity, None)
        self._left_ms.pop(listed.identity, None)
        self._listed_ms[listed.identity] = self._now_ms()
        backend = self._backends.get(listed.identity)
        if backend is None or backend.listed.address != listed.address:
            backend = Backend(listed)
            backend.leave_alone(self.rests.until_ms(listed.identity))
            self._backends[listed.identity] = backend
        backend.listed = listed
        self._newest[listed.listed_id] = listed
        self._pools = {}
        if listed.state == LEAVING:
            self.note_drained(listed.identity)

    def _end_start(self, identity):
        """Forget a server's earlier start, and tell that it is over."""
        backend = self._backends.get(identity)
        if backend is not None:
            self._drop(identity)
            for callback in self._on_restarted:
                callback(backend)

    def _cancel_lapse(self, identity):
        timer = self._lapsing.pop(identity, None)
        if timer is not None:
            timer.cancel()

    def _drop(self, identity):
        self._cancel_lapse(identity)
        backend = self._backends.pop(identity, None)
        if backend is not None:
            # Its rest goes on, also one that another server told of.
            self.rests.keep(identity, backend.refused_until_ms)
        self._listed_ms.pop(identity, None)
        self._gone_ms[identity] = self._now_ms()
        self._pools = {}
        self._forget_old()

    def _forget_old(self):
        oldest_ms = self._now_ms() - _REMEMBER_MS
        for times in (self._drained_ms, self._gone_ms, self._left_ms):
            for identity, since_ms in tuple(times.items()):
                if since_ms < oldest_ms and identity not in self._backends:
                    times.pop(identity)
        self._newest = {
            listed_id: listed
            for listed_id, listed in self._newest.items()
            if listed.identity in self._backends
            or listed.identity in self._gone_ms
        }


def wants_requests(fleet, backend, now_ms):
    """Tell whether a server neither leaves nor rests, as far as is known.

    Args:
      fleet: The ForwardFleet.
      backend: A Backend.
      now_ms: The time.
    """
    is_awake = now_ms >= backend.refused_until_ms
    return is_awake and backend in fleet.members_of(fleet.pool_of(backend))
