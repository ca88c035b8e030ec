"""The graceful shutdown of an instance that forwards requests."""

from contextlib import ExitStack

from crankchute.adapters.log import log_change
from crankchute.adapters.shutdown_log import (
    log_ended_by_stop,
    log_stopped,
    log_stopping,
)
from crankchute.core.call_for_each import call_for_each_flow
from crankchute.core.shutdown_admission import STOPPING, ShutdownSchedule

_CHECK_INTERVAL_MS = 100


class Shutdown:
    """Ends the process once its requests are completed.

    Attributes:
      host: A ShutdownHost; one that does nothing by default.
    """

    def __init__(self, node):
        """Create the component; start() begins the shutdown.

        Args:
          node: The ForwardNode.
        """
        self._node = node
        self._timer = None
        self._logged = set()
        self.host = ShutdownHost()

    def start(self, limits, sent_after_ms=None):
        """Begin the shutdown, once; later changes of the limits do not affect it.

        Args:
          limits: The ForwardLimits.
          sent_after_ms: See ForwardNode.stop.
        """
        node = self._node
        schedule = ShutdownSchedule(
            node.now_ms(),
            limits.grace_ms,
            limits.address_ttl_ms,
            sent_after_ms,
        )
        node.desk.shutdown.schedule = schedule
        log_stopping(schedule, limits.grace_ms, node.desk.flows)
        self._timer = node.timers.every(_CHECK_INTERVAL_MS, self._check)
        self.host.on_started()

    def _check(self):
        desk = self._node.desk
        schedule = desk.shutdown.schedule
        now_ms = self._node.now_ms()
        if now_ms >= schedule.end_ms:
            self._end_requests()
        else:
            self._refuse_waiting()
        has_unsent = self.host.has_unsent()
        if now_ms < schedule.known_ms:
            return
        # Requests that could not be ended do not delay the process either.
        if (desk.in_progress or has_unsent) and now_ms < schedule.exit_ms:
            return
        if desk.shutdown.is_closed:
            self._stop(now_ms - schedule.started_ms, has_unsent=has_unsent)
        else:
            self._close()

    def _close(self):
        """Refuse all requests; those already on their way are read first."""
        self._node.desk.shutdown.is_closed = True
        log_change('stopping_closed', in_progress=self._node.desk.in_progress)

    def _refuse_waiting(self):
        """Refuse requests that wait for a server for too long."""
        self._for_each_request(self._refuse_if_late)

    def _refuse_if_late(self, flow):
        refusal = self._node.desk.shutdown.find_refusal(flow)
        if refusal is not None:
            flow.give_up(refusal.code, refusal.text, refusal.retry_after_ms)

    def _end_requests(self):
        """End the requests in progress, so that callers learn what is true."""
        if not self._node.desk.shutdown.is_closed:
            self._close()
        self._for_each_request(self._end_request)

    def _end_request(self, flow):
        with ExitStack() as stack:
            stack.callback(self._log_ended, flow, flow.attempt)
            flow.give_up(STOPPING, 'this instance is shutting down')

    def _log_ended(self, flow, attempt):
        if flow not in self._logged:
            self._logged.add(flow)
            started_ms = self._node.desk.shutdown.schedule.started_ms
            log_ended_by_stop(flow, attempt, started_ms)

    def _for_each_request(self, function):
        """Call a function for each ForwardFlow, even if it fails for some."""
        call_for_each_flow(function, self._node.desk.flows)

    def _stop(self, elapsed_ms, *, has_unsent):
        node = self._node
        self.host.refuse_unread()
        log_stopped(elapsed_ms, node.desk.in_progress, has_unsent=has_unsent)
        self._timer.cancel()
        with ExitStack() as stack:
            if node.on_stopped is not None:
                stack.callback(node.on_stopped)
            node.peers.stop()


class ShutdownHost:
    """What the host of a ForwardNode does in a shutdown; here nothing."""

    def on_started(self):
        """Prepare for the shutdown."""

    def has_unsent(self):
        """Return whether bytes of answers are buffered for callers."""
        return False

    def refuse_unread(self):
        """Refuse the requests that have not been read completely."""
