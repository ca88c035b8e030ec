"""Socket components with direct writes and shared outgoing connections.

circuits passes every write through three events and two system calls on the
poller.  Here a write goes to the socket directly, and to the poller only when
the socket's buffer is full.  One component holds all outgoing connections, since
registering a component for each would clear the handler cache of circuits.
"""

import errno
import fcntl
import socket
import sys
import termios

from circuits import handler
from circuits.core.utils import findcmp
from circuits.net.sockets import TCPServer

from crankchute.adapters.poller import FdSet, IndexedPoller

_IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))
_READ_SIZE = 65536
#: TCP_USER_TIMEOUT in milliseconds: how long sent bytes may stay unacknowledged
#: before the connection is closed, as after a network partition.
_DEFAULT_TIMEOUT_MS = 4000
#: The same for connections to servers.  Memory that other servers reserve for a
#: request must be free four seconds after the server that uses it fails, so the
#: failure must be detected earlier.
_SERVER_TIMEOUT_MS = 2500
#: TCP keep-alive: idle time before the first probe and interval between probes,
#: in seconds.  They detect a failed host from which only an answer is due: with
#: no unacknowledged bytes, TCP_USER_TIMEOUT alone would not.
_KEEPALIVE_S = 1
#: Size of the buffers of sockets whose unsent or unread bytes are bounded; the
#: system doubles it.  Its default bound is several megabytes for a socket.
_BOUNDED_BUFFER_BYTES = 131_072
#: The most connections that a server accepts in a turn of the loop, so that open
#: ones are read in between.
_MAX_ACCEPTED = 128
#: Buffered bytes from this size on are sent from a view, since a large rest
#: would otherwise be copied after every send.
_VIEW_BYTES = 65_536
_INT_BYTES = 4
#: Number of unanswered keep-alive probes that close the connection.
_KEEPALIVE_PROBES = 2


