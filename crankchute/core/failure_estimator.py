"""The estimated failure rate of a backend server.

A server is avoided from its first failure on, where a circuit breaker waits for
three in a row, but only in proportion to its recent failure rate: a server that
loses one answer in twenty is better than overloading the others.  Instances send
each other only the counts of their own requests, so that no failure counts
twice.  Counts decay over time.  The estimate is weighed against other criteria;
it never excludes a server.
"""

#: The half-life of the counts, in milliseconds: about twice the duration of a
#: short request.
_HALF_LIFE_MS = 3000
#: How many successes are assumed in addition to the counts, so that a single
#: failure at an otherwise unused server gives a rate of 0.4.
_PRIOR_SUCCESSES = 1.5
#: Counts with fewer failures than this are not sent to other instances.
MIN_SHARED_FAILURES = 0.1


class OutcomeCounts:
    """Decaying counts of the outcomes of requests at a server.

    Attributes:
      failures: The decayed number of failed requests, a float.
      successes: The decayed number of answered requests, a float.
    """

    __slots__ = ('_at_ms', 'failures', 'successes')

    def __init__(self, failures, successes, now_ms):
        """Create the counts; see the class.

        Args:
          failures: A float.
          successes: A float.
          now_ms: The time.
        """
        self.failures = failures
        self.successes = successes
        self._at_ms = now_ms

    def decay(self, now_ms):
        """Decay the counts up to now.

        Args:
          now_ms: The time.
        Returns:
          This object.
        """
        factor = 0.5 ** ((now_ms - self._at_ms) / _HALF_LIFE_MS)
        self.failures *= factor
        self.successes *= factor
        self._at_ms = now_ms
        return self


class FailureEstimator:
    """Outcome counts of one server, from this and from other instances."""

    __slots__ = ('_others', '_own')

    def __init__(self):
        """Create the record of a server without requests."""
        self._own = OutcomeCounts(float(0), float(0), 0)
        self._others = {}

    def record_failure(self, now_ms, weight=1):
        """Record a failed request.

        Args:
          now_ms: The time.
          weight: How certain it is that the server is at fault, up to 1.
        """
        self._own.decay(now_ms).failures += weight

    def retract_failure(self, now_ms):
        """Take back a failure, because the server answered after all.

        Args:
          now_ms: The time.
        """
        own = self._own.decay(now_ms)
        own.failures = max(own.failures - 1, 0)

    def record_success(self, now_ms):
        """Record an answered request.

        Args:
          now_ms: The time.
        """
        self._own.decay(now_ms).successes += 1

    def forget_local(self):
        """Discard the counts of this instance's requests."""
        self._own = OutcomeCounts(float(0), float(0), 0)

    def forget_remote(self, instance):
        """Discard the counts of another instance's requests.

        Args:
          instance: Its id.
        """
        self._others.pop(instance, None)

    def merge_remote(self, instance, signs):
        """Store the counts of another instance's own requests.

        Args:
          instance: Its id; its earlier counts are replaced.
          signs: OutcomeCounts.
        """
        self._others[instance] = signs

    def local_counts(self, now_ms):
        """Return the counts of this instance's requests, OutcomeCounts.

        Args:
          now_ms: The time.
        """
        return self._own.decay(now_ms)

    def failure_probability(self, now_ms):
        """Return the estimated failure rate, from 0 to 1.

        Args:
          now_ms: The time.
        """
        if not self._others and not self._own.failures:
            return 0
        own = self._own.decay(now_ms)
        failures = own.failures
        successes = own.successes
        for instance, signs in tuple(self._others.items()):
            if signs.decay(now_ms).failures < MIN_SHARED_FAILURES:
                self._others.pop(instance)
                continue
            failures += signs.failures
            successes += signs.successes
        return failures / (failures + successes + _PRIOR_SUCCESSES)
