"""Listening sockets, opened before the rest of the process starts."""

import socket

_BACKLOG = 1024


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
