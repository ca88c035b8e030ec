"""What a stand-in for a server says of itself in its answers."""

from crankchute.platform.wire import LEAVING, LIMIT, RETRY_AFTER


def write_words(engine):
    """Return the headers in which a server speaks of itself.

    Args:
      engine: A StandinEngine.
    Returns:
      Pairs of name and text.
    """
    words = [(LEAVING, '1')] if engine.is_leaving else []
    if engine.rest is not None:
        words.append((RETRY_AFTER, engine.rest))
    words.extend((LIMIT, limit) for limit in engine.limits)
    return words
