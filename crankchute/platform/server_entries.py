"""The backend servers' entries in the platform's store, decoded.

Anybody may write there.  What is not an entry as the platform's pages describe
it names no server, and says nothing of the other entries.
"""

import re
import socket

import orjson

from crankchute.core.fleet import LEAVING, LIVE, ListedServer, parse_address
from crankchute.errors import ConfigError, Finding

#: The label of a backend server that names its pool.
POOL_LABEL = 'pool'
BACKEND_KIND = 'backend'
#: Longer entries are not read, in bytes: those of servers have some 250, and
#: the store takes a million, which takes a small instance 10 ms to decode.
_LONGEST = 65_536
#: An id goes into headers and logs as it is.
_IDENTITY = re.compile('[!-~]{1,200}')
_HIGHEST_PORT = 65_535
_STATES = {'ready': LIVE, 'draining': LEAVING}  # noqa: WPS407  (a table)


def read_server(identity, payload):
    """Return a backend server's entry.

    Args:
      identity: The id under which the entry stands, the last part of its key.
      payload: The bytes of the entry.
    Returns:
      A ListedServer.
    Raises:
      ConfigError: If it is no entry of a server.
    """
    try:
        return _read_entry(identity, payload)
    except ValueError as exc:
        # A key may hold anything, and be long.
        place = identity if _IDENTITY.fullmatch(identity) else 'servers'
        raise ConfigError([Finding(place, str(exc))]) from exc


def _read_entry(identity, payload):
    if not _IDENTITY.fullmatch(identity):
        raise ValueError('the id is no name')
    if len(payload) > _LONGEST:
        raise ValueError('it is too long')
    document = orjson.loads(payload)
    if not isinstance(document, dict):
        raise ValueError('it is no map')
    wrong = _find_wrong(document)
    if wrong is not None:
        raise ValueError(f'{wrong} is missing or not as it should be')
    return ListedServer(
        {
            'id': identity,
            'kind': BACKEND_KIND,
            'address': document['address'],
            'data_centre': document['zone'],
            'labels': {POOL_LABEL: document['service']},
            'state': _STATES[document['state']],
            'born': document.get('born'),
        }
    )


def _find_wrong(document):
    """Return the name of a field that no server writes so, or None."""
    for name, is_right in _FIELDS.items():
        if name not in document or not is_right(document[name]):
            return name
    if 'born' in document and not _is_count(document['born']):
        return 'born'
    return None


def _is_name(found):
    return isinstance(found, str) and bool(found)


def _is_count(found):
    return type(found) is int and found >= 0  # noqa: WPS516  (no bool)


def _is_duration(found):
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        return False
    return found >= 0


def _is_address(found):
    """Tell whether something is "IP:port"."""
    if not isinstance(found, str):
        return False
    try:
        host, port = parse_address(found)
        # A third of the time that ipaddress.ip_address takes.
        socket.inet_pton(socket.AF_INET, host)
    except (ValueError, OSError):
        return False
    return 0 < port <= _HIGHEST_PORT


def _is_state(found):
    return isinstance(found, str) and found in _STATES


#: What each field of an entry has to be; servers write all of them.
_FIELDS = {  # noqa: WPS407  (a table)
    'service': _is_name,
    'address': _is_address,
    'zone': _is_name,
    'version': _is_name,
    'slots': _is_count,
    'state': _is_state,
    'cold-remaining-ms': _is_duration,
    'sequence': _is_count,
}
