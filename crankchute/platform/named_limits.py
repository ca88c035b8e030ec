"""Parses the request rate limits that servers send in response headers."""

import re

#: Unsigned decimal numbers, without exponent or unit.
_DECIMAL = re.compile(r'\s*(\d+(?:\.\d*)?|\.\d+)\s*', re.ASCII)
#: Requests per second; higher limits are lowered to this.
_MAX_LIMIT = 1_000_000


def parse_limits(texts):
    """Return the limits in a response's limit headers.

    Args:
      texts: The values of all limit headers, strings; each may hold several
        limits, separated by commas.
    Returns:
      A list with a float for each limit, in requests per second, and None for
      each that is not a decimal number.
    """
    return [_parse_limit(part) for text in texts for part in text.split(',')]


def _parse_limit(text):
    match = _DECIMAL.fullmatch(text)
    return None if match is None else min(float(match.group(1)), _MAX_LIMIT)
