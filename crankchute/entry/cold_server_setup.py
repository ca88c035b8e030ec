"""Connects the cold servers of an instance to its other components."""

from crankchute.adapters.log import log_change


def connect_cold_servers(node, bounds):
    """Let an instance limit the requests to cold servers.

    Args:
      node: The ForwardNode.
      bounds: ColdBounds.
    """
    cold = node.peers.limits.cold
    cold.bounds = bounds
    cold.on_change = log_cold_server
    cold.withdrawn_ms = node.fleet.evacuations.withdrawn_ms
    node.fleet.listing_observer = cold

    def update_pools(config):
        cold.pools = config.pools

    node.holder.subscribe(update_pools)
    node.metrics.add_gauge(
        'cold_servers',
        'Listed servers that are cold, to which requests are limited.',
        cold.count,
    )


def reload_cold_bounds(node, bounds):
    """Apply changed bounds; the limits of cold servers are only enabled at start.

    Args:
      node: The ForwardNode.
      bounds: ColdBounds, or None to limit no requests to cold servers.
    """
    cold = node.peers.limits.cold
    if node.fleet.listing_observer is cold:
        cold.bounds = bounds


def log_cold_server(identity, remaining_ms, source):
    """Log that a server becomes cold, or that its cold time changes.

    Args:
      identity: The server's identity.
      remaining_ms: The remaining cold time, 0 if it has ended.
      source: The kind of the report.
    """
    log_change(
        'server_cold',
        server=identity,
        remaining_ms=round(remaining_ms),
        source=source,
    )


def dump_cold_server(cold, identity):
    """Return the cold time of a server for the state dump, None if it has none.

    Args:
      cold: ColdServers.
      identity: The server's identity.
    Returns:
      A dict of JSON values, or None.
    """
    remaining_ms = cold.remaining_ms(identity)
    if not remaining_ms:
        return None
    return {
        'remaining_ms': round(remaining_ms),
        'rate': cold.rate_of(identity),
        'source': cold.source_of(identity),
    }
