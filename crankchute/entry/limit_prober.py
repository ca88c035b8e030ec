"""Probes rate-limited servers to learn whether their limit still applies."""

from crankchute.core.forward_fleet import accepts_requests


class LimitProber:
    """Sends each probe in the way that the pool of the server requires."""

    def __init__(self, node, reports):
        """Create the prober.

        Args:
          node: The ForwardNode.
          reports: A ReportPort.
        """
        self._node = node
        self._reports = reports

    def probe(self, server):
        """Probe a server, unless it is leaving or backing off.

        Args:
          server: The id of the server.
        """
        backend = self._node.fleet.get(server)
        pool = self._find_pool(backend)
        if pool is None:
            return
        node = self._node
        if not accepts_requests(node.fleet, backend, node.now_ms()):
            return
        if pool.engine_figures is None:
            self._reports.check_health(backend, pool.health_path)
        else:
            # Unlike a health check, it does not occupy a slot of the engine.
            self._reports.request_load(backend, _discard_report)

    def _find_pool(self, backend):
        """Return the PoolConfig of a server, or None if unknown."""
        config = self._node.holder.config
        if backend is None or config is None:
            return None
        return config.pools.get(self._node.fleet.pool_of(backend))


def _discard_report(_load):
    """Discard the report: the limit is read from the response headers."""
