"""How likely a request fails at a backend server, by own signs and others'.

A server that fails is avoided from its first failures on, while a breaker
waits for three in a row, and no more than its failures are a part of what it
was asked lately: a server that loses one answer in twenty is better than a
crowd at the others.  Instances tell each other their own signs only, so that a
sign never comes back as news.  All signs fade, and a chance is weighed against
other reasons for a choice; it never forbids a server.
"""

#: After this long half of what was seen has faded, in milliseconds: about as
#: long as two short requests take.
_HALF_MS = 3000
#: What nobody has seen counts as so many answers: one failure at a server that
#: nobody asked else is a chance of 0.4.
_UNSEEN = 1.5
#: Fewer failures than this are not worth telling.
LEAST_FAILURES = 0.1


class Signs:
    """Fading counts of what requests met at a server.

    Attributes:
      failures: How many failed, a float.
      successes: How many were answered, a float.
    """

    __slots__ = ('_since_ms', 'failures', 'successes')

    def __init__(self, failures, successes, now_ms):
        """Create the counts.

        Args:
          failures: A float.
          successes: A float.
          now_ms: The time.
        """
        self.failures = failures
        self.successes = successes
        self._since_ms = now_ms

    def fade(self, now_ms):
        """Let the counts fade until now.

        Args:
          now_ms: The time.
        Returns:
          This object.
        """
        left = 0.5 ** ((now_ms - self._since_ms) / _HALF_MS)
        self.failures *= left
        self.successes *= left
        self._since_ms = now_ms
        return self


class Suspicion:
    """What is thought of one server."""

    __slots__ = ('_heard', '_own')

    def __init__(self):
        """Create the record of a server that was never asked."""
        self._own = Signs(float(0), float(0), 0)
        self._heard = {}

    def note_failure(self, now_ms, weight=1):
        """Note that a request failed there.

        Args:
          now_ms: The time.
          weight: How sure it is that the server is at fault, up to 1.
        """
        self._own.fade(now_ms).failures += weight

    def retract_failure(self, now_ms):
        """Take a failure back, since the server answered after all.

        Args:
          now_ms: The time.
        """
        own = self._own.fade(now_ms)
        own.failures = max(own.failures - 1, 0)

    def note_success(self, now_ms):
        """Note that a request was answered.

        Args:
          now_ms: The time.
        """
        self._own.fade(now_ms).successes += 1

    def hear(self, instance, signs):
        """Take what another instance saw itself.

        Args:
          instance: Its id; a later word replaces an earlier one.
          signs: Signs.
        """
        self._heard[instance] = signs

    def own_signs(self, now_ms):
        """Return what this instance saw itself, Signs.

        Args:
          now_ms: The time.
        """
        return self._own.fade(now_ms)

    def chance(self, now_ms):
        """Return how likely a request fails there, from 0 to 1.

        Args:
          now_ms: The time.
        """
        if not self._heard and not self._own.failures:
            return 0
        own = self._own.fade(now_ms)
        failures = own.failures
        successes = own.successes
        for instance, signs in tuple(self._heard.items()):
            if signs.fade(now_ms).failures < LEAST_FAILURES:
                self._heard.pop(instance)
                continue
            failures += signs.failures
            successes += signs.successes
        return failures / (failures + successes + _UNSEEN)
