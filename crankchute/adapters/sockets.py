"""A TCP server with direct writes.

circuits passes every write through three events and two system calls on the
poller.  Here a write goes to the socket directly, and to the poller only when
the socket's buffer is full.
"""

import errno
import fcntl
import socket
import sys
import termios

from circuits import handler
from circuits.net.sockets import TCPServer

from crankchute.adapters.poller import FdSet

IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EWOULDBLOCK))
READ_SIZE = 65536
#: TCP_USER_TIMEOUT in milliseconds: how long sent bytes may stay unacknowledged
#: before the connection is closed, as after a network partition.
_DEFAULT_TIMEOUT_MS = 4000
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
        options['bufsize'] = READ_SIZE
        super().__init__(bind, **options)
        self._clients = FdSet()
        self._paused = set()
        self.unsent = None

    @handler('write')
    def write(self, sock, data):  # noqa: WPS110  (keyword of circuits)
        """Send bytes, buffering those that the socket does not accept.

        Args:
          sock: A connected socket of this server.
          data: Bytes.
        """
        if not self.is_open(sock):
            return
        if not self._buffers[sock]:
            data = self._send_now(sock, data)  # noqa: WPS110
        if data and self.is_open(sock):
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

    def pause_reading(self, sock):
        """Stop reading from a connection, so that its sender must wait.

        Args:
          sock: A connected socket of this server.
        """
        if sock in self._clients and sock not in self._paused:
            self._paused.add(sock)
            self._poller.removeReader(sock)

    def resume_reading(self, sock):
        """Read from a connection again after pause_reading.

        Args:
          sock: A connected socket of this server.
        """
        if sock in self._paused:
            self._paused.remove(sock)
            self._poller.addReader(self, sock)

    def count_unread(self):
        """Return the bytes that have arrived on paused connections, an int."""
        return sum(_query_size(sock, termios.FIONREAD) for sock in self._paused)

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
        if sock not in self._clients:
            return
        if self.unsent is not None:
            data = _join_small(data, self._buffers[sock])  # noqa: WPS110
        rest = self._send_now(sock, data)
        if not self.is_open(sock):
            return
        if rest:
            self._buffers[sock].appendleft(rest)
        if self.unsent is not None:
            self.unsent.record_sent(sock, len(data) - len(rest))

    def _close(self, sock):
        self._paused.discard(sock)
        super()._close(sock)
        if self.unsent is not None:
            self.unsent.forget(sock)
            if sock in self._closeq:
                self._closeq.remove(sock)

    def _send_now(self, sock, payload):
        try:
            sent = sock.send(payload)
        except OSError as exc:
            if exc.errno in IN_PROGRESS:
                return payload
            self._end_sending(sock, exc)
            return b''
        return payload[sent:]

    def _end_sending(self, sock, exc):
        """Handle that bytes can no longer be sent.

        Args:
          sock: A connected socket of this server.
          exc: The OSError of the attempt.
        """
        self._close(sock)


def bound_buffer(sock, option):
    """Bound the memory of the system for a socket.

    Args:
      sock: A socket.
      option: SO_RCVBUF or SO_SNDBUF.
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


def has_input(sock):
    """Tell whether bytes, a close or an error can be read.

    Args:
      sock: A connected socket.
    """
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def set_tcp_options(sock, timeout_ms=_DEFAULT_TIMEOUT_MS):
    """Disable Nagle's algorithm and set TCP_USER_TIMEOUT.

    Args:
      sock: A TCP socket.
      timeout_ms: How long bytes or probes may stay unacknowledged.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
