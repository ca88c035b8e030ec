"""Labels and the selectors that operators tie things together with."""


def match_labels(selector, labels):
    """Tell whether a thing with these labels is selected.

    Args:
      selector: A map of label names to a string, or to a list of strings any
        of which will do.  An empty selector selects everything.
      labels: A map of label names to strings.
    Returns:
      A bool.
    """
    return all(
        _match_one(wanted, labels.get(name))
        for name, wanted in selector.items()
    )


def _match_one(wanted, present):
    if isinstance(wanted, str):
        return present == wanted
    return present in wanted
