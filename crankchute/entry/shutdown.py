"""The graceful shutdown of an instance that forwards requests."""

from crankchute.adapters.shutdown_log import (
    log_ended_by_stop,
    log_stopped,
    log_stopping,
)

#: Some callers keep an address response for three times its time to live.
_ADDRESS_TTL_FACTOR = 3
#: Part of the grace period reserved for the delivery of the last responses.
_GRACE_MARGIN_MS = 800
_CHECK_INTERVAL_MS = 100


class Shutdown:
    """Ends the process once its requests are completed.

    Attributes:
      on_started: Called when the shutdown begins.
      has_unsent: A function that returns whether bytes of answers are buffered
        for callers, or None.
    """

    def __init__(self, node, read_limits):
        """Create the component; start() begins the shutdown.

        Args:
          node: The ForwardNode.
          read_limits: A function that returns the ForwardLimits.
        """
        self._node = node
        self._read_limits = read_limits
        self._started_ms = None
        self._timer = None
        self.on_started = None
        self.has_unsent = None

    def start(self):
        """Begin the shutdown."""
        node = self._node
        self._started_ms = node.now_ms()
        log_stopping(self._read_limits().grace_ms, node.desk.flows)
        self._timer = node.timers.every(_CHECK_INTERVAL_MS, self._check)
        if self.on_started is not None:
            self.on_started()

    def _check(self):
        limits = self._read_limits()
        elapsed_ms = self._node.now_ms() - self._started_ms
        grace_ms = limits.grace_ms - _GRACE_MARGIN_MS
        cached_addresses_ms = limits.address_ttl_ms * _ADDRESS_TTL_FACTOR
        if elapsed_ms < min(cached_addresses_ms, grace_ms):
            return
        if elapsed_ms < grace_ms and self._node.desk.in_progress:
            return
        self._stop(elapsed_ms)

    def _stop(self, elapsed_ms):
        node = self._node
        for flow in node.desk.flows:
            log_ended_by_stop(flow, self._started_ms)
        log_stopped(
            elapsed_ms,
            node.desk.in_progress,
            has_unsent=self.has_unsent is not None and self.has_unsent(),
        )
        node.peers.stop()
        if node.on_stopped is not None:
            node.on_stopped()
