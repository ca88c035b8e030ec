"""Structured logging of the paths to backend servers."""

from crankchute.adapters.log import log_change


class PathJournal:
    """Logs when paths to the servers of a pool are lost and restored."""

    def log_paths_lost(self, pool, servers, instances):
        """Log that only other instances reach the servers of a pool.

        Args:
          pool: The pool's name.
          servers: The Backends to which this instance tried to connect.
          instances: The ids of instances that reach one of them.
        """
        log_change(
            'paths_lost',
            failed=True,
            pool=pool,
            servers=[one.identity for one in servers],
            reached_by=instances,
        )

    def log_servers_down(self, pool, servers):
        """Log that no instance that was asked reaches some servers.

        Args:
          pool: The name of their pool.
          servers: The Backends.
        """
        log_change(
            'servers_down',
            failed=True,
            pool=pool,
            servers=[one.identity for one in servers],
        )

    def log_paths_restored(self, pool, lost_for_ms):
        """Log that this instance reaches the servers of a pool again.

        Args:
          pool: The pool's name.
          lost_for_ms: For how long it relayed requests.
        """
        log_change(
            'paths_restored', pool=pool, lost_for_ms=round(lost_for_ms, 1)
        )
