"""The forwarding configuration in force, and its freshness.

Versions only increase.  A platform response proves that a version was the
newest when the request for it was sent, so the age of the proof is measured
from that time.  Peers exchange proofs together with their age, so an instance
that loses only its own connection to the platform can keep serving.
"""

from crankchute.core.freshness_proof import FreshnessProof
from crankchute.core.route_table import RouteTable


class PoolConfig:
    """A pool of backend servers.

    Attributes:
      name: The pool's name.
      max_connections: The connection limit of one server, over all instances.
      engine_figures: The EngineFigures of the pool's engines, or None for
        services.
      health_path: The path of the servers' health check.
      cold_start_ms: How long a server is cold after a start.
      cold_per_second: The requests a second that a cold server is made for.
    """

    __slots__ = (
        'cold_per_second',
        'cold_start_ms',
        'engine_figures',
        'health_path',
        'max_connections',
        'name',
    )

    def __init__(
        self,
        name,
        max_connections,
        engine_figures,
        health_path='/',
        **cold_figures,
    ):
        """Create a pool.

        Args:
          name: A string.
          max_connections: An int.
          engine_figures: EngineFigures or None.
          health_path: A string.
          cold_figures: Values for cold_start_ms and cold_per_second, 0 by
            default.
        """
        self.name = name
        self.max_connections = max_connections
        self.engine_figures = engine_figures
        self.health_path = health_path
        self.cold_start_ms = cold_figures.get('cold_start_ms', 0)
        self.cold_per_second = cold_figures.get('cold_per_second', 0)

    @property
    def can_be_cold(self):
        """Whether the servers of the pool are ever cold, a bool."""
        return self.cold_start_ms > 0 and self.cold_per_second > 0


class RequestLimits:
    """Size and time limits for client connections and their requests."""

    __slots__ = (
        'header_timeout_ms',
        'idle_timeout_ms',
        'max_body_bytes',
        'max_header_bytes',
    )

    def __init__(
        self,
        *,
        max_header_bytes,
        max_body_bytes,
        header_timeout_ms,
        idle_timeout_ms,
    ):
        """Create the limits.

        Args:
          max_header_bytes: The maximum size of the headers, in bytes.
          max_body_bytes: The maximum size of the body, in bytes.
          header_timeout_ms: The timeout for receiving the headers, in
            milliseconds.
          idle_timeout_ms: The timeout for idle connections, in milliseconds.
        """
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class KeyOwner:
    """The client account that owns an API key.

    Attributes:
      account: The account's name.
      priority: An int that overrides the priority of the route, or None.
    """

    __slots__ = ('account', 'priority')

    def __init__(self, account, priority):
        """Create the owner of a key.

        Args:
          account: A string.
          priority: An int or None.
        """
        self.account = account
        self.priority = priority


class ForwardConfig:
    """One version of the forwarding configuration.

    Attributes:
      version: An int that increases with each change.
      routes: A RouteTable.
      pools: A map of names to PoolConfig.
      keys: A map of API keys to KeyOwner, or None if keys are not required.
      request_limits: A RequestLimits, or None if the document sets no limits.
    """

    __slots__ = ('keys', 'pools', 'request_limits', 'routes', 'version')

    def __init__(
        self, version, routes, pools, *, keys=None, request_limits=None
    ):
        """Create a configuration.

        Args:
          version: An int.
          routes: An iterable of Route.
          pools: An iterable of PoolConfig.
          keys: See the class attributes.
          request_limits: See the class attributes.
        """
        self.version = version
        self.routes = RouteTable(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.keys = keys
        self.request_limits = request_limits


class ForwardConfigHolder:
    """The newest known configuration and the age of its freshness proof.

    Attributes:
      config: A ForwardConfig, or None before the first.
      source: The encoded configuration as bytes, which is sent to peers.
    """

    def __init__(self):
        """Create a holder without a configuration."""
        self._listeners = []
        self.config = None
        self.source = b''
        self._proof = FreshnessProof()

    @property
    def version(self):
        """The version in force, an int; 0 before the first one."""
        return 0 if self.config is None else self.config.version

    def subscribe(self, listener):
        """Register a listener for each configuration that takes effect.

        Args:
          listener: A function that is called with the new ForwardConfig.
        """
        self._listeners.append(listener)

    def offer(self, config, source):
        """Put a configuration into force if it is newer than the current one.

        Args:
          config: A ForwardConfig.
          source: The bytes from which it was decoded.
        Returns:
          True if it took effect.
        """
        if config.version <= self.version:
            return False
        self.config = config
        self.source = source
        for listener in self._listeners:
            listener(config)
        return True

    def confirm(self, version, asked_ms):
        """Record that a version was the newest at a given time.

        Ignored unless that version is in force.

        Args:
          version: The version that was confirmed as the newest.
          asked_ms: The time of the request, in milliseconds on the local clock.
        """
        if version == self.version:
            self._proof.record(asked_ms)

    def proof_age_ms(self, now_ms):
        """Return the age of the newest proof in milliseconds, or None.

        Args:
          now_ms: The current time, in milliseconds on the local clock.
        """
        return self._proof.age_ms(now_ms)
