"""Probes backend servers to find out whether their rate limits still apply.

A server lifts its limit by an answer that does not advertise one.  If the limit
is so low that the server gets no requests, there are no answers, so one of the
instances that know of the limit probes it, to use little of the limit.
"""

from crankchute.core.limit_permits import PROBE_INTERVAL_MS

_CHECK_INTERVAL_MS = 500
#: A limit that was not refreshed for this long is probed by any instance.
_UNREFRESHED_PROBE_MS = 10_000


class LimitProber:
    """Probes the servers that this instance is responsible for."""

    def __init__(self, timers, limits, shares, send_probe):
        """Start to probe.

        Args:
          timers: A TimerService.
          limits: The limits that servers advertise.
          shares: This instance's shares of the limits.
          send_probe: A function of a server's id that sends it any request.
        """
        self._clock = timers.clock
        self._limits = limits
        self._shares = shares
        self._send_probe = send_probe
        self._probed_ms = {}
        timers.every(_CHECK_INTERVAL_MS, self._check)

    def _check(self):
        now_ms = self._clock.now_ms()
        self._probed_ms = {
            server: probed_ms
            for server, probed_ms in self._probed_ms.items()
            if now_ms - probed_ms < PROBE_INTERVAL_MS
        }
        for limit in self._limits.list_limited():
            is_recently_probed = limit.server in self._probed_ms
            if not is_recently_probed and self._is_due(limit, now_ms):
                self._probed_ms[limit.server] = now_ms
                self._send_probe(limit.server)

    def _is_due(self, limit, now_ms):
        """Return whether this instance must probe the server of a limit.

        The responsible instance may have learned that the limit was lifted
        while its update did not arrive here, so others probe after a while.
        """
        age_ms = now_ms - limit.at_ms
        if age_ms < PROBE_INTERVAL_MS:
            return False
        return age_ms >= _UNREFRESHED_PROBE_MS or self._shares.is_first_holder(
            limit.server
        )
