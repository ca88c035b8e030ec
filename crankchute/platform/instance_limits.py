"""The identity and the limits of an instance, from its settings."""

from crankchute.adapters.http_intake import IntakeLimits
from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.evacuations import Evacuations
from crankchute.core.idle_timeout import IdleTimeout
from crankchute.core.sliding_budget import RetryLimits
from crankchute.entry.forward_node import ForwardLimits, InstanceIdentity

#: How long callers may cache addresses: short enough to stop using a lost
#: instance soon, long enough to keep the load of lookups low.
ADDRESS_TTL_MS = 1000
_MIN_BODY_BYTES_PER_MS = 4


def read_identity(settings):
    """Return the InstanceIdentity of a new process.

    Args:
      settings: InstanceSettings.
    """
    return InstanceIdentity(
        settings.instance,
        settings.data_centre,
        peer_address=settings.listeners.peers,
        caller_address=settings.listeners.callers,
        seeds=settings.seeds,
        strength=settings.millicores,
    )


def read_limits(bounds):
    """Return the ForwardLimits.

    Args:
      bounds: The Bounds of the settings.
    """
    retries = RetryLimits(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_ms=bounds.retry_window_ms,
    )
    return ForwardLimits(
        retries=retries,
        address_ttl_ms=ADDRESS_TTL_MS,
        grace_ms=bounds.grace_ms,
        unused_ms=bounds.unused_ms,
        cold=_read_cold_bounds(bounds),
    )


def _read_cold_bounds(bounds):
    if bounds.cold_overage is None:
        return None
    return ColdBounds(bounds.cold_overage, bounds.cold_slack)


def make_evacuations(bounds):
    """Return the Evacuations, enabled if the settings bound their delay.

    Args:
      bounds: The Bounds of the settings.
    """
    return Evacuations(is_enabled=bounds.evacuate_ms is not None)


def make_intake_limits(request_limits):
    """Return the IntakeLimits of new requests.

    Args:
      request_limits: The RequestLimits of the configuration.
    """
    return IntakeLimits(
        max_header_bytes=request_limits.max_header_bytes,
        max_body_bytes=request_limits.max_body_bytes,
        header_timeout_ms=request_limits.header_timeout_ms,
        body_rate=_MIN_BODY_BYTES_PER_MS,
    )


class CallerLimits:
    """Applies the limits of the configuration to the connections of callers."""

    __slots__ = ('_idle', '_overlap_ms', '_servers', '_timers')

    def __init__(self, servers, timers, overlap_ms):
        """Create the record of servers with their initial limits.

        Args:
          servers: The ForwardServers for callers, a list.
          timers: A TimerService.
          overlap_ms: How long a caller may not know a new configuration, in
            milliseconds.
        """
        self._servers = servers
        self._timers = timers
        self._overlap_ms = overlap_ms
        self._idle = IdleTimeout(servers[0].idle_ms, overlap_ms)

    def apply(self, config):
        """Apply the limits of a new configuration, if it has any.

        Args:
          config: A ForwardConfig.
        """
        request_limits = config.request_limits
        if request_limits is None:
            return
        for server in self._servers:
            limits = make_intake_limits(request_limits)
            room = server.limits.header_room
            server.limits = limits.add_header_room(room)
        self._idle.change(
            request_limits.idle_timeout_ms, self._timers.clock.now_ms()
        )
        self._apply_idle_timeout()
        self._timers.after(self._overlap_ms, self._apply_idle_timeout)

    def _apply_idle_timeout(self):
        idle_ms = self._idle.in_force_ms(self._timers.clock.now_ms())
        for server in self._servers:
            server.idle_ms = idle_ms
