"""Socket components that write at once and hold many outgoing connections.

The library sends every write through three events and two system calls on the
poller.  A write is tried directly here and goes that way only when the socket
is full.  The outgoing side is one component for all connections, because
registering a component per connection empties the library's handler cache.
"""

import errno
import socket

from circuits import handler
from circuits.core.utils import findcmp
from circuits.net.sockets import TCPServer

from crankchute.adapters.poller import FdSet, IndexedPoller

_IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))
_READ_SIZE = 65536
#: How long bytes may stay unacknowledged, in milliseconds.  A cut network or a
#: machine without power says nothing, so this is what ends such connections.
_USER_TIMEOUT_MS = 4000
#: The same for connections to servers.  Memory that other servers hold for a
#: request must be free four seconds after the one that used it died, so the
#: death has to be noticed well before.
_SERVER_TIMEOUT_MS = 2500
#: A server that owes nothing but an answer is probed from this many seconds of
#: silence on, and so often; its host answers while it has power.
_PROBE_S = 1
#: This many unanswered probes end the connection.
_PROBES = 2


class DirectServer(TCPServer):
    """A TCP server whose writes go to the socket without an event."""

    def __init__(self, bind, **options):
        """Listen on an address.

        Args:
          bind: A pair of IP number and port.
          options: Options of the library's server.
        """
        options['bufsize'] = _READ_SIZE
        super().__init__(bind, **options)
        self._clients = FdSet()

    @handler('write')
    def write(self, sock, data):  # noqa: WPS110  (the library's keyword)
        """Send bytes, or keep what the socket does not take.

        Args:
          sock: A connected socket of this server.
          data: Bytes.
        """
        if sock not in self._clients:
            return
        if not self._buffers[sock]:
            data = self._send_now(sock, data)  # noqa: WPS110
        if data and sock in self._clients:
            self._buffers[sock].append(data)
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)

    @property
    def has_unsent(self):
        """Whether bytes wait for a caller that reads slowly, a bool."""
        return any(self._buffers.values())

    def is_open(self, sock):
        """Tell whether a socket is still connected here.

        Args:
          sock: A socket.
        Returns:
          A bool.
        """
        return sock in self._clients

    def stop_listening(self):
        """Close the listening socket and keep the open connections."""
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    @handler('close')
    def close(self, sock=None):
        """Close one socket after its buffer is sent, or all of them.

        Args:
          sock: A connected socket; None closes the listening socket too.
        """
        if sock is not None:
            super().close(sock)
            return
        self.stop_listening()
        for client in tuple(self._clients):
            super().close(client)

    def _send_now(self, sock, payload):
        try:
            sent = sock.send(payload)
        except OSError as exc:
            if exc.errno in _IN_PROGRESS:
                return payload
            self._close(sock)
            return b''
        return payload[sent:]


class ConnectionHub(DirectServer):
    """All outgoing connections of a process, in one component.

    Sockets that are still connecting are watched for writing; the socket's
    own error tells whether the connection was refused.
    """

    channel = 'hub'

    def __init__(self, channel, receive):
        """Create the hub without any connection.

        Args:
          channel: A name that is unique in the process.
          receive: A function of a socket and the bytes that came on it.
        """
        super().__init__(None, channel=channel)
        self._connecting = {}
        self._receive = receive
        self._broken = set()

    def parse_bind_parameter(self, bind):
        """Accept that there is no address to listen on."""
        return bind

    def connect_to(self, host, port, on_done):
        """Open a connection.

        Args:
          host: An IP number.
          port: A port number.
          on_done: Called once with the socket and None, or None and an
            OSError when nothing was sent.
        Returns:
          The socket, or None if the connection failed at once.
        """
        self._find_poller()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        set_tcp_options(sock, _SERVER_TIMEOUT_MS)
        probe_when_silent(sock)
        code = sock.connect_ex((host, port))
        if code and code not in _IN_PROGRESS:
            sock.close()
            on_done(None, OSError(code, 'connect failed'))
            return None
        self._connecting[sock] = on_done
        self._poller.addWriter(self, sock)
        return sock

    def give_up_connect(self, sock):
        """Stop waiting for a connection; nothing is told of it any more.

        Args:
          sock: A socket that connect_to returned.
        Returns:
          True if it was still connecting.
        """
        if self._connecting.pop(sock, None) is None:
            return False
        self._poller.discard(sock)
        sock.close()
        return True

    def take_broken(self, sock):
        """Tell, once, whether a closed connection ended by an error.

        Args:
          sock: A socket whose disconnect was told.
        Returns:
          False if the other side ended it in an orderly way.
        """
        is_broken = sock in self._broken
        self._broken.discard(sock)
        return is_broken

    def abort(self, sock):
        """Close a connection without sending what is buffered.

        Args:
          sock: A socket that connect_to handed out.
        """
        self._close(sock)

    @handler('registered', 'started', channel='*')
    def _on_registered_or_started(self, component, manager=None):
        self._find_poller()

    @handler('_write', priority=1)
    def _on_write(self, sock):
        on_done = self._connecting.pop(sock, None)
        if on_done is None:
            super()._on_write(sock)
            return
        self._finish_connect(sock, on_done)

    @handler('_disconnect', priority=1)
    def _on_disconnect(self, sock):
        on_done = self._connecting.pop(sock, None)
        if on_done is None:
            super()._on_disconnect(sock)
            return
        self._finish_connect(sock, on_done)

    def _read(self, sock):
        """Hand bytes over without the event that a server would fire."""
        if sock not in self._clients:
            return
        try:
            chunk = sock.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
            self._broken.add(sock)
        if chunk:
            self._receive(sock, chunk)
        else:
            self._close(sock)

    def _find_poller(self):
        if self._poller is None:
            self._poller = findcmp(self.root, IndexedPoller)

    def _finish_connect(self, sock, on_done):
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._poller.discard(sock)
        if code:
            sock.close()
            on_done(None, OSError(code, 'connect failed'))
            return
        self._poller.addReader(self, sock)
        self._clients.add(sock)
        on_done(sock, None)

    def _create_socket(self):
        """Create no socket, since nothing is listened on."""


def set_tcp_options(sock, timeout_ms=_USER_TIMEOUT_MS):
    """Send small writes at once, and notice a peer that is gone.

    Args:
      sock: A TCP socket.
      timeout_ms: How long bytes or probes may stay unanswered.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def probe_when_silent(sock):
    """Have the system probe a silent peer, so that a dead host is noticed.

    Args:
      sock: A TCP socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
