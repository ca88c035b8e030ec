"""A pool of idle connections for reuse."""

import re
from collections import OrderedDict, defaultdict
from weakref import WeakKeyDictionary

from crankchute.adapters.sockets import has_input

_MAX_PER_ADDRESS = 32
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')
_MS_PER_SECOND = 1000
#: A connection is not reused within this time, in milliseconds, before the
#: announced end of its keep-alive, so that no request races with the close.
_CLOSE_MARGIN_MS = 900
#: How many of a connection's last calls are remembered.
_MAX_EARLIER = 8


class _IdleEntry:
    """When a connection became idle, its keep-alive limit and last calls."""

    __slots__ = ('_earlier', 'allowed_ms', 'since_ms')

    def __init__(self, since_ms, allowed_ms, earlier):
        self.since_ms = since_ms
        self.allowed_ms = allowed_ms
        self._earlier = earlier

    def is_distinct(self, attribution):
        if attribution is None:
            return True
        return all(attribution.is_distinct(one) for one in self._earlier)

    def is_usable(self, now_ms, idle_ms):
        age_ms = now_ms - self.since_ms
        if self.allowed_ms is not None and age_ms > self.allowed_ms:
            return False
        return idle_ms is None or age_ms <= idle_ms


class IdleConnections:
    """Idle sockets by address; the one used most recently is reused first."""

    def __init__(self, is_open, now_ms):
        """Create an empty pool.

        Args:
          is_open: A function that tells whether a socket is connected.
          now_ms: A function that returns the time in milliseconds.
        """
        self._is_open = is_open
        self._now_ms = now_ms
        self._by_address = defaultdict(OrderedDict)
        self._addresses = {}
        self._earlier = WeakKeyDictionary()

    def add(self, address, sock, headers, attribution=None):
        """Add a connection whose response is complete.

        Args:
          address: A pair of IP number and port.
          sock: A connected socket.
          headers: The response's headers, names in lower case.
          attribution: The AnswerAttribution of its last call, or None.
        Returns:
          False if the pool is full and the connection must be closed.
        """
        idle = self._by_address[address]
        if len(idle) >= _MAX_PER_ADDRESS:
            return False
        allowed_ms = _read_allowed_ms(headers.get('keep-alive'))
        earlier = self._remember(sock, attribution)
        idle[sock] = _IdleEntry(self._now_ms(), allowed_ms, earlier)
        self._addresses[sock] = address
        return True

    def remove(self, sock):
        """Remove a connection that was closed."""
        address = self._addresses.pop(sock, None)
        if address is not None:
            self._by_address[address].pop(sock, None)

    def has(self, address, idle_ms=None):
        """Tell whether take() would return a connection."""
        now_ms = self._now_ms()
        return any(
            one.is_usable(now_ms, idle_ms) and self._is_open(sock)
            for sock, one in self._by_address[address].items()
        )

    def has_any(self, address):
        """Tell whether any connection to an address is in the pool."""
        return bool(self._by_address.get(address))

    def list_sockets(self, address):
        """Return the pooled sockets to an address, a list."""
        return list(self._by_address.get(address, ()))

    def take(self, address, idle_ms=None, attribution=None):
        """Remove and return a usable connection.

        A late answer to any of its last calls must be distinct from the next
        answer.

        Args:
          address: A pair of IP number and port.
          idle_ms: The longest time it may have been idle, or None.
          attribution: The AnswerAttribution of the next call, or None.
        Returns:
          A socket, or None.
        """
        idle = self._by_address[address]
        now_ms = self._now_ms()
        for sock in reversed(tuple(idle)):
            entry = idle[sock]
            is_usable = entry.is_usable(now_ms, idle_ms)
            if not (is_usable and entry.is_distinct(attribution)):
                continue
            self.remove(sock)
            # A request sent after a close or other bytes would be lost.
            if self._is_open(sock) and not has_input(sock):
                return sock
        return None

    def _remember(self, sock, attribution):
        """Return the attributions of the last calls of a connection, a tuple.

        A call without an id is remembered until the next one, since all calls
        without an id would otherwise need connections of their own.
        """
        earlier = [
            one
            for one in self._earlier.get(sock, ())
            if one.request_id is not None
        ]
        if attribution is not None:
            earlier.append(attribution)
        self._earlier[sock] = tuple(earlier[-_MAX_EARLIER:])
        return self._earlier[sock]


def _read_allowed_ms(text):
    """Return the idle limit of a Keep-Alive header, or None."""
    found = _KEEP_ALIVE_TIMEOUT.search(text or '')
    if found is None:
        return None
    seconds = int(found.group(1))
    return max(seconds * _MS_PER_SECOND - _CLOSE_MARGIN_MS, 0)
