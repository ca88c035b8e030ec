"""What the checks of paths to backend servers depend on."""


class PathPorts:
    """The dependencies of ServerPaths.

    Attributes:
      timers: A TimerService.
      random: A random.Random.
      journal: A ForwardJournal.
      pool_of: A function that returns the name of a Backend's pool.
      list_servers: A function that returns the Backends of a pool that accept
        requests.
      probe: A function of a Backend and a callback, which gets whether a
        connection could be opened, or None if that is unknown.
      ask: A function of a list of Backends, the longest time since a
        connection that proves that one is reached, a callback that gets the
        Backend of each instance that reaches one of them, and a callback that
        is called when all instances that were asked have answered.
      ask_crashed: A function of a Backend that refuses connections and a
        callback, which gets False if another instance reaches it, True if none
        does and one is refused too or there is none, else None.
      on_changed: A function of a pool's name, called when paths to its
        servers are lost or restored.
    """

    __slots__ = (
        'ask',
        'ask_crashed',
        'journal',
        'list_servers',
        'on_changed',
        'pool_of',
        'probe',
        'random',
        'timers',
    )

    def __init__(self, **fields):
        """Set all attributes.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Proxy:
    """An instance that reaches the servers of a pool.

    Attributes:
      backend: The Backend to which requests are relayed.
      confirmed_ms: When it last confirmed that it reaches them.
    """

    __slots__ = ('backend', 'confirmed_ms')

    def __init__(self, backend):
        """Create the record.

        Args:
          backend: See the class.
        """
        self.backend = backend
        self.confirmed_ms = 0


def probe_any(probe, servers, on_result):
    """Try to connect to several servers at once.

    Args:
      probe: See PathPorts.
      servers: A list of Backends, not empty.
      on_result: A function of True at the first connection, or of False when
        all have failed.
    """
    failed = []
    reached = []

    def on_known(is_reached):
        if reached:
            return
        if is_reached:
            reached.append(True)
            on_result(True)
            return
        failed.append(True)
        if len(failed) == len(servers):
            on_result(False)

    for server in servers:
        probe(server, on_known)
