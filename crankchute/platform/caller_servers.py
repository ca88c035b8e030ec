"""The servers of an instance for callers and for relayed requests."""

from http import HTTPStatus

from crankchute.core.shutdown_admission import STOPPING
from crankchute.entry.shutdown import ShutdownHost
from crankchute.errors import RequestRefused


class CallerServers(ShutdownHost):
    """Shuts several ForwardServers down together.

    Attributes:
      servers: The ForwardServers, a list.
    """

    def __init__(self, servers, early_requests):
        """Create the group.

        Args:
          servers: ForwardServers.
          early_requests: The EarlyRequests.
        """
        self.servers = list(servers)
        self._early_requests = early_requests

    def on_started(self):
        """Announce that connections close, and let no request wait."""
        for server in self.servers:
            server.is_closing = True
        self._early_requests.record_informed()

    def has_unsent(self):
        """See ShutdownHost."""
        return any(server.has_unsent for server in self.servers)

    def refuse_unread(self):
        """See ShutdownHost."""
        refusal = RequestRefused(
            HTTPStatus.SERVICE_UNAVAILABLE,
            STOPPING,
            'this instance is shutting down',
        )
        for server in self.servers:
            server.refuse_unread(refusal)
