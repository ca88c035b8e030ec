"""Startup of an entry instance until it is ready to serve.

A replica of the platform may be stale, so an instance fetches the newest
revision among its peers first.  The peers come from the seeds and the instance
list.
"""

from crankchute.adapters.log import log_change

_CHECK_INTERVAL_MS = 50
_JOIN_TIMEOUT_MS = 1500
_MAX_PROBED_PEERS = 16


class Joiner:
    """Probes the peers, and calls back once when the instance may serve."""

    def __init__(self, context, peering, config, seeds, on_ready):
        """Start to probe the seeds.

        Args:
          context: An object with a `timers` attribute.
          peering: The Peering.
          config: The ConfigHolder.
          seeds: The configured peer addresses, each "IP:port".
          on_ready: A function without arguments.
        """
        self._timers = context.timers
        self._peering = peering
        self._config = config
        self._on_ready = on_ready
        self._probed = set()
        self._pending_probes = 0
        self._started_ms = self._timers.clock.now_ms()
        self._probe_all(seeds)
        self._check_timer = self._timers.every(_CHECK_INTERVAL_MS, self._check)

    def _probe_all(self, addresses):
        for address in addresses:
            if (
                address in self._probed
                or len(self._probed) >= _MAX_PROBED_PEERS
            ):
                continue
            self._probed.add(address)
            self._pending_probes += 1
            self._peering.probe(address, self._on_probe_end)

    def _on_probe_end(self, _answered):
        self._pending_probes -= 1

    def _check(self):
        membership = self._peering.membership
        own = membership.own.identity
        self._probe_all(
            [
                member.peer_address
                for member in membership.all_members()
                if member.identity != own and member.peer_address
            ]
        )
        if self._config.config is None:
            return
        elapsed_ms = self._timers.clock.now_ms() - self._started_ms
        is_settled = not self._pending_probes and not self._peering.is_pulling
        if is_settled or elapsed_ms > _JOIN_TIMEOUT_MS:
            self._check_timer.cancel()
            log_change('joined', revision=self._config.revision)
            self._on_ready()
