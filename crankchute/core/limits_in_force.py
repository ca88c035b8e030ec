"""The rate limits of backend servers that apply now, whatever their origin."""

#: The longest time in which a bucket of permits fills; at least one permit.
MAX_BURST_MS = 500


class RateLimit:
    """How requests to a server are limited, over all instances together.

    Attributes:
      rate: Requests a second.
      spread: The number of holders among which the rate is divided increases
        with this number of requests a second.
      burst_ms: The time in which the holders' buckets fill.
      since_ms: When the buckets began to fill, or None if they start full.
    """

    __slots__ = ('burst_ms', 'rate', 'since_ms', 'spread')

    def __init__(self, rate, *, spread, burst_ms, since_ms):
        """Create the limit; see the class."""
        self.rate = rate
        self.spread = spread
        self.burst_ms = burst_ms
        self.since_ms = since_ms

    def lower_to(self, rate):
        """Return this limit with at most the given rate.

        Args:
          rate: Requests a second.
        """
        if rate >= self.rate:
            return self
        return RateLimit(
            rate,
            spread=min(self.spread, rate),
            burst_ms=self.burst_ms,
            since_ms=self.since_ms,
        )


class LimitsInForce:
    """The lower of the limits that servers advertise and those of cold ones."""

    def __init__(self, advertised, cold):
        """Create the source of limits.

        Args:
          advertised: AdvertisedLimits.
          cold: ColdServers.
        """
        self._advertised = advertised
        self._cold = cold

    def limit_of(self, server):
        """Return a server's limit in requests a second, or None.

        Args:
          server: The server's id.
        """
        limit = self.find(server)
        return None if limit is None else limit.rate

    def find(self, server):
        """Return a server's RateLimit, or None.

        Args:
          server: The server's id.
        """
        advertised = self._advertised.limit_of(server)
        cold = self._cold.limit_in_force(server)
        if advertised is None:
            return cold
        if cold is None:
            return RateLimit(
                advertised,
                spread=advertised,
                burst_ms=MAX_BURST_MS,
                since_ms=None,
            )
        return cold.lower_to(advertised)
