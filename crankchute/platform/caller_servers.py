"""The servers of an instance for callers and for relayed requests."""

from crankchute.platform.instance_limits import make_intake_limits


class CallerServers:
    """Configures several ForwardServers together.

    Attributes:
      servers: The ForwardServers, a list.
    """

    def __init__(self, servers):
        """Create the group.

        Args:
          servers: ForwardServers.
        """
        self.servers = list(servers)

    def apply_limits(self, request_limits):
        """Apply the limits of a configuration.

        Args:
          request_limits: RequestLimits, or None to change nothing.
        """
        if request_limits is None:
            return
        for server in self.servers:
            server.idle_ms = request_limits.idle_timeout_ms
            server.limits = make_intake_limits(request_limits)

    def announce_close(self):
        """Have all further responses say that their connections close."""
        for server in self.servers:
            server.is_closing = True

    def has_unsent(self):
        """Return whether bytes are buffered for any caller."""
        return any(server.has_unsent for server in self.servers)
