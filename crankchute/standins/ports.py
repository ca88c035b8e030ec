"""Allocates TCP ports for the processes of a test run.

Ports come from below the ephemeral range, so that no outgoing connection can
take one before the server binds it.  Each process that picks ports has a range
of its own, so that parallel runs cannot pick the same port.
"""

import itertools
import socket
from errno import EADDRINUSE
from functools import cache

LOOPBACK = '127.0.0.1'
_FIRST_PORT = 12_000
_RANGES = 16
_RANGE_SIZE = 1_200
_END_PORT = _FIRST_PORT + _RANGES * _RANGE_SIZE


class PortsExhaustedError(Exception):
    """Too few ports are free."""


class PortRange:
    """A range of ports that is reserved for this process.

    The first port stays open until the process ends; other processes see from
    it that the range is in use.
    """

    __slots__ = ('_candidates', '_reservation')

    def __init__(self):
        """Reserve the first range that is free.

        Raises:
          PortsExhaustedError: If there is none.
        """
        first_ports = range(_FIRST_PORT, _END_PORT, _RANGE_SIZE)
        opened = filter(None, map(_listen, first_ports))
        self._reservation = next(opened, None)
        if self._reservation is None:
            raise PortsExhaustedError(f'all {_RANGES} ranges are in use')
        first_port = self._reservation.getsockname()[1]
        # A port is reused only after all others of the range were tried.
        self._candidates = itertools.cycle(
            range(first_port + 1, first_port + _RANGE_SIZE)
        )

    def pick(self, count):
        """Return free ports; see pick_ports."""
        tried = itertools.islice(self._candidates, _RANGE_SIZE - 1)
        free = list(itertools.islice(filter(_is_free, tried), count))
        if len(free) < count:
            raise PortsExhaustedError(f'{count} ports are asked for')
        return free


def pick_ports(count):
    """Return free ports of the loopback interface.

    Args:
      count: The number of ports.
    Returns:
      A list of ints.
    Raises:
      PortsExhaustedError: If too few are free.
    """
    return _get_range().pick(count)


@cache
def _get_range():
    return PortRange()


def _is_free(port):
    sock = _listen(port)
    if sock is not None:
        sock.close()
    return sock is not None


def _listen(port):
    """Return a socket that listens on a port, or None if the port is in use.

    Connections of earlier servers that are still closing do not count.
    """
    try:
        return socket.create_server((LOOPBACK, port))
    except OSError as exc:
        if exc.errno != EADDRINUSE:
            raise
        return None
