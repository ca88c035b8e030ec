"""Simulated faults of the paths from an instance to servers, for tests."""

import enum
from errno import ECONNREFUSED
from functools import partial


class PathFault(enum.Enum):
    """How connections behave on a path that is lost."""

    #: Open connections fall silent, and new ones get no answer.
    HANG = 'hang'
    #: Open connections are reset, and new ones are refused.
    RESET = 'reset'
    #: Open connections continue to work, but new ones are refused.
    REFUSE = 'refuse'


class PathFaults:
    """Disturbs the connections of one HttpClient to chosen addresses."""

    def __init__(self, client, timers):
        """Wrap the connection hub of a client; all paths work at first.

        Args:
          client: An HttpClient.
          timers: A TimerService.
        """
        self._timers = timers
        self._hub = client.hub
        self._faults = {}
        self._pending = {}
        self._silent = set()
        self._connect_to = client.hub.connect_to
        self._cancel_connect = client.hub.cancel_connect
        self._write = client.hub.write
        self._receive = client.hub._receive  # noqa: SLF001, WPS437
        client.hub.connect_to = self._on_connect
        client.hub.cancel_connect = self._on_cancel
        client.hub.write = self._on_write
        client.hub._receive = self._on_receive  # noqa: SLF001, WPS437

    def lose(self, addresses, fault):
        """Lose the paths to some addresses.

        Args:
          addresses: Pairs of IP and port.
          fault: A PathFault.
        """
        self._faults.update(dict.fromkeys(addresses, fault))
        for sock in self._list_open(addresses):
            if fault == PathFault.HANG:
                self._silent.add(sock)
            elif fault == PathFault.RESET:
                self._hub._errors[sock] = 'reset'  # noqa: SLF001, WPS437
                self._hub.abort(sock)

    def restore(self):
        """Let new connections to all addresses succeed again."""
        self._faults.clear()

    def _list_open(self, addresses):
        clients = tuple(self._hub._clients)  # noqa: SLF001, WPS437
        return [sock for sock in clients if sock.getpeername() in addresses]

    def _on_connect(self, host, port, on_done):
        fault = self._faults.get((host, port))
        if fault is None:
            return self._connect_to(host, port, on_done)
        token = object()
        self._pending[token] = on_done
        if fault != PathFault.HANG:
            self._timers.after(0, partial(self._refuse, token))
        return token

    def _refuse(self, token):
        on_done = self._pending.pop(token, None)
        if on_done is not None:
            on_done(None, OSError(ECONNREFUSED, 'connect failed'))

    def _on_cancel(self, sock):
        if self._pending.pop(sock, None) is not None:
            return True
        return self._cancel_connect(sock)

    def _on_write(self, sock, chunk):
        if sock not in self._silent:
            self._write(sock, chunk)

    def _on_receive(self, sock, chunk):
        if sock not in self._silent:
            self._receive(sock, chunk)
