"""Loans of permits for rate-limited servers between instances.

A low limit has few holders, but callers may reach any instance.  An instance
without a permit for any server of a pool asks the holders for one before it
refuses a request.  The lender counts a lent permit as used, so loans never raise
the total; a permit that is lost in transit stays unused.
"""

#: The longest time for which an instance that lent no permit is not asked again.
_MAX_REFUSAL_BACKOFF_MS = 250
#: The number of instances asked for one request.
_MAX_LENDERS = 3


class PermitOffer:
    """The answer to a request for a permit.

    Attributes:
      server: The id of the server for which a permit is lent, or None.
      wait_ms: Milliseconds until the lender has a permit, if it lends none.
    """

    __slots__ = ('server', 'wait_ms')

    def __init__(self, server, wait_ms=0):
        """Create the offer.

        Args:
          server: A string or None.
          wait_ms: Milliseconds.
        """
        self.server = server
        self.wait_ms = wait_ms


def lend_permit(permits, servers):
    """Lend a permit for the server for which this instance has the most.

    Args:
      permits: This instance's permits.
      servers: The ids of servers with limits that the borrower may use, a list.
    Returns:
      The offer to the borrower.
    """
    best = max(servers, key=permits.available, default=None)
    if best is None:
        return PermitOffer(None, _MAX_REFUSAL_BACKOFF_MS)
    if not permits.has_permit(best):
        return PermitOffer(None, min(map(permits.wait_ms, servers)))
    permits.record_sent(best)
    return PermitOffer(best)


class PermitBorrower:
    """Chooses lenders and records their answers."""

    def __init__(self, clock, random, limits, own):
        """Create the borrower.

        Args:
          clock: A Clock.
          random: A random.Random.
          limits: The rate limits of servers at this instance.
          own: This instance's id.
        """
        self._clock = clock
        self._random = random
        self._limits = limits
        self._own = own
        self._not_before_ms = {}

    def list_lenders(self, servers):
        """Return the ids of instances to ask for a permit, in order.

        Args:
          servers: The ids of servers that a request may be sent to, a list.
        """
        limits = {
            identity: self._limits.in_force.find(identity)
            for identity in servers
        }
        holders = {
            holder
            for server, limit in limits.items()
            if limit and limit.rate
            for holder in self._limits.shares.list_holders(server, limit.spread)
        }
        now_ms = self._clock.now_ms()
        lenders = [
            identity
            for identity in sorted(holders)
            if identity != self._own
            and self._not_before_ms.get(identity, 0) <= now_ms
        ]
        count = min(len(lenders), _MAX_LENDERS)
        return self._random.sample(lenders, count)

    def take(self, lender, offer):
        """Record the answer of an instance that was asked.

        Args:
          lender: Its id.
          offer: Its offer, or None if it did not answer.
        Returns:
          The id of the server for which it lent a permit, or None.
        """
        if offer is not None and offer.server is not None:
            self._limits.permits.add_borrowed(offer.server)
            return offer.server
        wait_ms = _MAX_REFUSAL_BACKOFF_MS if offer is None else offer.wait_ms
        not_before_ms = self._clock.now_ms() + min(
            wait_ms,
            _MAX_REFUSAL_BACKOFF_MS,
        )
        self._not_before_ms[lender] = not_before_ms
        return None


class NoLending:
    """Null implementation for deployments without lenders."""

    def borrow(self, servers, on_done):
        """Return False, as no instance is asked."""
        return False

    def discard_borrowed(self, server):
        """Do nothing, as no permit was borrowed."""
