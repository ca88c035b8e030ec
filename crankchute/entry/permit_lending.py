"""An instance's part in the lending of turns at servers with limits."""

from crankchute.core.forward_fleet import wants_requests
from crankchute.core.permit_lending import (
    PermitBorrower,
    PermitOffer,
    lend_permit,
)
from crankchute.proto import peer_pb2

#: How long an instance may take to answer; a caller waits for it.
_ANSWER_MS = 150
#: How many servers one question names, so that it costs the same in any pool.
_MOST_NAMED = 16


class PermitLending:
    """Borrows turns of other instances, and lends them to others."""

    def __init__(self, node, peers):
        """Create the part.

        Args:
          node: The ForwardNode.
          peers: Its ForwardPeers.
        """
        self._fleet = node.fleet
        self._now_ms = node.now_ms
        self._random = node.random
        self._limits = peers.limits
        self._peers = peers
        self._borrower = PermitBorrower(
            node.timers.clock,
            node.random,
            peers.limits,
            node.identity.instance,
        )

    def borrow(self, servers, on_done):
        """Ask other instances for a turn at one of several servers.

        Args:
          servers: Their ids, a list.
          on_done: A function of the id of the server at which one was lent, or
            None; called later, and only if this returns True.
        Returns:
          Whether anybody is asked, a bool.
        """
        named = self._random.sample(servers, min(len(servers), _MOST_NAMED))
        lenders = [
            one
            for one in self._borrower.list_lenders(named)
            if not self._peers.is_lost(one)
        ]
        if lenders:
            self._ask(lenders, named, on_done)
        return bool(lenders)

    def discard_borrowed(self, server):
        """Forget a turn that was lent and not used.

        Args:
          server: The server's id.
        """
        self._limits.permits.discard_borrowed(server)

    def answer(self, request, on_reply):
        """Answer an instance that asks for a turn.

        Args:
          request: A TurnRequest.
          on_reply: A function of the TurnReply.
        """
        servers = [one for one in request.servers if self._may_lend(one)]
        offer = lend_permit(self._limits.permits, servers)
        on_reply(
            peer_pb2.TurnReply(
                server=offer.server or '',
                wait_ms=offer.wait_ms,
            )
        )

    def _may_lend(self, server):
        """Tell whether a server has a limit, and wants requests at all.

        The asker may not know yet that it leaves.
        """
        backend = self._fleet.get(server)
        if backend is None or self._limits.advertised.limit_of(server) is None:
            return False
        return wants_requests(self._fleet, backend, self._now_ms())

    def _ask(self, lenders, servers, on_done):
        lender, *others = lenders
        request = peer_pb2.TurnRequest(servers=servers)

        def take(reply):
            offer = None
            if reply is not None:
                offer = PermitOffer(reply.server or None, reply.wait_ms)
            server = self._borrower.take(lender, offer)
            if server is None and others:
                self._ask(others, servers, on_done)
            else:
                on_done(server)

        self._peers.call(lender, 'Turn', request, take, _ANSWER_MS)
