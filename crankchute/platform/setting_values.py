"""Converters of single values of the settings file.

Each raises a TypeError or ValueError if the value is invalid.
"""

from math import inf

from crankchute.settings import read_address

_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_048_576


def read_addresses(texts):
    """Return addresses "IP:port" as pairs of IP and port, a tuple."""
    return tuple(read_address(text) for text in texts)


def read_names(setting):
    """Return the names in a list or a table; others are ignored."""
    names = setting if isinstance(setting, (dict, list)) else ()
    return tuple(name for name in names if isinstance(name, str))


def read_range(ports):
    """Return the first and the last port of a range."""
    first, last = ports
    return int(first), int(last)


def read_megabytes(number):
    """Return megabytes as bytes."""
    if float(number) <= 0:
        raise ValueError('must be positive')
    return round(float(number) * _BYTES_PER_MB)


def read_seconds(number):
    """Return seconds as milliseconds."""
    return float(number) * _MS_PER_SECOND


def read_non_negative(number):
    """Return a finite number of at least 0 as a float."""
    number = float(number)
    if not 0 <= number < inf:
        raise ValueError('must be a number of at least 0')
    return number


def read_bool(setting):
    """Return a boolean."""
    if not isinstance(setting, bool):
        raise TypeError('must be true or false')
    return setting
