"""When an instance may send the next request to a server that names a limit.

Its part of the limit fills a bucket that holds hardly more than one request, so
that no window begins with a burst, after a pause as little as at first.  All that
is sent to the server is counted, whatever it is: requests, orders, questions.
What may not wait, such as the release of memory, is sent all the same, and later
requests wait the longer.
"""

from collections import Counter
from math import inf

from crankchute.core.limit_shares import WINDOW_MS

_MS_PER_SECOND = 1000
#: What a bucket holds: the requests of so many milliseconds, one at least.
_DEPTH_MS = 500
#: After so long without an answer of a server with a limit it is asked whether
#: the limit goes on, since it may be too low for anybody to be sent there.
ASK_MS = 2500
#: Servers that take less than this of an instance, in requests a second, help at
#: no prompt of others: orders alone would use it up.
_LEAST_TO_HELP = 2
#: Sums of parts may miss a whole request by so much.
_EPSILON = 1e-9


class _Bucket:
    """What one instance may send to one server.

    Attributes:
      requests: How many at once, a float; below zero after it sent more.
      at_ms: When that was.
    """

    __slots__ = ('at_ms', 'requests')

    def __init__(self, now_ms):
        self.requests = inf
        self.at_ms = now_ms

    def fill(self, rate, now_ms):
        """Let it fill until now.

        Args:
          rate: Requests a millisecond.
          now_ms: The time.
        """
        self.requests += (now_ms - self.at_ms) * rate
        self.at_ms = now_ms
        most = max(1, rate * _DEPTH_MS) if rate else 0
        self.requests = min(self.requests, most)

    def take(self, rate):
        """Take a request out, also where there is none.

        Args:
          rate: Requests a millisecond.
        """
        # What was sent a window ago does not count any more.
        self.requests = max(self.requests - 1, -rate * WINDOW_MS)


class LimitTurns:
    """The turns of one instance at all servers with a limit."""

    def __init__(self, clock, limits, shares):
        """Create without a bucket.

        Args:
          clock: A Clock.
          limits: ServerLimits.
          shares: LimitShares.
        """
        self._clock = clock
        self._limits = limits
        self._shares = shares
        self._buckets = {}
        self._lent = Counter()

    def has_turn(self, server):
        """Tell whether a request may be sent to a server now.

        Args:
          server: Its id.
        """
        if self._limits.limit_of(server) is None or self._lent[server]:
            return True
        return self._fill(server).requests >= 1 - _EPSILON

    def count(self, server):
        """Return how many requests may be sent now to a server with a limit.

        Args:
          server: Its id.
        """
        return self._fill(server).requests

    def borrow(self, server):
        """Take a turn that another instance lent, which counts it itself.

        Args:
          server: The server's id.
        """
        self._lent[server] += 1

    def give_back(self, server):
        """Forget a turn that was lent and not used.

        Args:
          server: The server's id.
        """
        if self._lent[server]:
            self._lent[server] -= 1

    def may_help(self, server):
        """Tell whether a server may get the orders that joint reads need.

        Args:
          server: Its id.
        """
        limit = self._limits.limit_of(server)
        if limit is None:
            return True
        return self._rate(server) * _MS_PER_SECOND >= _LEAST_TO_HELP

    def note_sent(self, server):
        """Count what is sent to a server.

        Args:
          server: Its id.
        """
        if self._limits.limit_of(server) is None:
            self._buckets.pop(server, None)
            self._lent.pop(server, None)
        elif self._lent[server]:
            self._lent[server] -= 1
        else:
            self._fill(server).take(self._rate(server))

    def wait_ms(self, server):
        """Return after how long a server takes another request, 0 for now.

        Where it takes none of this instance, that is when it takes one of any
        other, or is asked whether its limit goes on.

        Args:
          server: Its id.
        """
        if self.has_turn(server):
            return 0
        rate = self._rate(server)
        if rate:
            return (1 - self._buckets[server].requests) / rate
        limit = self._limits.limit_of(server)
        return _MS_PER_SECOND / limit if limit else ASK_MS

    def _fill(self, server):
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _Bucket(now_ms)
            self._buckets[server] = bucket
        bucket.fill(self._rate(server), now_ms)
        return bucket

    def _rate(self, server):
        """Return what this instance may send there, requests a millisecond."""
        limit = self._limits.limit_of(server)
        return limit * self._shares.part_of(server, limit) / _MS_PER_SECOND
