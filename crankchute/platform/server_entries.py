"""Parses the backend servers' entries in the store.

The store does not validate what is written there.  An invalid entry is refused
by itself and does not affect the others.
"""

import re
import socket

import orjson

from crankchute.core.fleet import LEAVING, LIVE, ListedServer, parse_address
from crankchute.errors import ConfigError, Finding

#: The label that holds the name of a backend server's pool.
POOL_LABEL = 'pool'
BACKEND_KIND = 'backend'
#: Longer entries are refused unread: decoding one of the largest size that the
#: store accepts would block the event loop for milliseconds.  Those of servers
#: have some 250 bytes.
_MAX_ENTRY_BYTES = 65_536
#: Ids are written to headers and logs without escaping.
_SERVER_ID = re.compile('[!-~]{1,200}')
_MAX_PORT = 65_535
_STATES = {'ready': LIVE, 'draining': LEAVING}  # noqa: WPS407  (a table)


def read_server(identity, payload):
    """Parse a backend server's entry.

    Args:
      identity: The server's id, the last part of the entry's key.
      payload: The bytes of the entry.
    Returns:
      A ListedServer.
    Raises:
      ConfigError: If the id or the entry is invalid.
    """
    try:
        return _parse_entry(identity, payload)
    except ValueError as exc:
        # An invalid id may be long or have control characters.
        place = identity if _SERVER_ID.fullmatch(identity) else 'servers'
        raise ConfigError([Finding(place, str(exc))]) from exc


def _parse_entry(identity, payload):
    if not _SERVER_ID.fullmatch(identity):
        raise ValueError(
            'server id is empty, too long or has invalid characters'
        )
    if len(payload) > _MAX_ENTRY_BYTES:
        raise ValueError('entry is too long')
    document = orjson.loads(payload)
    if not isinstance(document, dict):
        raise ValueError('entry is not a JSON object')
    invalid_field = _find_invalid_field(document)
    if invalid_field is not None:
        raise ValueError(f'{invalid_field} is missing or invalid')
    return ListedServer(
        {
            'id': identity,
            'kind': BACKEND_KIND,
            'address': document['address'],
            'data_centre': document['zone'],
            'labels': {POOL_LABEL: document['service']},
            'state': _STATES[document['state']],
            'born': document.get('born'),
            'cold_remaining_ms': document['cold-remaining-ms'],
        }
    )


def _find_invalid_field(document):
    """Return the name of a missing or invalid field, or None."""
    for name, is_valid in _FIELD_CHECKS.items():
        if name not in document or not is_valid(document[name]):
            return name
    if 'born' in document and not _is_non_negative_int(document['born']):
        return 'born'
    return None


def _is_non_empty_string(candidate):
    return isinstance(candidate, str) and bool(candidate)


def _is_non_negative_int(candidate):
    return type(candidate) is int and candidate >= 0  # noqa: WPS516  (no bool)


def _is_duration(candidate):
    if isinstance(candidate, bool) or not isinstance(candidate, (int, float)):
        return False
    return candidate >= 0


def _is_address(candidate):
    """Return whether a value is an "IP:port" string with an IPv4 address."""
    if not isinstance(candidate, str):
        return False
    try:
        host, port = parse_address(candidate)
        # Faster than ipaddress.ip_address.
        socket.inet_pton(socket.AF_INET, host)
    except (ValueError, OSError):
        return False
    return 0 < port <= _MAX_PORT


def _is_state(candidate):
    return isinstance(candidate, str) and candidate in _STATES


#: The check of each required field of an entry.
_FIELD_CHECKS = {  # noqa: WPS407  (a table)
    'service': _is_non_empty_string,
    'address': _is_address,
    'zone': _is_non_empty_string,
    'version': _is_non_empty_string,
    'slots': _is_non_negative_int,
    'state': _is_state,
    'cold-remaining-ms': _is_duration,
    'sequence': _is_non_negative_int,
}
