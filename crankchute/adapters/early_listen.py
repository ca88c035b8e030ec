"""Listening sockets, opened before the rest of the process starts."""

import socket
from contextlib import suppress

_BACKLOG = 1024


def listen_in_range(host, ports):
    """Open a non-blocking listening socket on the first free port.

    Args:
      host: An IP number.
      ports: The first and last port.
    Returns:
      A socket, or None if no port is free.
    """
    first, last = ports
    for port in range(first, last + 1):
        with suppress(OSError):
            return listen_on([(host, port)])[host, port]
    return None


def listen_on(addresses):
    """Open non-blocking listening sockets on several addresses.

    Args:
      addresses: Pairs of IP number and port.
    Returns:
      A map from address to socket.
    Raises:
      OSError: If an address cannot be bound; the message names it.
    """
    sockets = {}
    for address in addresses:
        host, port = address
        try:
            sock = socket.create_server(address, backlog=_BACKLOG)
        except OSError as exc:
            for opened in sockets.values():
                opened.close()
            raise OSError(f'cannot listen on {host}:{port}: {exc}') from exc
        sock.setblocking(False)
        sockets[address] = sock
    return sockets
