"""An instance without paths and the ones that serve its requests, for tests."""

from time import sleep

from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.server_paths import AlwaysReached
from crankchute.platform.standin_paced import StepClock
from crankchute.platform.standin_stop import STEP_MS, StoppingInstance

#: Lets the system deliver what the last iteration has written.
_PAUSE_S = 0.0005


class LostPaths(AlwaysReached):
    """The paths of an instance that reaches no server itself.

    Attributes:
      lost_pools: The names of the pools that only other instances reach.
      dropped: The ids of the instances that were to get no more requests, a
        list.
    """

    lost_pools = ()

    def __init__(self, proxies):
        """Create the record.

        Args:
          proxies: Backends of the instances that reach the servers, a list;
            the first that is not excluded is chosen.
        """
        self._proxies = proxies
        self.dropped = []

    def is_lost(self, _pool):
        """See ServerPaths."""
        return True

    def choose_proxy(self, _pool, avoided):
        """See ServerPaths."""
        usable = (one for one in self._proxies if one.identity not in avoided)
        return next(usable, None)

    def verify(self, _pools):
        """See ServerPaths."""

    def drop_proxy(self, instance, _pools=None):
        """Keep the instance, as if its state were not yet known."""
        self.dropped.append(instance)


class RelayingInstances:
    """Instances on one clock, each with a server of its own.

    Attributes:
      entry: The StoppingInstance that relays the requests of its callers.
      proxies: The StoppingInstances that serve them, a list.
    """

    def __init__(self, proxies):
        """Start the instances.

        Args:
          proxies: The number of instances that reach a server.
        """
        self._clock = StepClock()
        self.entry = StoppingInstance(self._clock)
        self.proxies = [StoppingInstance(self._clock) for _ in range(proxies)]
        self.entry.node.desk.paths = LostPaths(
            [
                _list_proxy(f'edge-{number}', proxy.relay_address)
                for number, proxy in enumerate(self.proxies, 2)
            ]
        )

    def run_for(self, delay_ms):
        """Run all loops for some simulated milliseconds."""
        until_ms = self._clock.time_ms + delay_ms
        while self._clock.advance(STEP_MS) < until_ms:
            for instance in (self.entry, *self.proxies):
                instance.run_once()
            sleep(_PAUSE_S)

    def count_runs(self, caller):
        """Return how many servers began to process a caller's request."""
        return sum(
            caller.request_id in proxy.server.runs for proxy in self.proxies
        )


def _list_proxy(identity, address):
    return Backend(
        ListedServer(
            {
                'id': identity,
                'kind': 'entry',
                'address': '{0}:{1}'.format(*address),
                'data_centre': 'one',
            }
        )
    )
