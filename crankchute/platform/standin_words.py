"""Headers in which a simulated server reports its own state."""

from crankchute.platform.wire import COLD_MS, LEAVING, LIMIT, RETRY_AFTER


def make_state_headers(engine):
    """Return the headers that report the state of a server.

    Args:
      engine: The simulated server.
    Returns:
      Pairs of name and text.
    """
    headers = [(LEAVING, '1')] if engine.is_leaving else []
    if engine.rest is not None:
        headers.append((RETRY_AFTER, engine.rest))
    if engine.cold_ms is not None:
        headers.append((COLD_MS, engine.cold_ms))
    headers.extend((LIMIT, limit) for limit in engine.limits)
    return headers
