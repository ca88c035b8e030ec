"""The limits that servers name, as their answers write them."""

import re

#: Digits, and a fraction; a sign, an exponent or a unit is no limit.
_DECIMAL = re.compile(r'\s*(\d+(?:\.\d*)?|\.\d+)\s*', re.ASCII)
#: What is over it limits nothing: requests a second.
_LARGEST = 1_000_000


def read_limits(texts):
    """Return the limits that an answer names.

    Args:
      texts: The texts of all its limit headers, strings; each may hold several,
        separated by commas.
    Returns:
      A list with a float for each, requests a second up to a million, and None
      for each that is no decimal number.
    """
    return [_read_limit(part) for text in texts for part in text.split(',')]


def _read_limit(text):
    found = _DECIMAL.fullmatch(text)
    return None if found is None else min(float(found.group(1)), _LARGEST)
