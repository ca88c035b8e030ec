"""Asks servers for an answer, to hear whether they still name a limit."""

from crankchute.core.forward_fleet import wants_requests


class LimitedServers:
    """The servers of one instance, asked in the way of their pools."""

    def __init__(self, node, reports):
        """Create the part.

        Args:
          node: The ForwardNode.
          reports: A ReportPort.
        """
        self._node = node
        self._reports = reports

    def send_probe(self, server):
        """Ask a server, unless it wants nothing at all.

        Args:
          server: Its id.
        """
        backend = self._node.fleet.get(server)
        pool = self._find_pool(backend)
        if pool is None:
            return
        node = self._node
        if not wants_requests(node.fleet, backend, node.now_ms()):
            return
        if pool.engine_figures is None:
            self._reports.check_health(backend, pool.health_path)
        else:
            # It takes no place there, as the question for its health does.
            self._reports.request_load(backend, _ignore)

    def _find_pool(self, backend):
        """Return the PoolConfig of a server, or None."""
        config = self._node.holder.config
        if backend is None or config is None:
            return None
        return config.pools.get(self._node.fleet.pool_of(backend))


def _ignore(_load):
    """Take a report of which only the head counts, which others read."""
