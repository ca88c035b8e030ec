"""The rate of requests to cold servers that keeps within the platform's bound."""

from crankchute.core.limits_in_force import MAX_BURST_MS, RateLimit

_MS_PER_SECOND = 1000

# The requests that reach a cold server within any second are at most
#
#     burst * 2 + rate * 1.25 * 1.2
#
# where burst is the number of tokens that the holders can save up together.
# 1.25: instances that are cut off use a quarter of their shares, which may be
# all shares of a server, while the others divide the whole rate; they also have
# buckets of their own, hence twice the burst.  1.2: a permit is used up to
# 200 ms after its token was taken, 150 ms for a loan and the rest for delivery.
_RATE_FACTOR = 1.5
_BURST_FACTOR = 2
#: From this number of requests a second on, the bound also holds while holders
#: are cut off.  Below it, the rate would become 0, so that case is not covered:
#: one request more may reach the server then.
_MIN_COVERED = 4
#: The factor on the rate of a single holder below that number: half of what
#: is left after a burst of one request, delayed by up to 200 ms.
_SMALL_RATE_FACTOR = 2.4


class ColdBounds:
    """The bound on requests to cold servers that the platform requires.

    Attributes:
      overage: The tolerated factor on the rate of a cold server, a float.
      slack: The requests tolerated beyond that in each second, a float.
    """

    __slots__ = ('overage', 'slack')

    def __init__(self, overage, slack):
        """Create the bound; see the class."""
        self.overage = overage
        self.slack = slack

    def make_limit(self, per_second, since_ms):
        """Return the RateLimit that keeps within the bound.

        Args:
          per_second: The rate that a cold server is made for.
          since_ms: Since when the server is known to be cold.
        """
        allowed = per_second * self.overage + self.slack
        burst = (allowed - per_second * _RATE_FACTOR) / _BURST_FACTOR
        rate = per_second
        if burst < 1:
            # A bucket holds at least one token, so the rate has to be lower.
            burst = 1
            if allowed >= _MIN_COVERED:
                rate = (allowed - _BURST_FACTOR) / _RATE_FACTOR
            else:
                rate = max(allowed - 1, 0) / _SMALL_RATE_FACTOR
            rate = min(rate, per_second)
        burst_ms = burst / rate * _MS_PER_SECOND if rate else 0
        return RateLimit(
            rate,
            # Each holder saves up at least one token.
            spread=min(rate, burst - 1),
            burst_ms=min(burst_ms, MAX_BURST_MS),
            since_ms=since_ms,
        )
