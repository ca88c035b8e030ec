"""Loans of account limits between entry instances.

An instance whose share of an account's limits is short borrows from the other
instances that serve the account.
"""

from crankchute.core.instance_assignment import list_limit_sharers
from crankchute.proto import peer_pb2

_CHECK_INTERVAL_MS = 500
_REQUEST_TIMEOUT_MS = 300
_REQUESTED_FRACTION = 0.5


class LimitLending:
    """Requests loans for accounts that are short, and grants loans to peers."""

    def __init__(self, context, peering, limits, config):
        """Start the periodic check for accounts that are short.

        Args:
          context: An object with a `timers` attribute.
          peering: The Peering.
          limits: The AccountLimits.
          config: The ConfigHolder.
        """
        self._timers = context.timers
        self._peering = peering
        self._limits = limits
        self._config = config
        self._timers.every(_CHECK_INTERVAL_MS, self._check_shortages)

    def on_borrow(self, request, on_reply):
        """Grant a peer as much of the local share as is unused."""
        granted = 0
        config = self._config.config
        account = config and config.accounts.get(request.account)
        if account is not None:
            now_ms = self._timers.clock.now_ms()
            usage = self._limits.usage_of(account)
            used_fraction = usage.used_fraction(now_ms)
            granted = usage.portion.lend(request.wanted, used_fraction, now_ms)
        on_reply(peer_pb2.BorrowReply(granted=granted))

    def _check_shortages(self):
        self._limits.evict_idle()
        for usage in self._limits.list_refused():
            self._request_from_sharers(usage)

    def _request_from_sharers(self, usage):
        account = usage.account
        membership = self._peering.membership
        sharing_members = list_limit_sharers(
            membership.live_members(),
            account.name,
            account.width,
        )
        for member in sharing_members:
            if member.identity != membership.own.identity:
                self._request_loan(usage, member)

    def _request_loan(self, usage, member):
        requested_ms = self._timers.clock.now_ms()
        request = peer_pb2.BorrowRequest(
            account=usage.account.name,
            wanted=_REQUESTED_FRACTION / usage.account.width,
        )

        def on_response(response):
            if response is not None:
                usage.portion.borrow(response.granted, requested_ms)

        address = member.peer_address
        self._peering.call(
            address, 'Borrow', request, on_response, _REQUEST_TIMEOUT_MS
        )
