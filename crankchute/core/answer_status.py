"""Which response heads HTTP allows, for all servers that are called."""

_FIRST_INFORMATIONAL = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL = 200
_LAST = 599


def is_informational(status):
    """Return whether another response to the same request follows.

    Args:
      status: An int.
    """
    return _FIRST_INFORMATIONAL <= status < _FIRST_FINAL


def find_head_error(status, headers):
    """Return why a response head is invalid, or None if it is valid.

    Unknown informational responses are valid.  One with a body is rather a
    final response with a wrong status, after which nothing follows.

    Args:
      status: The status, an int.
      headers: A map from lower-case name to string.
    """
    if not _FIRST_INFORMATIONAL <= status <= _LAST:
        return f'the status {status:03} is not one of HTTP'
    if status == _SWITCHING_PROTOCOLS:
        return 'the response changes the protocol'
    if is_informational(status) and _has_body(headers):
        return f'the informational response {status} has a body'
    return None


def _has_body(headers):
    length = headers.get('content-length', '0').strip()
    return 'transfer-encoding' in headers or length.strip('0') != ''
