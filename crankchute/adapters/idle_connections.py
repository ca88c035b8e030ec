"""Open connections that wait for their next request."""

import re
from collections import OrderedDict, defaultdict

_PER_ADDRESS = 32
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')
_MS_PER_SECOND = 1000
#: A connection is left alone this long before the other side said that it
#: would close it, so that a request does not cross the close.
_MARGIN_MS = 900


class _Idle:
    """When a connection became idle and how long it may stay so."""

    __slots__ = ('allowed_ms', 'since_ms')

    def __init__(self, since_ms, allowed_ms):
        self.since_ms = since_ms
        self.allowed_ms = allowed_ms

    def is_usable(self, now_ms, idle_ms):
        age_ms = now_ms - self.since_ms
        if self.allowed_ms is not None and age_ms > self.allowed_ms:
            return False
        return idle_ms is None or age_ms <= idle_ms


class IdleConnections:
    """Idle sockets by address; the one used last is taken first."""

    def __init__(self, is_open, now_ms):
        """Create without connections.

        Args:
          is_open: A function of a socket, whether it is still connected.
          now_ms: A function that returns the time in milliseconds.
        """
        self._is_open = is_open
        self._now_ms = now_ms
        self._by_address = defaultdict(OrderedDict)
        self._addresses = {}

    def add(self, address, sock, headers):
        """Keep a connection whose response is whole.

        Args:
          address: A pair of IP number and port.
          sock: A connected socket.
          headers: The response's headers, names in lower case.
        Returns:
          False if there are enough, and the connection must be closed.
        """
        idle = self._by_address[address]
        if len(idle) >= _PER_ADDRESS:
            return False
        allowed_ms = _read_allowed_ms(headers.get('keep-alive'))
        idle[sock] = _Idle(self._now_ms(), allowed_ms)
        self._addresses[sock] = address
        return True

    def remove(self, sock):
        """Forget a connection that was closed."""
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

    def rests_at(self, address):
        """Tell whether any connection to an address is kept."""
        return bool(self._by_address.get(address))

    def list_at(self, address):
        """Return the sockets to an address that are kept, a list."""
        return list(self._by_address.get(address, ()))

    def take(self, address, idle_ms=None):
        """Take out a connection that may be used.

        Args:
          address: A pair of IP number and port.
          idle_ms: The longest time it may have been idle, or None.
        Returns:
          A socket, or None.
        """
        idle = self._by_address[address]
        now_ms = self._now_ms()
        for sock in reversed(tuple(idle)):
            if not idle[sock].is_usable(now_ms, idle_ms):
                continue
            self.remove(sock)
            if self._is_open(sock):
                return sock
        return None


def _read_allowed_ms(text):
    """Return how long a connection may be idle by its Keep-Alive header."""
    found = _KEEP_ALIVE_TIMEOUT.search(text or '')
    if found is None:
        return None
    seconds = int(found.group(1))
    return max(seconds * _MS_PER_SECOND - _MARGIN_MS, 0)
