"""Lending and borrowing portions of account limits between instances."""

from crankchute.core.instance_assignment import list_limit_sharers
from crankchute.proto import peer_pb2

_CHECK_MS = 500
_ASK_MS = 300
_WANTED_SHARE = 0.5


class PortionExchange:
    """Asks the sharers of a pressed account, and answers theirs."""

    def __init__(self, parts, peering, limits, config):
        """Start to check for pressed accounts.

        Args:
          parts: An object with `timers`.
          peering: The Peering.
          limits: The AccountLimits.
          config: The ConfigHolder.
        """
        self._timers = parts.timers
        self._peering = peering
        self._limits = limits
        self._config = config
        self._timers.every(_CHECK_MS, self._check)

    def on_borrow(self, request, on_reply):
        """Answer a peer that asks for a part of this instance's portion."""
        granted = 0
        config = self._config.config
        account = config and config.accounts.get(request.account)
        if account is not None:
            now_ms = self._timers.clock.now_ms()
            use = self._limits.usage_of(account)
            in_use = use.used_fraction(now_ms)
            granted = use.portion.lend(request.wanted, in_use, now_ms)
        on_reply(peer_pb2.BorrowReply(granted=granted))

    def _check(self):
        self._limits.evict_idle()
        for use in self._limits.list_refused():
            self._ask_sharers(use)

    def _ask_sharers(self, use):
        account = use.account
        membership = self._peering.membership
        sharers = list_limit_sharers(
            membership.live_members(),
            account.name,
            account.width,
        )
        for sharer in sharers:
            if sharer.identity != membership.own.identity:
                self._ask(use, sharer)

    def _ask(self, use, sharer):
        asked_ms = self._timers.clock.now_ms()
        request = peer_pb2.BorrowRequest(
            account=use.account.name,
            wanted=_WANTED_SHARE / use.account.width,
        )

        def take(reply):
            if reply is not None:
                use.portion.borrow(reply.granted, asked_ms)

        address = sharer.peer_address
        self._peering.call(address, 'Borrow', request, take, _ASK_MS)
