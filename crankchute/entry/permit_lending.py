"""Lending of permits at rate-limited servers between instances.

A permit allows one request under the limit of a server.
"""

from crankchute.core.forward_fleet import accepts_requests
from crankchute.core.permit_lending import (
    PermitBorrower,
    PermitOffer,
    lend_permit,
)
from crankchute.proto import peer_pb2

#: The timeout of a request to one lender; a caller waits meanwhile.
_REQUEST_TIMEOUT_MS = 150
#: The most servers named in a request, to bound its cost in large pools.
_MAX_SERVERS_PER_REQUEST = 16


class PermitLending:
    """Borrows permits from other instances, and lends permits to them."""

    def __init__(self, node, peers):
        """Create the lending of one instance.

        Args:
          node: The ForwardNode.
          peers: The ForwardPeers of the node.
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
        """Request a permit at one of several servers from other instances.

        Args:
          servers: The ids of the servers, a list.
          on_done: A function of the id of the server with the borrowed permit,
            or of None; called later, and only if this returns True.
        Returns:
          Whether any instance is asked, a bool.
        """
        sampled = self._random.sample(
            servers, min(len(servers), _MAX_SERVERS_PER_REQUEST)
        )
        lenders = [
            instance
            for instance in self._borrower.list_lenders(sampled)
            if not self._peers.is_lost(instance)
        ]
        if lenders:
            self._request_turn(lenders, sampled, on_done)
        return bool(lenders)

    def discard_borrowed(self, server):
        """Return a borrowed permit that was not used.

        Args:
          server: The server's id.
        """
        self._limits.permits.discard_borrowed(server)

    def on_request(self, request, on_reply):
        """Handle the request of another instance for a permit.

        Args:
          request: A TurnRequest.
          on_reply: A function of the TurnReply.
        """
        servers = [
            server for server in request.servers if self._may_lend(server)
        ]
        offer = lend_permit(self._limits.permits, servers)
        on_reply(
            peer_pb2.TurnReply(
                server=offer.server or '',
                wait_ms=offer.wait_ms,
            )
        )

    def _may_lend(self, server):
        """Return whether a server has a limit and accepts requests.

        The borrower may not know yet that the server is leaving.
        """
        backend = self._fleet.get(server)
        if backend is None or self._limits.in_force.limit_of(server) is None:
            return False
        return accepts_requests(self._fleet, backend, self._now_ms())

    def _request_turn(self, lenders, servers, on_done):
        lender, *remaining_lenders = lenders
        request = peer_pb2.TurnRequest(servers=servers)

        def on_response(reply):
            offer = None
            if reply is not None:
                offer = PermitOffer(reply.server or None, reply.wait_ms)
            server = self._borrower.take(lender, offer)
            if server is None and remaining_lenders:
                self._request_turn(remaining_lenders, servers, on_done)
            else:
                on_done(server)

        self._peers.call(
            lender, 'Turn', request, on_response, _REQUEST_TIMEOUT_MS
        )
