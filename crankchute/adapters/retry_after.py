"""The Retry-After header, as servers send it."""

import re

_MS_PER_SECOND = 1000
#: Digits, and a fraction; a date, a sign or a unit is no number of seconds.
_SECONDS = re.compile(r'\s*(\d{1,9}(?:\.\d{1,9})?)\s*')
#: A server that wants nothing for longer has left before: a day.
_LONGEST_MS = 86_400_000


def read_retry_after_ms(text):
    """Return the milliseconds that a Retry-After header asks for.

    Args:
      text: The header's text, or None where it is missing.
    Returns:
      Milliseconds up to a day; 0 if the header is missing or is no number.
    """
    found = _SECONDS.fullmatch(text or '')
    if found is None:
        return 0
    return min(float(found.group(1)) * _MS_PER_SECOND, _LONGEST_MS)
