"""Parsing and writing of the Retry-After header."""

import re

_MS_PER_SECOND = 1000
#: Decimal seconds; dates, signs and units do not match.
_SECONDS = re.compile(r'\s*(\d{1,9}(?:\.\d{1,9})?)\s*')
#: Limit of one day; a server that is out for longer leaves its pool.
_MAX_DELAY_MS = 86_400_000


def read_retry_after_ms(text):
    """Return the delay of a Retry-After header in milliseconds.

    Args:
      text: The header's value, or None if it is missing.
    Returns:
      At most one day; 0 if the header is missing or not a number.
    """
    found = _SECONDS.fullmatch(text or '')
    if found is None:
        return 0
    return min(float(found.group(1)) * _MS_PER_SECOND, _MAX_DELAY_MS)


def list_retry_after(retry_after_ms):
    """Return the headers that suggest a delay.

    Args:
      retry_after_ms: Milliseconds, or None to suggest nothing.
    Returns:
      A list of pairs of name and text; the text is in seconds with three
      decimals.
    """
    if retry_after_ms is None:
        return []
    return [('Retry-After', f'{retry_after_ms / _MS_PER_SECOND:.3f}')]
