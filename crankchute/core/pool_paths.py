"""The paths from this instance to the backend servers of one pool.

A failed connection does not show whether the server or the path to it is lost.
After a failure this instance tries to connect to other servers of the pool.  If
none is reached, it asks other instances whether they reach these servers:

* One that does shows that the paths from here are lost.  Requests for the pool
  are then relayed to such instances until a connection succeeds again.
* If none does, the servers are down, and no request is relayed.

What failures over lost paths suggested about the servers is discarded.
"""

import enum
from operator import call

from crankchute.core.call_for_each import call_for_each
from crankchute.core.path_ports import Proxy, probe_any

#: How many servers are tried in each check.
_SAMPLE_SIZE = 2
#: The shortest interval between checks of a pool.  It doubles up to the longest
#: one while checks find that servers are reached, since single servers fail
#: more often than paths.
_MIN_CHECK_INTERVAL_MS = 250
_MAX_CHECK_INTERVAL_MS = 2000
#: The interval is reset after this long without a suspicion.
_CALM_MS = 5000
#: How often an instance with lost paths tries to connect.
_RETRY_INTERVAL_MS = 500
#: How often it asks other instances whether they still reach the servers.
_ASK_INTERVAL_MS = 1000
#: While paths are lost, how long a connection proves that a server is reached.
_PROOF_TTL_MS = 1000
#: A proxy that has not confirmed this for so long gets no more requests.
_PROXY_TTL_MS = 2500


class PathState(enum.Enum):
    """What an instance knows of its paths to the servers of a pool."""

    #: Servers are reached, or are down for all instances.
    REACHED = 'reached'
    #: A check is in progress.
    CHECKING = 'checking'
    #: Only other instances reach the servers.
    LOST = 'lost'


