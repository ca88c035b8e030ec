"""An HTTP server that passes requests on unmodified.

circuits.web rewrites targets, headers and bodies.  Requests that must reach a
backend server unchanged therefore bypass it: RequestReader reads them, and this
module frames the responses.
"""

import socket
from contextlib import suppress
from http import HTTPStatus
from traceback import format_tb

import orjson
from circuits import handler

from crankchute.adapters.http_intake import DEFAULT_LIMITS, RequestReader
from crankchute.adapters.log import log_change
from crankchute.adapters.retry_after import list_retry_after
from crankchute.adapters.sockets import (
    DirectServer,
    bound_buffer,
    set_tcp_options,
)
from crankchute.errors import RequestRefused

_TIMEOUT_CHECK_MS = 500
#: Limit on the bytes buffered of a next request while one is being answered.
_MAX_PENDING_BYTES = 65_536
#: TCP_USER_TIMEOUT for callers whose unsent bytes are bounded.  The system also
#: applies it to callers that do not read, so it must be longer than
#: NO_PROGRESS_MS: otherwise their disconnection would not be logged.
_BOUNDED_TIMEOUT_MS = 6000
_JSON_TYPE = 'application/json'
_NO_BODY_STATUSES = frozenset((204, 304))
_HEAD = 'HEAD'


