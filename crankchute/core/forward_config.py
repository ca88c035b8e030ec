"""The configuration of forwarding that is in force, and how fresh it is.

Versions only rise.  That a version is the newest is proved by an answer of
the platform that was asked for after a given moment; the proof ages from the
moment of asking.  Peers pass a proof on with its age, so an instance that is
cut off from the platform alone keeps serving.
"""

from crankchute.core.proof import Proof
from crankchute.core.route_table import RouteTable


class PoolConfig:
    """A pool of backend servers.

    Attributes:
      name: The pool's name.
      max_connections: What one server accepts from all instances together.
      figures: EngineFigures, or None for a plain service.
      health_path: Where servers tell whether they are well.
    """

    __slots__ = ('figures', 'health_path', 'max_connections', 'name')

    def __init__(self, name, max_connections, figures, health_path='/'):
        """Create the pool.

        Args:
          name: A string.
          max_connections: An int.
          figures: EngineFigures or None.
          health_path: A string.
        """
        self.name = name
        self.max_connections = max_connections
        self.figures = figures
        self.health_path = health_path


class IntakeConfig:
    """What callers may send, and how long connections may rest."""

    __slots__ = ('body_bytes', 'head_bytes', 'head_ms', 'idle_ms')

    def __init__(self, *, head_bytes, body_bytes, head_ms, idle_ms):
        """Create the bounds.

        Args:
          head_bytes: The largest headers, in bytes.
          body_bytes: The largest body, in bytes.
          head_ms: How long headers may take, in milliseconds.
          idle_ms: How long a connection may rest, in milliseconds.
        """
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_ms = head_ms
        self.idle_ms = idle_ms


class KeyOwner:
    """The client account that a key belongs to.

    Attributes:
      account: The account's name.
      priority: Goes before that of a route, or None.
    """

    __slots__ = ('account', 'priority')

    def __init__(self, account, priority):
        """Create the record.

        Args:
          account: A string.
          priority: An int or None.
        """
        self.account = account
        self.priority = priority


class ForwardConfig:
    """One version of the configuration.

    Attributes:
      version: Rises with each change, an int.
      routes: A RouteTable.
      pools: A map from name to PoolConfig.
      keys: A map from key to KeyOwner, or None if no request needs a key.
      intake: An IntakeConfig, or None.
    """

    __slots__ = ('intake', 'keys', 'pools', 'routes', 'version')

    def __init__(self, version, routes, pools, *, keys=None, intake=None):
        """Create the configuration.

        Args:
          version: An int.
          routes: An iterable of Route.
          pools: An iterable of PoolConfig.
          keys: See the class.
          intake: See the class.
        """
        self.version = version
        self.routes = RouteTable(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.keys = keys
        self.intake = intake


class ForwardConfigHolder:
    """The newest configuration known here, and the age of its proof.

    Attributes:
      config: A ForwardConfig, or None before the first.
      source: What the configuration was decoded from, for peers; bytes.
    """

    def __init__(self):
        """Create the holder without a configuration."""
        self._listeners = []
        self.config = None
        self.source = b''
        self._proof = Proof()

    @property
    def version(self):
        """The version in force, 0 before the first."""
        return 0 if self.config is None else self.config.version

    def subscribe(self, listener):
        """Be told of each configuration that comes into force.

        Args:
          listener: A function of a ForwardConfig.
        """
        self._listeners.append(listener)

    def offer(self, config, source):
        """Take a configuration unless it is older than the one in force.

        Args:
          config: A ForwardConfig.
          source: The bytes it was decoded from.
        Returns:
          True if it came into force.
        """
        if config.version <= self.version:
            return False
        self.config = config
        self.source = source
        for listener in self._listeners:
            listener(config)
        return True

    def prove(self, version, asked_ms):
        """Note that a version was the newest at a moment.

        Args:
          version: The version that was proved.
          asked_ms: The moment, on this process's clock.
        """
        if version == self.version:
            self._proof.note(asked_ms)

    def proof_age_ms(self, now_ms):
        """Return the age of the proof in milliseconds, or None.

        Args:
          now_ms: The time on this process's clock.
        """
        return self._proof.age_ms(now_ms)
