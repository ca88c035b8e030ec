"""Whether this instance reaches the backend servers, for each pool."""

from functools import partial

from crankchute.core.pool_paths import PathState, PoolPaths

#: How often other instances are asked about a crash while none of them knows:
#: longer than a busy process takes to answer.
_MAX_QUESTIONS = 3
_ASK_AGAIN_MS = 250


class AlwaysReached:
    """Replaces ServerPaths where paths are not checked."""

    def suspect(self, backend):
        """Do nothing; see ServerPaths."""

    def after_check(self, _job, callback):
        """Call back at once; see ServerPaths."""
        callback()

    def is_lost(self, _pool):
        """Return False; see ServerPaths."""
        return False

    def confirm_crash(self, _backend, on_known):
        """Report a crash; see ServerPaths."""
        on_known(True)


class ServerPaths:
    """Tells lost paths from lost servers; see pool_paths."""

    def __init__(self, ports):
        """Create the record; all servers count as reached.

        Args:
          ports: PathPorts.
        """
        self._ports = ports
        self._by_pool = {}

    @property
    def lost_pools(self):
        """The names of the pools that only other instances reach, a tuple."""
        return tuple(
            paths.pool
            for paths in self._by_pool.values()
            if paths.state == PathState.LOST
        )

    def is_lost(self, pool):
        """Return whether only other instances reach the servers of a pool.

        Args:
          pool: The pool's name.
        """
        return self._state(pool) == PathState.LOST

    def is_reached(self, pool):
        """Return whether failures at a pool are those of its servers.

        Args:
          pool: The pool's name.
        """
        return self._state(pool) == PathState.REACHED

    def suspect(self, backend):
        """Check the paths to a server's pool, because a request failed there.

        Args:
          backend: A Backend.
        """
        self._find(self._ports.pool_of(backend)).suspect()

    def verify(self, pools):
        """Check the paths to some pools without a suspicion.

        Args:
          pools: Names of pools.
        """
        for pool in pools:
            self._find(pool).check()

    def after_check(self, job, callback):
        """Call back after the check of a pool, at once if there is none.

        Args:
          job: A ForwardJob for the pool.
          callback: A function without arguments.
        """
        self._find(job.pool).after_check(callback)

    def choose_proxy(self, pool, avoided):
        """Return the Backend of an instance that reaches a pool, or None.

        Args:
          pool: The pool's name.
          avoided: Ids of instances and servers to exclude.
        """
        return self._find(pool).choose_proxy(avoided)

    def drop_proxy(self, instance, pools=None):
        """Relay no more requests to an instance until it confirms its paths.

        Args:
          instance: The instance's id.
          pools: Names of the pools that it does not reach; None for all.
        """
        for paths in self._by_pool.values():
            if pools is None or paths.pool in pools:
                paths.drop_proxy(instance)

    def confirm_crash(self, backend, on_known, questions_left=_MAX_QUESTIONS):
        """Ask other instances about a server that refuses connections.

        Args:
          backend: The Backend.
          on_known: A function of True if the server crashed, or of False if
            perhaps only the path to it is lost.
          questions_left: How often they may be asked.
        """
        pool = self._ports.pool_of(backend)
        if self.is_lost(pool):
            on_known(False)
        elif self.is_reached(pool):
            self._ask_about(backend, on_known, questions_left)
        else:
            self._find(pool).after_check(
                partial(self.confirm_crash, backend, on_known, questions_left)
            )

    def describe_state(self):
        """Return the state of the paths by pool, a dict for display."""
        return {
            paths.pool: {
                'state': paths.state.value,
                'proxies': sorted(paths.proxies),
            }
            for paths in self._by_pool.values()
        }

    def _find(self, pool):
        paths = self._by_pool.get(pool)
        if paths is None:
            paths = PoolPaths(pool, self._ports)
            self._by_pool[pool] = paths
        return paths

    def _state(self, pool):
        paths = self._by_pool.get(pool)
        return PathState.REACHED if paths is None else paths.state

    def _ask_about(self, backend, on_known, questions_left):
        def on_answer(has_crashed):
            if has_crashed is None and questions_left > 1:
                self._ports.timers.after(
                    _ASK_AGAIN_MS,
                    partial(
                        self.confirm_crash,
                        backend,
                        on_known,
                        questions_left - 1,
                    ),
                )
            else:
                on_known(bool(has_crashed))

        self._ports.ask_crashed(backend, on_answer)
