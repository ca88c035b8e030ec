"""From start to readiness: no instance serves before it asked its peers.

A platform replica may be stale, so the highest revision among the peers
counts.  The instance list and the seeds tell who the peers are.
"""

from crankchute.adapters.log import log_change

_CHECK_MS = 50
_LONGEST_ASK_MS = 1500
_MOST_ASKED = 16


class Joiner:
    """Asks peers, then calls back once when the instance may serve."""

    def __init__(self, parts, peering, config, seeds, on_ready):
        """Start to join.

        Args:
          parts: An object with `timers`.
          peering: The Peering.
          config: The ConfigHolder.
          seeds: Addresses "IP:port" of peers known from the settings.
          on_ready: A function without arguments.
        """
        self._timers = parts.timers
        self._peering = peering
        self._config = config
        self._on_ready = on_ready
        self._asked = set()
        self._waiting = 0
        self._started_ms = self._timers.clock.now_ms()
        self._ask_all(seeds)
        self._check_loop = self._timers.every(_CHECK_MS, self._check)

    def _ask_all(self, addresses):
        for address in addresses:
            if address in self._asked or len(self._asked) >= _MOST_ASKED:
                continue
            self._asked.add(address)
            self._waiting += 1
            self._peering.probe(address, self._on_answer)

    def _on_answer(self, _answered):
        self._waiting -= 1

    def _check(self):
        membership = self._peering.membership
        own = membership.own.identity
        self._ask_all(
            [
                member.peer_address
                for member in membership.all_members()
                if member.identity != own and member.peer_address
            ]
        )
        if self._config.config is None:
            return
        elapsed_ms = self._timers.clock.now_ms() - self._started_ms
        is_settled = not self._waiting and not self._peering.is_pulling
        if is_settled or elapsed_ms > _LONGEST_ASK_MS:
            self._check_loop.cancel()
            log_change('joined', revision=self._config.revision)
            self._on_ready()
