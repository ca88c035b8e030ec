"""Lending turns at servers with limits to instances that have none.

A limit of a request a second has few holders, and callers come to any instance.
One that has no turn at any server of a pool asks a holder for one before it
refuses.  Who lends a turn counts it as used, so that the sum stays what it was; a
turn that is lost on its way is one that the server does not get.
"""

#: How long an instance that has no turn to lend is not asked again, at most.
_DENIED_MS = 250
#: How many instances are asked for one request.
_MOST_ASKED = 3


class TurnOffer:
    """What an instance answers that is asked for a turn.

    Attributes:
      server: The id of the server at which it lends a turn, or None.
      wait_ms: After how long it has a turn again, if it lends none.
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


def lend_turn(turns, servers):
    """Lend a turn where this instance has the most of them.

    Args:
      turns: The LimitTurns.
      servers: Ids of servers with limits that the asker may use, a list.
    Returns:
      A TurnOffer.
    """
    best = max(servers, key=turns.count, default=None)
    if best is None:
        return TurnOffer(None, _DENIED_MS)
    if not turns.has_turn(best):
        return TurnOffer(None, min(map(turns.wait_ms, servers)))
    turns.note_sent(best)
    return TurnOffer(best)


class TurnBorrower:
    """Asks other instances for turns."""

    def __init__(self, clock, random, desk, own):
        """Create the borrower.

        Args:
          clock: A Clock.
          random: A random.Random.
          desk: The LimitDesk.
          own: This instance's id.
        """
        self._clock = clock
        self._random = random
        self._desk = desk
        self._own = own
        self._denied_ms = {}

    def list_lenders(self, servers):
        """Return the ids of instances that may lend a turn, the first to ask first.

        Args:
          servers: The ids of servers that a request may be sent to, a list.
        """
        limits = {one: self._desk.words.limit_of(one) for one in servers}
        holders = {
            holder
            for server, limit in limits.items()
            if limit
            for holder in self._desk.shares.list_holders(server, limit)
        }
        now_ms = self._clock.now_ms()
        lenders = [
            one
            for one in sorted(holders)
            if one != self._own and self._denied_ms.get(one, 0) <= now_ms
        ]
        count = min(len(lenders), _MOST_ASKED)
        return self._random.sample(lenders, count)

    def take(self, lender, offer):
        """Take the answer of an instance that was asked.

        Args:
          lender: Its id.
          offer: Its TurnOffer, or None if it did not answer.
        Returns:
          The id of the server at which it lent a turn, or None.
        """
        if offer is not None and offer.server is not None:
            self._desk.turns.borrow(offer.server)
            return offer.server
        wait_ms = _DENIED_MS if offer is None else offer.wait_ms
        denied_ms = self._clock.now_ms() + min(wait_ms, _DENIED_MS)
        self._denied_ms[lender] = denied_ms
        return None


class NoLending:
    """Stands where no other instance could lend anything."""

    def borrow(self, servers, on_done):
        """See TurnLending."""
        return False

    def give_back(self, server):
        """See TurnLending."""
