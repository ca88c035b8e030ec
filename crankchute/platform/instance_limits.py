"""The identity and the limits of an instance, from its settings."""

from crankchute.adapters.http_intake import IntakeLimits
from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.evacuations import Evacuations
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
    """Return the IntakeLimits of new connections.

    Args:
      request_limits: The RequestLimits of the configuration.
    """
    return IntakeLimits(
        max_header_bytes=request_limits.max_header_bytes,
        max_body_bytes=request_limits.max_body_bytes,
        header_timeout_ms=request_limits.header_timeout_ms,
        body_rate=_MIN_BODY_BYTES_PER_MS,
    )
