"""The latest answers of each pool, and which parts their prompts had."""

from collections import deque

_MAX_ANSWERS = 128


class RecentAnswers:
    """A bounded number of the latest answers by pool.

    Attributes:
      latest_ms: A map from pool to when its servers last answered a request, of
        this instance or of others.
    """

    __slots__ = ('_by_pool', 'latest_ms')

    def __init__(self):
        """Create an empty record."""
        self._by_pool = {}
        self.latest_ms = {}

    def record(self, pool, sent_ms, parts):
        """Record the complete answer to a request.

        Args:
          pool: The name of the pool.
          sent_ms: When the request was sent.
          parts: The fingerprints of the parts of its prompt, an iterable.
        """
        answers = self._by_pool.get(pool)
        if answers is None:
            answers = deque(maxlen=_MAX_ANSWERS)
            self._by_pool[pool] = answers
        answers.append((sent_ms, frozenset(parts)))

    def record_time(self, pool, at_ms):
        """Record that a request was answered, perhaps one of another instance.

        Args:
          pool: The name of the pool.
          at_ms: The time.
        """
        self.latest_ms[pool] = max(self.latest_ms.get(pool, at_ms), at_ms)

    def discard_before(self, oldest_ms):
        """Discard the pools that have not answered since a time."""
        for pool, latest_ms in tuple(self.latest_ms.items()):
            if latest_ms < oldest_ms:
                self.latest_ms.pop(pool)
                self._by_pool.pop(pool, None)

    def list_all(self, pool):
        """Return the answers of a pool.

        Args:
          pool: The name of the pool.
        Returns:
          Pairs of when the request was sent and a frozenset of its parts.
        """
        return list(self._by_pool.get(pool, ()))
