"""Asks servers for an answer, to hear whether they still name a limit."""


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

    def ask(self, server):
        """Ask a server, if it is listed.

        Args:
          server: Its id.
        """
        backend = self._node.fleet.get(server)
        if backend is None or self._node.holder.config is None:
            return
        name = self._node.fleet.pool_of(backend)
        pool = self._node.holder.config.pools.get(name)
        if pool is None:
            return
        if pool.figures is None:
            self._reports.check(backend, pool.health_path)
        else:
            # It takes no place there, as the question for its health does.
            self._reports.ask(backend, _ignore)


def _ignore(_load):
    """Take a report of which only the head counts, which others read."""
