"""Listening sockets that are open before anything else of a process is."""

import socket

_BACKLOG = 1024


def listen_on(addresses):
    """Listen on several addresses.

    Args:
      addresses: Pairs of IP number and port.
    Returns:
      A map from address to a socket that does not block.
    Raises:
      OSError: If one of them is taken; its text names the address.
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