class DirectServer(TCPServer):
    """A TCP server that writes to the socket without an event.

    Attributes:
      unsent: The listener for buffered bytes, or None; see
        crankchute.adapters.backpressure.
    """

    def __init__(self, bind, **options):
        """Listen on an address.

        Args:
          bind: A pair of IP number and port.
          options: Options of TCPServer.
        """
        options['bufsize'] = _READ_SIZE
        super().__init__(bind, **options)
        self._clients = FdSet()
        self.unsent = None

    @handler('write')
    def write(self, sock, data):  # noqa: WPS110  (keyword of circuits)
        """Send bytes, buffering those that the socket does not accept.

        Args:
          sock: A connected socket of this server.
          data: Bytes.
        """
        if sock not in self._clients:
            return
        if not self._buffers[sock]:
            data = self._send_now(sock, data)  # noqa: WPS110
        if data and sock in self._clients:
            if self.unsent is not None and len(data) > _VIEW_BYTES:
                data = memoryview(data)  # noqa: WPS110
            self._buffers[sock].append(data)
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
            if self.unsent is not None:
                self.unsent.record_unsent(sock, len(data))

    @property
    def has_unsent(self):
        """Whether bytes are buffered for any caller, a bool."""
        return any(self._buffers.values())

    def is_open(self, sock):
        """Tell whether a socket is connected to this server.

        Args:
          sock: A socket.
        Returns:
          A bool.
        """
        return sock in self._clients

    def stop_listening(self):
        """Close the listening socket but not the open connections."""
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    @handler('close')
    def close(self, sock=None):
        """Close a socket, or all of them, after sending buffered bytes.

        Args:
          sock: A connected socket; None for all and the listening socket.
        """
        if sock is not None:
            super().close(sock)
            return
        self.stop_listening()
        for client in tuple(self._clients):
            super().close(client)

    def count_queued(self, sock):
        """Return how many sent bytes the peer has not acknowledged, an int.

        Args:
          sock: A connected socket of this server.
        """
        return _query_size(sock, termios.TIOCOUTQ)

    def _accept(self):
        """Accept the waiting connections; the base class accepts only one.

        Its generator yields only during handshakes of TLS, which is not used.
        """
        for _ in range(_MAX_ACCEPTED):
            count = len(self._clients)
            tuple(super()._accept())
            if len(self._clients) == count:
                return

    def _write(self, sock, data):  # noqa: WPS110  (as in the base class)
        """Send buffered bytes and report the progress."""
        if self.unsent is None:
            super()._write(sock, data)
            return
        if sock not in self._clients:
            return
        data = _join_small(data, self._buffers[sock])  # noqa: WPS110
        rest = self._send_now(sock, data)
        if sock not in self._clients:
            return
        if rest:
            self._buffers[sock].appendleft(rest)
        self.unsent.record_sent(sock, len(data) - len(rest))

    def _close(self, sock):
        super()._close(sock)
        if self.unsent is not None:
            self.unsent.forget(sock)
            if sock in self._closeq:
                self._closeq.remove(sock)

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

    A connecting socket becomes writable when the attempt ends; SO_ERROR then
    tells whether it failed.
    """

    channel = 'hub'

    def __init__(self, channel, receive):
        """Create the hub without connections.

        Args:
          channel: A name that is unique in the process.
          receive: Called with a socket and the bytes received on it.
        """
        super().__init__(None, channel=channel)
        self._connecting = {}
        self._paused = set()
        self._receive = receive
        self._broken = set()

    def parse_bind_parameter(self, bind):
        """Return the address unchanged, since nothing is listened on."""
        return bind

    def connect_to(self, host, port, on_done):
        """Open a connection.

        Args:
          host: An IP number.
          port: A port number.
          on_done: Called once with the socket and None, or with None and an
            OSError.
        Returns:
          The socket, or None if the connection failed at once.
        """
        self._find_poller()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        set_tcp_options(sock, _SERVER_TIMEOUT_MS)
        enable_keepalive(sock)
        if self.unsent is not None:
            bound_buffer(sock, socket.SO_RCVBUF)
            bound_buffer(sock, socket.SO_SNDBUF)
        code = sock.connect_ex((host, port))
        if code and code not in _IN_PROGRESS:
            sock.close()
            on_done(None, OSError(code, 'connect failed'))
            return None
        self._connecting[sock] = on_done
        self._poller.addWriter(self, sock)
        return sock

    def cancel_connect(self, sock):
        """Cancel a connection attempt; its callback is not called.

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

    def pop_broken(self, sock):
        """Return and clear whether a closed connection ended with an error.

        Args:
          sock: A socket whose disconnect event was fired.
        Returns:
          False if the server closed the connection in the regular way.
        """
        is_broken = sock in self._broken
        self._broken.discard(sock)
        return is_broken

    def abort(self, sock):
        """Close a connection and discard buffered bytes.

        Args:
          sock: A socket that connect_to provided.
        """
        self._close(sock)

    def pause_reading(self, sock):
        """Stop reading from a connection, so that its sender must wait.

        Args:
          sock: A socket that connect_to provided.
        """
        if sock in self._clients and sock not in self._paused:
            self._paused.add(sock)
            self._poller.removeReader(sock)

    def resume_reading(self, sock):
        """Read from a connection again after pause_reading.

        Args:
          sock: A socket that connect_to provided.
        """
        if sock in self._paused:
            self._paused.remove(sock)
            self._poller.addReader(self, sock)

    def count_unread(self):
        """Return the bytes that have arrived on paused connections, an int."""
        return sum(_query_size(sock, termios.FIONREAD) for sock in self._paused)

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
        """Read without the event that the base class fires."""
        if sock not in self._clients or sock in self._paused:
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

    def _close(self, sock):
        self._paused.discard(sock)
        super()._close(sock)

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


def bound_buffer(sock, option):
    """Bound the memory of the system for a socket.

    Args:
      sock: A socket.
      option: SO_RCVBUF, before it is connected, or SO_SNDBUF.
    """
    sock.setsockopt(socket.SOL_SOCKET, option, _BOUNDED_BUFFER_BYTES)


def _join_small(first, buffered):
    """Return bytes to send at once, taking small ones from a buffer.

    A stream of small events would otherwise need a poll for each event.

    Args:
      first: Bytes that precede those in the buffer.
      buffered: A deque of bytes.
    """
    if len(first) > _VIEW_BYTES:
        return first
    parts = [first]
    size = len(first)
    while buffered and size + len(buffered[0]) <= _VIEW_BYTES:
        part = buffered.popleft()
        parts.append(part)
        size += len(part)
    return b''.join(parts)


def _query_size(sock, request):
    """Return the size of a queue of a socket, or 0 if it is closed."""
    try:
        answer = fcntl.ioctl(sock, request, bytes(_INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, sys.byteorder)


def set_tcp_options(sock, timeout_ms=_DEFAULT_TIMEOUT_MS):
    """Disable Nagle's algorithm and set TCP_USER_TIMEOUT.

    Args:
      sock: A TCP socket.
      timeout_ms: How long bytes or probes may stay unacknowledged.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def enable_keepalive(sock):
    """Enable TCP keep-alive, which detects a failed host.

    Args:
      sock: A TCP socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
