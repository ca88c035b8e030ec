"""Connects the adapters of the platform to an instance."""

from crankchute.entry.forward_node import ForwardWiring
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.engine_reports import EngineReports
from crankchute.platform.instance_limits import make_evacuations
from crankchute.platform.relay_calls import RelayCalls
from crankchute.platform.server_entries import POOL_LABEL


def make_wiring(platform, calls, relay_sock):
    """Return the ForwardWiring of an instance, without its callbacks.

    Args:
      platform: The PlatformNode.
      calls: The ServerCalls.
      relay_sock: The listening socket for requests that other instances relay,
        or None.
    """
    settings = platform.settings
    client = platform.http_client
    relays = RelayCalls(client, settings.instance)
    return ForwardWiring(
        port=BackendCalls(client, calls, relays),
        reservations=EngineOrders(calls, platform.timers),
        reports=EngineReports(calls),
        take_config=None,
        take_servers=None,
        pool_label=POOL_LABEL,
        evacuations=make_evacuations(settings.bounds),
        data_centres=(settings.data_centre, *settings.data_centres),
        relay_address=relay_sock and relay_sock.getsockname(),
    )