class PoolPaths:
    """Tells lost paths from lost servers, for one pool.

    Attributes:
      pool: The pool's name.
      state: A PathState.
    """

    __slots__ = (
        '_asked_ms',
        '_checked_ms',
        '_deferred',
        '_proxies',
        '_interval_ms',
        '_is_down',
        '_lost_ms',
        '_ports',
        '_retry_timer',
        '_suspected_ms',
        '_waiting',
        'pool',
        'state',
    )

    def __init__(self, pool, ports):
        """Create the record; the servers count as reached.

        Args:
          pool: The pool's name.
          ports: PathPorts.
        """
        self.pool = pool
        self.state = PathState.REACHED
        self._ports = ports
        self._proxies = {}
        self._waiting = []
        self._checked_ms = float('-inf')
        self._interval_ms = _MIN_CHECK_INTERVAL_MS
        self._suspected_ms = float('-inf')
        self._asked_ms = float('-inf')
        self._lost_ms = None
        self._is_down = False
        self._deferred = None
        self._retry_timer = None

    @property
    def proxies(self):
        """The ids of the instances that reach the servers, a list."""
        return list(self._proxies)

    def suspect(self):
        """Check the paths after a failure, later if that was done recently."""
        now_ms = self._now_ms()
        if now_ms - self._suspected_ms > _CALM_MS:
            self._interval_ms = _MIN_CHECK_INTERVAL_MS
        self._suspected_ms = now_ms
        if self._deferred is not None:
            return
        delay_ms = self._checked_ms + self._interval_ms - now_ms
        if delay_ms > 0:
            self._defer_check(delay_ms)
        else:
            self.check()

    def check(self):
        """Check the paths, unless they are lost or a check is in progress."""
        servers = self._sample()
        if servers and self.state == PathState.REACHED:
            self.state = PathState.CHECKING
            self._probe(servers)

    def after_check(self, callback):
        """Call back after the check in progress, at once if there is none.

        Args:
          callback: A function without arguments.
        """
        if self.state == PathState.CHECKING:
            self._waiting.append(callback)
        else:
            callback()

    def choose_proxy(self, avoided):
        """Return the Backend of an instance that reaches the servers, or None.

        The one with the fewest relayed requests of this instance is chosen.

        Args:
          avoided: Ids of instances and servers to exclude.
        """
        backends = [
            proxy.backend
            for identity, proxy in self._proxies.items()
            if identity not in avoided
        ]
        self._ports.random.shuffle(backends)
        return min(backends, key=lambda one: one.in_flight, default=None)

    def drop_proxy(self, instance):
        """Relay no more requests to an instance until it confirms its paths.

        Args:
          instance: The instance's id.
        """
        self._proxies.pop(instance, None)

    def _defer_check(self, delay_ms):
        self._deferred = self._ports.timers.after(
            delay_ms, self._check_deferred
        )

    def _check_deferred(self):
        self._deferred = None
        self.check()

    def _now_ms(self):
        return self._ports.timers.clock.now_ms()

    def _sample(self):
        servers = self._ports.list_servers(self.pool)
        count = min(len(servers), _SAMPLE_SIZE)
        return self._ports.random.sample(servers, count)

    def _probe(self, servers):
        """Try to connect to some servers, which decides on the state."""

        def on_result(is_reached):
            if is_reached:
                self._on_reached()
            elif self._is_asking_due():
                self._ask(servers)

        probe_any(self._ports.probe, servers, on_result)

    def _is_asking_due(self):
        if self.state == PathState.CHECKING:
            return True
        return self._now_ms() - self._asked_ms >= _ASK_INTERVAL_MS

    def _on_reached(self):
        self._is_down = False
        if self.state == PathState.LOST:
            self._restore()
        else:
            self._interval_ms = min(
                self._interval_ms * 2, _MAX_CHECK_INTERVAL_MS
            )
            self._decide(PathState.REACHED)

    def _ask(self, servers):
        """Ask other instances whether they reach some servers.

        Answers that arrive after the end of this check decide no other one.
        """
        self._asked_ms = self._now_ms()
        decided_ms = self._checked_ms

        def is_current():
            return self.state == PathState.LOST or (
                self.state == PathState.CHECKING
                and self._checked_ms == decided_ms
            )

        def on_proxy(backend):
            if not is_current():
                return
            self._record_proxy(backend)
            if self.state == PathState.CHECKING:
                self._lose(servers)

        def on_done():
            if self.state == PathState.CHECKING and is_current():
                self._record_down(servers)

        # Until the loss is known, servers may just have crashed.
        max_age_ms = _PROOF_TTL_MS if self.state == PathState.LOST else 0
        self._ports.ask(servers, max_age_ms, on_proxy, on_done)

    def _record_down(self, servers):
        """Record that nobody reaches the servers, and check again later.

        The instances that were asked may have answered too late.
        """
        if not self._is_down:
            self._is_down = True
            self._ports.journal.log_servers_down(self.pool, servers)
        if self._deferred is None:
            self._defer_check(_ASK_INTERVAL_MS)
        self._decide(PathState.REACHED)

    def _record_proxy(self, backend):
        proxy = self._proxies.get(backend.identity)
        address = backend.listed.address
        if proxy is None or proxy.backend.listed.address != address:
            proxy = Proxy(backend)
            self._proxies[backend.identity] = proxy
        proxy.confirmed_ms = self._now_ms()

    def _lose(self, servers):
        self._lost_ms = self._now_ms()
        self._is_down = False
        self._ports.journal.log_paths_lost(self.pool, servers, self.proxies)
        self._forget_failures()
        self._schedule_retry()
        self._decide(PathState.LOST)
        self._ports.on_changed(self.pool)

    def _schedule_retry(self):
        self._retry_timer = self._ports.timers.after(
            _RETRY_INTERVAL_MS, self._retry
        )

    def _restore(self):
        # Otherwise each loss that follows soon would add a series of retries.
        self._retry_timer.cancel()
        lost_for_ms = self._now_ms() - self._lost_ms
        self._ports.journal.log_paths_restored(self.pool, lost_for_ms)
        self._forget_failures()
        self._proxies.clear()
        self._decide(PathState.REACHED)
        self._ports.on_changed(self.pool)

    def _decide(self, state):
        self.state = state
        self._checked_ms = self._now_ms()
        waiting = self._waiting
        self._waiting = []
        call_for_each(call, waiting, pool=self.pool)

    def _retry(self):
        for identity, proxy in tuple(self._proxies.items()):
            if self._now_ms() - proxy.confirmed_ms > _PROXY_TTL_MS:
                self._proxies.pop(identity)
        servers = self._sample()
        self._schedule_retry()
        if servers:
            self._probe(servers)
        else:
            self._restore()

    def _forget_failures(self):
        for backend in self._ports.list_servers(self.pool):
            backend.forget_failures(self._now_ms())
