"""Label selectors."""


def match_labels(selector, labels):
    """Return whether labels match a selector.

    Args:
      selector: A map of label names to a string, or to a list of allowed
        strings.  An empty selector matches everything.
      labels: A map of label names to strings.
    Returns:
      A bool.
    """
    return all(
        _matches_value(allowed, labels.get(name))
        for name, allowed in selector.items()
    )


def _matches_value(allowed, actual):
    if isinstance(allowed, str):
        return actual == allowed
    return actual in allowed
