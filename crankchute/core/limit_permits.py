"""Permits to send requests to backend servers that advertise a rate limit.

A token bucket per server enforces this instance's share of the limit.  Its
capacity is small, so that there is no burst after an idle period or at the
start.  The bucket of a cold server starts empty, since requests may have been
sent there until this instance learned that it is cold.  Everything sent to the server takes a token: requests, memory
reservations and probes.  Messages that may not wait, such as the release of
memory, are sent even without a token and delay later requests.
"""

from collections import Counter
from math import inf

from crankchute.core.limit_shares import WINDOW_MS

_MS_PER_SECOND = 1000
#: A limited server that did not answer for this long is probed, since its limit
#: may be too low for it to get any requests.
PROBE_INTERVAL_MS = 2500
#: A server needs this rate at an instance, in requests per second, to take part
#: in joint reads; memory reservations would use up a lower one.
_MIN_HELPER_RATE = 2
#: Tolerance for rounding errors in token counts.
_EPSILON = 1e-9


class _TokenBucket:
    """The tokens of one instance for one server.

    Attributes:
      tokens: Requests that may be sent now, a float; negative after more were
        sent than the limit allows.
      updated_ms: When the tokens were last computed.
    """

    __slots__ = ('tokens', 'updated_ms')

    def __init__(self, now_ms, since_ms):
        self.tokens = inf if since_ms is None else 0
        self.updated_ms = now_ms if since_ms is None else since_ms

    def refill(self, rate, now_ms, burst_ms):
        """Add the tokens earned since the last refill.

        Args:
          rate: Requests per millisecond.
          now_ms: The time in milliseconds.
          burst_ms: The time in which the bucket fills; it holds at least one
            token.
        """
        self.tokens += (now_ms - self.updated_ms) * rate
        self.updated_ms = now_ms
        capacity = max(1, rate * burst_ms) if rate else 0
        self.tokens = min(self.tokens, capacity)

    def take(self, rate):
        """Take a token, even if the bucket is empty.

        Args:
          rate: Requests per millisecond.
        """
        # Requests older than the server's window no longer count.
        self.tokens = max(self.tokens - 1, -rate * WINDOW_MS)


class LimitPermits:
    """One instance's permits for all servers with a limit."""

    def __init__(self, clock, limits, shares):
        """Create without buckets.

        Args:
          clock: A Clock.
          limits: The LimitsInForce.
          shares: This instance's shares of the limits.
        """
        self._clock = clock
        self._limits = limits
        self._shares = shares
        self._buckets = {}
        self._borrowed = Counter()

    def has_permit(self, server):
        """Return whether a request may be sent to a server now.

        Args:
          server: The server's id.
        """
        if self._limits.limit_of(server) is None or self._borrowed[server]:
            return True
        return self._refill(server).tokens >= 1 - _EPSILON

    def available(self, server):
        """Return the number of tokens for a server with a limit.

        Args:
          server: The server's id.
        """
        return self._refill(server).tokens

    def add_borrowed(self, server):
        """Add a permit lent by another instance, which has counted it.

        Args:
          server: The server's id.
        """
        self._borrowed[server] += 1

    def discard_borrowed(self, server):
        """Discard an unused borrowed permit.

        Args:
          server: The server's id.
        """
        if self._borrowed[server]:
            self._borrowed[server] -= 1

    def may_take_reservations(self, server):
        """Return whether a server may get reservations for joint reads.

        Args:
          server: The server's id.
        """
        limit = self._limits.find(server)
        if limit is None:
            return True
        if self._rate(server) * _MS_PER_SECOND < _MIN_HELPER_RATE:
            return False
        # Reservations are sent without a permit, and a cold server fails if too
        # many requests reach it at once.
        return limit.since_ms is None or self.has_permit(server)

    def record_sent(self, server):
        """Count a request or message sent to a server.

        Args:
          server: The server's id.
        """
        if self._limits.limit_of(server) is None:
            self._buckets.pop(server, None)
            self._borrowed.pop(server, None)
        elif self._borrowed[server]:
            self._borrowed[server] -= 1
        else:
            self._refill(server).take(self._rate(server))

    def wait_ms(self, server):
        """Return the time until a request may be sent, 0 for now.

        Without a share of the limit, it is the time until the server accepts a
        request of another instance, or is probed.

        Args:
          server: The server's id.
        """
        if self.has_permit(server):
            return 0
        rate = self._rate(server)
        if rate:
            return (1 - self._buckets[server].tokens) / rate
        limit = self._limits.limit_of(server)
        return _MS_PER_SECOND / limit if limit else PROBE_INTERVAL_MS

    def _refill(self, server):
        now_ms = self._clock.now_ms()
        limit = self._limits.find(server)
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _TokenBucket(now_ms, limit.since_ms)
            self._buckets[server] = bucket
        bucket.refill(self._share_of(server, limit), now_ms, limit.burst_ms)
        return bucket

    def _rate(self, server):
        """Return this instance's rate for a server, per millisecond."""
        return self._share_of(server, self._limits.find(server))

    def _share_of(self, server, limit):
        share = self._shares.share_of(server, limit.spread)
        return limit.rate * share / _MS_PER_SECOND
