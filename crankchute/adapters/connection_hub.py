"""The outgoing connections of a process.

One component holds all of them, since registering a component for each would
clear the handler cache of circuits.
"""

import os
import socket
from errno import ETIMEDOUT

from circuits import handler
from circuits.core.utils import findcmp

from crankchute.adapters.poller import IndexedPoller
from crankchute.adapters.sockets import (
    IN_PROGRESS,
    READ_SIZE,
    DirectServer,
    bound_buffer,
    has_input,
    set_tcp_options,
)
from crankchute.core.delivery_wait import DeliveryWait

#: TCP_USER_TIMEOUT of connections to servers, in milliseconds.  Memory that other
#: servers reserve for a request must be free four seconds after the server that
#: uses it fails, so the failure must be detected earlier.
_SERVER_TIMEOUT_MS = 2500
#: TCP keep-alive: idle time before the first probe and interval between probes,
#: in seconds.  They detect a failed host from which only an answer is due: with
#: no unacknowledged bytes, TCP_USER_TIMEOUT alone would not.
_KEEPALIVE_S = 1
#: Number of unanswered keep-alive probes that close the connection.
_KEEPALIVE_PROBES = 2
#: How often it is checked whether a request has arrived whose server has ended
#: the connection, in milliseconds.
_DELIVERY_CHECK_MS = 20


class ConnectionHub(DirectServer):
    """All outgoing connections of a process, in one component.

    A connecting socket becomes writable when the attempt ends; SO_ERROR then
    tells whether it failed.

    A connection ends in order only if reading reaches its end and nothing failed
    before.  The system reports an error once, to whichever call comes first, and
    an end of the stream to later ones; so the first error is recorded.

    A server that fails may also seem to close in order: the reset follows with
    the next bytes of the request.  So where only the end of the connection tells
    the end of the answer, it counts once the whole request is acknowledged.

    Attributes:
      depends_on_end: A function of a socket that returns whether only the end
        of its connection tells the end of the answer.
    """

    channel = 'hub'

    def __init__(self, channel, receive, timers=None):
        """Create the hub without connections.

        Args:
          channel: A name that is unique in the process.
          receive: Called with a socket and the bytes received on it.
          timers: A TimerService; without one, an end that comes before the
            whole request is acknowledged is an error.
        """
        super().__init__(None, channel=channel)
        self._connecting = {}
        self._receive = receive
        self._timers = timers
        self._errors = {}
        self._ended = set()
        self._undelivered = {}
        self.depends_on_end = _depends_never

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
        if code and code not in IN_PROGRESS:
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

    def is_open(self, sock):
        """Tell whether a socket is connected and nothing failed on it.

        Args:
          sock: A socket.
        """
        return sock in self._clients and sock not in self._errors

    def pop_error(self, sock):
        """Return and clear why a closed connection did not end in order.

        Args:
          sock: A socket whose disconnect event was fired.
        Returns:
          A string, or None if the server closed the connection in order.
        """
        has_ended = sock in self._ended
        self._ended.discard(sock)
        error = self._errors.pop(sock, None)
        if error is None and not has_ended:
            return 'its end was not read'
        return error

    def holds_view(self, sock):
        """Tell whether a part of a large request waits to be sent.

        Args:
          sock: A socket that connect_to provided.
        """
        waiting = self._buffers.get(sock, ())
        return any(isinstance(part, memoryview) for part in waiting)

    def abort(self, sock):
        """Close a connection and discard buffered bytes.

        Args:
          sock: A socket that connect_to provided.
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
            self._handle_hang_up(sock)
            return
        self._finish_connect(sock, on_done)

    def _handle_hang_up(self, sock):
        """Handle an error or hang-up that the poller reports.

        The poller has removed the socket.
        """
        if sock not in self._clients:
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        text = os.strerror(code) if code else 'hang-up'
        self._end_sending(sock, OSError(code, text))
        self._read(sock)
        if sock in self._clients and sock not in self._paused:
            self._poller.addReader(self, sock)

    def _end_sending(self, sock, exc):
        """Discard unsent bytes, but read what arrived before the failure."""
        self._errors.setdefault(sock, f'send: {exc.strerror}')
        self._buffers[sock].clear()
        self._poller.removeWriter(sock)
        if self.unsent is not None:
            self.unsent.forget(sock)
        if sock in self._undelivered or not has_input(sock):
            self._close(sock)

    def _read(self, sock):
        """Read without the event that the base class fires."""
        if sock not in self._clients or sock in self._paused:
            return
        try:
            chunk = sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as exc:
            chunk = b''
            self._errors.setdefault(sock, f'receive: {exc.strerror}')
        if chunk:
            self._receive(sock, chunk)
        elif self._depends_on_delivery(sock):
            self._await_delivery(sock)
        else:
            self._ended.add(sock)
            self._close(sock)

    def _close(self, sock):
        self._undelivered.pop(sock, None)
        super()._close(sock)

    def _depends_on_delivery(self, sock):
        """Tell whether an end counts only if the rest of the request arrives."""
        if sock in self._errors or not self.depends_on_end(sock):
            return False
        return self._count_undelivered(sock) > 0

    def _count_undelivered(self, sock):
        return sum(map(len, self._buffers[sock])) + self.count_queued(sock)

    def _await_delivery(self, sock):
        if self._timers is None:
            self._errors[sock] = 'its end came before the request had arrived'
            self._close(sock)
            return
        self._poller.removeReader(sock)
        if sock not in self._undelivered:
            self._undelivered[sock] = DeliveryWait(_SERVER_TIMEOUT_MS)
            self._check_delivery(sock)

    def _check_delivery(self, sock):
        """End a connection whose server has ended it, once it is clear how."""
        wait = self._undelivered.get(sock)
        if wait is None:
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        now_ms = self._timers.clock.now_ms()
        if not code and wait.is_over(self._count_undelivered(sock), now_ms):
            code = ETIMEDOUT
        if code:
            self._end_sending(sock, OSError(code, os.strerror(code)))
        elif self._depends_on_delivery(sock):
            self._timers.after(
                _DELIVERY_CHECK_MS, lambda: self._check_delivery(sock)
            )
        else:
            self._ended.add(sock)
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


def _depends_never(_sock):
    """Return that other things tell the ends of all answers."""
    return False


def enable_keepalive(sock):
    """Enable TCP keep-alive, which detects a failed host.

    Args:
      sock: A TCP socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
