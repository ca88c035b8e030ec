"""Header names of relayed requests, in lower case."""

#: The id of the instance that relays the request.
RELAYED_BY = 'relayed-by'
#: Ids of servers that must not get the request, separated by commas.
RELAY_AVOIDED = 'relay-avoided'
#: The id of the server that answered.
RELAY_SERVER = 'relay-server'
#: In responses of the other instance itself: a RelayOutcome, why, and after how
#: many milliseconds the caller may try again.
RELAY_OUTCOME = 'relay-outcome'
RELAY_CODE = 'relay-code'
RELAY_RETRY_MS = 'relay-retry-ms'
_HEADERS = frozenset(
    (
        RELAYED_BY,
        RELAY_AVOIDED,
        RELAY_SERVER,
        RELAY_OUTCOME,
        RELAY_CODE,
        RELAY_RETRY_MS,
    )
)


def drop_relay_headers(headers):
    """Return headers without those that only instances may set.

    Args:
      headers: Pairs of name and text, strings.
    Returns:
      A list of pairs without the headers of this module.
    """
    return [pair for pair in headers if pair[0].lower() not in _HEADERS]
