"""An HTTP server that passes requests on unmodified.

circuits.web rewrites targets, headers and bodies.  Requests that must reach a
backend server unchanged therefore bypass it: RequestReader reads them, and
ForwardExchange frames the responses.
"""

import socket
from contextlib import suppress

from circuits import handler

from crankchute.adapters.forward_exchange import ForwardExchange
from crankchute.adapters.http_intake import DEFAULT_LIMITS, RequestReader
from crankchute.adapters.request_gate import OpenGate, Sender
from crankchute.adapters.retry_after import list_retry_after
from crankchute.adapters.sockets import (
    DirectServer,
    bound_buffer,
    set_tcp_options,
)
from crankchute.errors import RequestRefused

_TIMEOUT_CHECK_MS = 500
#: How long the rest of a refused request is read and discarded, in milliseconds.
#: Closing with unread bytes resets the connection, which can destroy the answer.
_DISCARD_MS = 5000
#: Limit on the bytes buffered of a next request while one is being answered.
_MAX_PENDING_BYTES = 65_536
#: TCP_USER_TIMEOUT for callers whose unsent bytes are bounded.  The system also
#: applies it to callers that do not read, so it must be longer than
#: NO_PROGRESS_MS: otherwise their disconnection would not be logged.
_BOUNDED_TIMEOUT_MS = 6000


class _Connection:
    """The state of a caller's connection."""

    __slots__ = ('exchange', 'idle_since_ms', 'pending', 'reader')

    def __init__(self, reader, now_ms):
        self.exchange = None
        self.reader = reader
        self.idle_since_ms = now_ms
        self.pending = b''


