"""Records of server crashes that instances exchange."""


class Crash:
    """The crash of a backend server that had requests in progress.

    Attributes:
      server: The server's id.
      at_ms: When it was first noticed, on this process's clock.
      requests: The fingerprints of the requests that were in progress there
        and were not answered since, a set.
      begun_ms: A map from fingerprint to when the attempt was sent, on the same
        clock; requests whose send time is unknown are missing.
    """

    __slots__ = ('at_ms', 'begun_ms', 'requests', 'server')

    def __init__(self, server, at_ms, requests, begun_ms=None):
        """Create the record.

        Args:
          server: A string.
          at_ms: See the class.
          requests: An iterable of ints.
          begun_ms: A map, or None if no send time is known.
        """
        self.server = server
        self.at_ms = at_ms
        self.requests = set(requests)
        self.begun_ms = dict(begun_ms or {})


class QuarantinedRequest:
    """A quarantined request: it is no longer sent to servers.

    Attributes:
      fingerprint: Its fingerprint, an int.
      held_ms: When it was quarantined, on this process's clock.
      asked_ms: When it was last submitted, on the same clock.
    """

    __slots__ = ('asked_ms', 'fingerprint', 'held_ms')

    def __init__(self, fingerprint, held_ms, asked_ms):
        """Create the record; see the class."""
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
        """Create the record; see the class."""
        self.fingerprint = fingerprint
        self.at_ms = at_ms


class CrashReport:
    """The contents of a crash history, as sent to other instances.

    Attributes:
      crashes: A list of Crash.
      quarantined: A list of QuarantinedRequest.
      cleared: A list of ClearedRequest.
    """

    __slots__ = ('cleared', 'crashes', 'quarantined')

    def __init__(self, crashes, quarantined, cleared):
        """Create the record; see the class."""
        self.crashes = crashes
        self.quarantined = quarantined
        self.cleared = cleared
