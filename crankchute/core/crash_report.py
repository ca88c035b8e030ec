"""Records of server crashes that instances exchange.

What may have caused a crash is a suspect: a request that was in progress, or a
part of its prompt that other requests may share.  Suspects are identified by
fingerprints.
"""

from crankchute.core.quarantines import is_later


class Crash:
    """The crash of a backend server that had requests in progress.

    Attributes:
      server: The server's id.
      at_ms: When it was first noticed, on this process's clock.
      requests: The fingerprints of the requests that were in progress there
        and were not answered since, a set.
      parts: The fingerprints of the parts of their prompts, without those that
        a request had which was answered since, a set.
      begun_ms: A map from fingerprint to when the first attempt with it was
        sent, on the same clock; suspects whose send time is unknown are
        missing.
      pool: The name of the server's pool, or an empty string if unknown.
      size: About how many requests were in progress there, answered since or
        not.
    """

    __slots__ = (
        'at_ms',
        'begun_ms',
        'parts',
        'pool',
        'requests',
        'server',
        'size',
    )

    def __init__(
        self, server, at_ms, requests, begun_ms=None, *, parts=(), pool=''
    ):
        """Create the record.

        Args:
          server: A string.
          at_ms: See the class.
          requests: An iterable of ints.
          begun_ms: A map, or None if no send time is known.
          parts: An iterable of ints.
          pool: A string.
        """
        self.size = 0
        self.server = server
        self.at_ms = at_ms
        self.requests = set(requests)
        self.parts = set(parts)
        self.begun_ms = dict(begun_ms or {})
        self.pool = pool

    @property
    def suspects(self):
        """The fingerprints of all requests and parts, a set."""
        return self.requests | self.parts

    def was_not_caused_by(self, fingerprint, sound_ms):
        """Return whether a suspect is cleared of this crash.

        A request that the crash interrupted is answered some time later, but a
        part of its prompt may be in a request that was sent just before.

        Args:
          fingerprint: The fingerprint of the suspect.
          sound_ms: When it was sound; see ClearedSuspect.
        """
        if fingerprint in self.requests:
            return not is_later(self.at_ms, sound_ms)
        return self.at_ms <= sound_ms

    def discard(self, fingerprint):
        """Remove a suspect.

        Args:
          fingerprint: Its fingerprint.
        """
        self.requests.discard(fingerprint)
        self.parts.discard(fingerprint)


class Quarantine:
    """Suspects that crash servers: requests with all of them are not sent.

    Several suspects are quarantined together if all of them were present at
    the crashes, so that it is unknown which one is the cause.

    Attributes:
      suspects: Their fingerprints, a frozenset.
      held_ms: When the first of the crashes was noticed or they were last
        tried, on this process's clock.
      asked_ms: When a request with them was last submitted, on the same clock.
      trial: The id of the request that is sent as a trial, or None; known to
        the instance that sends it.
      trials: How many trials were made, at all instances.
    """

    __slots__ = ('asked_ms', 'held_ms', 'suspects', 'trial', 'trials')

    def __init__(self, suspects, held_ms, asked_ms, trials=0):
        """Create the record; see the class for the arguments."""
        self.trials = trials
        self.suspects = frozenset(suspects)
        self.held_ms = held_ms
        self.asked_ms = asked_ms
        self.trial = None


class ClearedSuspect:
    """A request, or a part of prompts, that was sound after a crash.

    Attributes:
      fingerprint: Its fingerprint, an int.
      at_ms: When it was sound, on this process's clock: when a request was
        answered, or when the answered request with a part was sent.
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
      quarantined: A list of Quarantine.
      cleared: A list of ClearedSuspect.
      answered_ms: A map from the pools of the crashes to when their servers
        last answered any request, on this process's clock.
    """

    __slots__ = ('answered_ms', 'cleared', 'crashes', 'quarantined')

    def __init__(self, crashes, quarantined, cleared, answered_ms=None):
        """Create the record; see the class."""
        self.answered_ms = answered_ms or {}
        self.crashes = crashes
        self.quarantined = quarantined
        self.cleared = cleared