class ForwardServer(DirectServer):
    """Receives requests and passes each complete one to a handler.

    Attributes:
      describe_sender: A function of a RequestReader that returns the Sender.
      gate: The RequestGate that bounds the memory of requests; an OpenGate
        without a bound.
      is_closing: Whether responses carry `Connection: close`.
      limits: The IntakeLimits of new requests.
      idle_ms: How long a connection may be idle, in milliseconds.
      list_rejection_headers: A function of the RequestReader and the
        RequestRefused that returns additional headers of the answer to a
        request that is refused before it is complete, or None.
      may_wait: Whether callers wait for memory; otherwise they are refused.
      on_rejected: Called with the RequestReader and the RequestRefused of each
        request that is refused before it is complete, or None.
    """

    def __init__(self, bind, on_request, timers, *, channel, idle_ms):
        """Listen on an address.

        Args:
          bind: A pair of IP number and port, or a listening socket.
          on_request: Called with a ForwardExchange; may raise
            RequestRefused.
          timers: A TimerService.
          channel: A name that is unique in the process.
          idle_ms: How long a connection may be idle, in milliseconds.
        """
        super().__init__(bind, channel=channel)
        self._on_request = on_request
        self._clock = timers.clock
        self._connections = {}
        self._discarded = {}
        self.describe_sender = _describe_unknown
        self.gate = OpenGate()
        self.idle_ms = idle_ms
        self.is_closing = False
        self.limits = DEFAULT_LIMITS
        self.list_rejection_headers = None
        self.may_wait = True
        self.on_rejected = None
        timers.every(_TIMEOUT_CHECK_MS, self._check_timeouts)

    @property
    def open_exchanges(self):
        """The number of requests being answered, an int."""
        return sum(
            connection.exchange is not None
            for connection in self._connections.values()
        )

    def end_exchange(self, sock, *, closes):
        """Make a connection ready for its next request, or close it.

        Args:
          sock: A caller's socket.
          closes: Whether the response announced that the connection closes.
        """
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.exchange = None
        self.gate.release(sock)
        if closes:
            self._connections.pop(sock)
            self.close(sock)
            return
        connection.reader.reset()
        connection.idle_since_ms = self._clock.now_ms()
        pending = connection.pending
        connection.pending = b''
        if pending:
            self._feed(sock, connection, pending)

    def drop(self, sock):
        """Close a caller's connection at once."""
        self._connections.pop(sock, None)
        self._close(sock)

    def end_slow(self, sock):
        """Disconnect a caller that is too slow, and cancel its request."""
        self._notify_gone(sock)
        self.drop(sock)

    def label_of(self, sock):
        """Return the id of the request that a caller waits for, or None."""
        exchange = self._exchange_of(sock)
        return None if exchange is None else exchange.request_id

    def pause_source(self, sock):
        """Pause reading the answer for a caller from its server."""
        exchange = self._exchange_of(sock)
        if exchange is not None and exchange.source is not None:
            exchange.source.pause_reading()

    def resume_source(self, sock):
        """Read the answer for a caller from its server again."""
        exchange = self._exchange_of(sock)
        if exchange is not None and exchange.source is not None:
            exchange.source.resume_reading()

    def refuse_unread(self, refusal):
        """Refuse the requests that have not been read completely.

        Args:
          refusal: A RequestRefused.
        """
        for sock, connection in tuple(self._connections.items()):
            is_begun = connection.reader.started_ms is not None
            if connection.exchange is None and is_begun:
                self.refuse(sock, refusal)

    def refuse(self, sock, refusal):
        """Refuse a request that has not been read completely.

        Args:
          sock: A caller's socket.
          refusal: A RequestRefused.
        """
        reader = self._connections.pop(sock).reader
        self.gate.release(sock)
        headers = list_retry_after(refusal.retry_after_ms)
        if self.list_rejection_headers is not None:
            headers += self.list_rejection_headers(reader, refusal)
        reader.reject(refusal, headers)
        self._discard_rest(sock)
        if self.on_rejected is not None:
            self.on_rejected(reader, refusal)

    def record_held(self, sock, size):
        """Record the bytes of an answer that is being collected.

        Args:
          sock: A caller's socket.
          size: The number of bytes.
        """
        if self.unsent is not None:
            self.unsent.record_held(sock, size)

    def _exchange_of(self, sock):
        connection = self._connections.get(sock)
        return None if connection is None else connection.exchange

    def _read(self, sock):
        """Read without the event that the base class fires."""
        if sock not in self._clients or sock in self._paused:
            return
        try:
            chunk = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        if not chunk:
            self._close(sock)
        elif sock not in self._discarded:
            self._take(sock, chunk)

    def _close(self, sock):
        self._discarded.pop(sock, None)
        self.gate.release(sock)
        super()._close(sock)

    def _take(self, sock, chunk):
        """Take bytes that were read."""
        connection = self._connections.get(sock)
        if connection is None:
            connection = self._open_connection(sock)
        if connection.exchange is None:
            self._feed(sock, connection, chunk)
        else:
            self._buffer_pending(sock, connection, chunk)

    def _open_connection(self, sock):
        if self.unsent is None:
            set_tcp_options(sock)
        else:
            set_tcp_options(sock, _BOUNDED_TIMEOUT_MS)
            bound_buffer(sock, socket.SO_SNDBUF)
            bound_buffer(sock, socket.SO_RCVBUF)
        reader = RequestReader(
            lambda: self.limits, lambda reply: self.write(sock, reply)
        )
        connection = _Connection(reader, self._clock.now_ms())
        self._connections[sock] = connection
        return connection

    def _buffer_pending(self, sock, connection, chunk):
        connection.pending += chunk
        if len(connection.pending) > _MAX_PENDING_BYTES:
            self._notify_gone(sock)
            self._close(sock)

    def _feed(self, sock, connection, chunk):
        reader = connection.reader
        try:
            reader.feed(chunk, self._clock.now_ms())
        except RequestRefused as refusal:
            self.refuse(sock, refusal)
            return
        if reader.done and _is_closed_by_caller(sock):
            # The caller disconnected while the loop was blocked or the process
            # was suspended, so the request must not reach a server.
            self.drop(sock)
        elif self.gate.admit(self, sock, reader) and reader.done:
            exchange = ForwardExchange(self, sock, reader)
            connection.exchange = exchange
            exchange.serve(self._on_request)

    def _discard_rest(self, sock):
        """Close a connection once its caller has sent the rest of a request."""
        if not self.is_open(sock):
            return
        self._discarded[sock] = self._clock.now_ms() + _DISCARD_MS
        self.resume_reading(sock)
        if not self._buffers[sock]:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    @handler('disconnect')
    def _on_disconnected(self, sock):
        self._notify_gone(sock)

    def _notify_gone(self, sock):
        connection = self._connections.pop(sock, None)
        exchange = None if connection is None else connection.exchange
        if exchange is not None and exchange.on_gone is not None:
            on_gone = exchange.on_gone
            exchange.on_gone = None
            on_gone()

    def _check_timeouts(self):
        now_ms = self._clock.now_ms()
        for discarded, until_ms in tuple(self._discarded.items()):
            if now_ms > until_ms:
                self._close(discarded)
        for sock, connection in tuple(self._connections.items()):
            if connection.exchange is None:
                self._check_timeout(sock, connection, now_ms)

    def _check_timeout(self, sock, connection, now_ms):
        reader = connection.reader
        if reader.started_ms is None:
            if now_ms - connection.idle_since_ms > self.idle_ms:
                self.drop(sock)
            return
        try:
            reader.check_timeout(now_ms)
        except RequestRefused as refusal:
            self.refuse(sock, refusal)


def _is_closed_by_caller(sock):
    """Tell whether a caller closed its connection after its request.

    Args:
      sock: A socket whose received request has been read.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _describe_unknown(_reader):
    return Sender()
