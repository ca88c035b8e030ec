"""What instances tell each other of servers that crashed under requests."""


class Crash:
    """The end of a backend server that had requests in progress.

    Attributes:
      server: The server's id.
      at_ms: When it was noticed first, on this process's clock.
      requests: The fingerprints of the requests that were in progress there
        and were not answered since, a set.
      begun_ms: A map from fingerprints of them to when that attempt was sent,
        on the same clock; of others that is not known.
    """

    __slots__ = ('at_ms', 'begun_ms', 'requests', 'server')

    def __init__(self, server, at_ms, requests, begun_ms=None):
        """Create the record.

        Args:
          server: A string.
          at_ms: See the class.
          requests: An iterable of ints.
          begun_ms: A map, or None where nothing is known; see the class.
        """
        self.server = server
        self.at_ms = at_ms
        self.requests = set(requests)
        self.begun_ms = dict(begun_ms or {})


class HeldRequest:
    """A request that is not sent to servers any more.

    Attributes:
      fingerprint: Its fingerprint, an int.
      held_ms: When that was decided, on this process's clock.
      asked_ms: When it last came, on the same clock.
    """

    __slots__ = ('asked_ms', 'fingerprint', 'held_ms')

    def __init__(self, fingerprint, held_ms, asked_ms):
        """Create the record.

        Args:
          fingerprint: An int.
          held_ms: See the class.
          asked_ms: See the class.
        """
        self.fingerprint = fingerprint
        self.held_ms = held_ms
        self.asked_ms = asked_ms


class ClearedRequest:
    """A request that was answered after a server had crashed under it.

    Attributes:
      fingerprint: Its fingerprint, an int.
      at_ms: When it was answered, on this process's clock.
    """

    __slots__ = ('at_ms', 'fingerprint')

    def __init__(self, fingerprint, at_ms):
        """Create the record.

        Args:
          fingerprint: An int.
          at_ms: See the class.
        """
        self.fingerprint = fingerprint
        self.at_ms = at_ms


class CrashNews:
    """All that an instance remembers of crashes.

    Attributes:
      crashes: A list of Crash.
      held: A list of HeldRequest.
      cleared: A list of ClearedRequest.
    """

    __slots__ = ('cleared', 'crashes', 'held')

    def __init__(self, crashes, held, cleared):
        """Gather the records.

        Args:
          crashes: See the class.
          held: See the class.
          cleared: See the class.
        """
        self.crashes = crashes
        self.held = held
        self.cleared = cleared