class ForwardExchange:
    """A complete, unmodified request and the response to it.

    Attributes:
      method: The method, a string.
      target: Path and query as sent, a string.
      headers: Pairs of name and value, strings.
      body: Bytes.
      arrived_ms: When its first bytes arrived, on this process's clock.
      on_gone: Called if the caller disconnects before the response ends.
      request_id: The id of the request for logs, or None.
      source: The AnswerReading of the request, or None.
      started: Whether the head of a response was sent, a bool.
    """

    __slots__ = (
        '_chunked',
        '_closes',
        '_server',
        '_sock',
        'arrived_ms',
        'body',
        'headers',
        'method',
        'on_gone',
        'request_id',
        'source',
        'started',
        'target',
    )

    def __init__(self, server, sock, reader):
        """Take a complete request from its reader.

        Args:
          server: The ForwardServer.
          sock: The caller's socket.
          reader: A RequestReader whose request is complete.
        """
        self._server = server
        self._sock = sock
        self._chunked = False
        self._closes = not reader.keeps_alive
        self.method = reader.method
        self.target = reader.target.decode('latin-1')
        self.headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in reader.headers
        ]
        self.body = b''.join(reader.parts)
        self.arrived_ms = reader.started_ms
        self.on_gone = None
        self.request_id = None
        self.source = None
        self.started = False

    def serve(self, function):
        """Call a request handler and answer any exception that it raises.

        Args:
          function: Called with this exchange; may raise RequestRefused.
        """
        try:
            function(self)
        except RequestRefused as refusal:
            _reply_refusal(self, refusal)
        except Exception as exc:
            log_change(
                'internal_error',
                failed=True,
                error=repr(exc),
                stack=format_tb(exc.__traceback__),
            )
            if self.started:
                self.abort()
            else:
                self.reply(HTTPStatus.INTERNAL_SERVER_ERROR, b'')

    def header(self, name):
        """Return the first value of a header, or None.

        Args:
          name: The header's name in lower case.
        """
        for key, text in self.headers:
            if key.lower() == name:
                return text
        return None

    def reply(self, status, body, headers=()):
        """Send a complete response.

        Args:
          status: The HTTP status, an int.
          body: Bytes.
          headers: Pairs of name and text.
        """
        self.record_collected(0)
        if status in _NO_BODY_STATUSES:
            body = b''
        length = ('Content-Length', str(len(body)))
        head = self._render_head(status, [*headers, length])
        visible_body = b'' if self.method == _HEAD else body
        self._server.write(self._sock, head + visible_body)
        self._end_exchange()

    def reply_json(self, status, document, headers=()):
        """Send a complete response with a JSON document.

        Args:
          status: The HTTP status, an int.
          document: An object that orjson can serialize.
          headers: Pairs of name and text.
        """
        headers = [('Content-Type', _JSON_TYPE), *headers]
        self.reply(status, orjson.dumps(document), headers)

    def start(self, status, headers):
        """Send the head of a response with a chunked body.

        Args:
          status: The HTTP status, an int.
          headers: Pairs of name and text.
        """
        self._chunked = True
        framing = ('Transfer-Encoding', 'chunked')
        head = self._render_head(status, [*headers, framing])
        self._server.write(self._sock, head)

    def send(self, chunk):
        """Send a chunk of the body.

        Args:
          chunk: Bytes, not empty.
        """
        framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._server.write(self._sock, framed)

    def finish(self):
        """End the body."""
        self._server.write(self._sock, b'0\r\n\r\n')
        self._end_exchange()

    def record_collected(self, size):
        """Record the size of an answer that is collected before it is sent.

        Args:
          size: The bytes collected so far, an int.
        """
        self._server.record_held(self._sock, size)

    def abort(self):
        """Close the connection, so that the response is seen as incomplete."""
        self.on_gone = None
        self._server.drop(self._sock)

    def _end_exchange(self):
        self.on_gone = None
        self.source = None
        self.record_collected(0)
        self._server.end_exchange(self._sock, closes=self._closes)

    def _render_head(self, status, headers):
        self.started = True
        self._closes = self._closes or self._server.is_closing
        lines = [f'HTTP/1.1 {status} {_reason_phrase(status)}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if self._closes:
            lines.append('Connection: close')
        lines.append('\r\n')
        return '\r\n'.join(lines).encode('latin-1')


class _Connection:
    """The state of a caller's connection."""

    __slots__ = ('exchange', 'idle_since_ms', 'pending', 'reader')

    def __init__(self, reader, now_ms):
        self.reader = reader
        self.exchange = None
        self.idle_since_ms = now_ms
        self.pending = b''


class ForwardServer(DirectServer):
    """Receives requests and passes each complete one to a handler.

    Attributes:
      is_closing: Whether responses carry `Connection: close`.
      limits: The IntakeLimits of new requests.
      idle_ms: How long a connection may be idle, in milliseconds.
      list_rejection_headers: A function of the RequestReader and the
        RequestRefused that returns additional headers of the answer to a
        request that is refused before it is complete, or None.
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
        self.idle_ms = idle_ms
        self.is_closing = False
        self.limits = DEFAULT_LIMITS
        self.list_rejection_headers = None
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
                self._reject(sock, connection.reader, refusal)

    def record_held(self, sock, size):
        """Record the bytes of a request or answer that is being collected.

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
        if sock not in self._clients:
            return
        try:
            chunk = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        if not chunk:
            self._close(sock)
            return
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
            self._reject(sock, reader, refusal)
            return
        self.record_held(sock, 0 if reader.done else reader.body_size)
        if reader.done and _is_closed_by_caller(sock):
            # The caller disconnected while the loop was blocked or the process
            # was suspended, so the request must not reach a server.
            self.drop(sock)
        elif reader.done:
            exchange = ForwardExchange(self, sock, reader)
            connection.exchange = exchange
            exchange.serve(self._on_request)

    def _reject(self, sock, reader, refusal):
        """Answer a malformed or late request, and close the connection."""
        self._connections.pop(sock, None)
        headers = ()
        if self.list_rejection_headers is not None:
            headers = self.list_rejection_headers(reader, refusal)
        reader.reject(refusal, headers)
        self.close(sock)
        if self.on_rejected is not None:
            self.on_rejected(reader, refusal)

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
            self._reject(sock, reader, refusal)


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


def _reply_refusal(exchange, refusal):
    headers = list_retry_after(refusal.retry_after_ms)
    document = {'error': refusal.code, 'message': refusal.text}
    exchange.reply_json(int(refusal.status), document, headers)


def _reason_phrase(status):
    with suppress(ValueError):
        return HTTPStatus(status).phrase
    return 'Unknown'
