"""An HTTP server that hands requests over as they came.

The web library rewrites targets, headers and bodies, so a request that must
reach a backend server unchanged is read by the checks of `http_intake` alone,
and its answer is framed here.
"""

import socket
from contextlib import suppress
from http import HTTPStatus
from traceback import format_tb

import orjson
from circuits import handler

from crankchute.adapters.http_intake import DEFAULT_LIMITS, Intake
from crankchute.adapters.log import log_change
from crankchute.adapters.sockets import DirectServer, set_tcp_options
from crankchute.errors import RequestRefused

_SWEEP_MS = 500
#: How many bytes of a next request are kept while one is being answered.
_PENDING_BYTES = 65_536
_JSON_TYPE = 'application/json'
_NO_BODY = frozenset((204, 304))
_HEAD = 'HEAD'


class ForwardExchange:
    """One request, whole and as it came, and the answer being given to it.

    Attributes:
      method: The method, a string.
      target: Path and query as sent, a string.
      headers: Pairs of name and value, strings.
      body: Bytes.
      arrived_ms: When its first bytes came, on this process's clock.
      on_gone: Called if the caller closes its connection before the end.
      started: Whether the head of an answer was sent, a bool.
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
        'started',
        'target',
    )

    def __init__(self, server, sock, intake):
        """Take a whole request from an intake.

        Args:
          server: The ForwardServer.
          sock: The caller's socket.
          intake: An Intake whose request is done.
        """
        self._server = server
        self._sock = sock
        self._chunked = False
        self._closes = not intake.keeps_alive
        self.method = intake.method
        self.target = intake.target.decode('latin-1')
        self.headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in intake.headers
        ]
        self.body = b''.join(intake.parts)
        self.arrived_ms = intake.started_ms
        self.on_gone = None
        self.started = False

    def serve(self, function):
        """Let a function answer, and give an end whatever it raises.

        Args:
          function: A function of this exchange; it may raise RequestRefused.
        """
        try:
            function(self)
        except RequestRefused as refusal:
            _reply_refused(self, refusal)
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
        """Send a whole answer.

        Args:
          status: The HTTP status, an int.
          body: Bytes.
          headers: Pairs of name and text.
        """
        if status in _NO_BODY:
            body = b''
        length = ('Content-Length', str(len(body)))
        head = self._render_head(status, [*headers, length])
        shown = b'' if self.method == _HEAD else body
        self._server.write(self._sock, head + shown)
        self._end()

    def reply_json(self, status, document, headers=()):
        """Send a whole answer that is a JSON document.

        Args:
          status: The HTTP status, an int.
          document: What orjson can write.
          headers: Pairs of name and text.
        """
        headers = [('Content-Type', _JSON_TYPE), *headers]
        self.reply(status, orjson.dumps(document), headers)

    def start(self, status, headers):
        """Send the head of an answer whose body follows in chunks.

        Args:
          status: The HTTP status, an int.
          headers: Pairs of name and text.
        """
        self._chunked = True
        framing = ('Transfer-Encoding', 'chunked')
        head = self._render_head(status, [*headers, framing])
        self._server.write(self._sock, head)

    def send(self, chunk):
        """Send a part of the body.

        Args:
          chunk: Bytes, not empty.
        """
        framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._server.write(self._sock, framed)

    def finish(self):
        """End the body."""
        self._server.write(self._sock, b'0\r\n\r\n')
        self._end()

    def abort(self):
        """Close the connection, so that the answer cannot look whole."""
        self.on_gone = None
        self._server.drop(self._sock)

    def _end(self):
        self.on_gone = None
        self._server.end_exchange(self._sock, closes=self._closes)

    def _render_head(self, status, headers):
        self.started = True
        self._closes = self._closes or self._server.is_closing
        lines = [f'HTTP/1.1 {status} {_phrase(status)}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if self._closes:
            lines.append('Connection: close')
        lines.append('\r\n')
        return '\r\n'.join(lines).encode('latin-1')


class _Connection:
    """What is known of one caller's connection."""

    __slots__ = ('exchange', 'idle_since_ms', 'intake', 'pending')

    def __init__(self, intake, now_ms):
        self.intake = intake
        self.exchange = None
        self.idle_since_ms = now_ms
        self.pending = b''


class ForwardServer(DirectServer):
    """Receives requests and hands each, whole, to one function.

    Attributes:
      is_closing: Whether answers ask callers to open a new connection.
      limits: The IntakeLimits of new connections.
      idle_ms: How long a connection may rest, in milliseconds.
    """

    def __init__(self, bind, on_request, timers, *, channel, idle_ms):
        """Listen on an address.

        Args:
          bind: A pair of IP number and port, or a listening socket.
          on_request: A function of a ForwardExchange; it may raise
            RequestRefused.
          timers: A TimerService.
          channel: A name that is unique in the process.
          idle_ms: How long a connection may rest, in milliseconds.
        """
        super().__init__(bind, channel=channel)
        self._on_request = on_request
        self._clock = timers.clock
        self._connections = {}
        self.idle_ms = idle_ms
        self.is_closing = False
        self.limits = DEFAULT_LIMITS
        timers.every(_SWEEP_MS, self._sweep)

    @property
    def open_exchanges(self):
        """How many requests are being answered, an int."""
        return sum(
            connection.exchange is not None
            for connection in self._connections.values()
        )

    def end_exchange(self, sock, *, closes):
        """Make a connection ready for its next request, or close it.

        Args:
          sock: A caller's socket.
          closes: Whether the answer said that the connection ends.
        """
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.exchange = None
        if closes:
            self._connections.pop(sock)
            self.close(sock)
            return
        connection.intake.reset()
        connection.idle_since_ms = self._clock.now_ms()
        pending = connection.pending
        connection.pending = b''
        if pending:
            self._take(sock, connection, pending)

    def drop(self, sock):
        """Close a caller's connection at once."""
        self._connections.pop(sock, None)
        self._close(sock)

    def _read(self, sock):
        """Read without the event that the library's server would fire."""
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
            connection = self._open(sock)
        if connection.exchange is None:
            self._take(sock, connection, chunk)
        else:
            self._keep(sock, connection, chunk)

    def _open(self, sock):
        set_tcp_options(sock)
        intake = Intake(self.limits, lambda reply: self.write(sock, reply))
        connection = _Connection(intake, self._clock.now_ms())
        self._connections[sock] = connection
        return connection

    def _keep(self, sock, connection, chunk):
        connection.pending += chunk
        if len(connection.pending) > _PENDING_BYTES:
            self._record_gone(sock)
            self._close(sock)

    def _take(self, sock, connection, chunk):
        intake = connection.intake
        try:
            intake.feed(chunk, self._clock.now_ms())
        except RequestRefused as refusal:
            self._refuse_raw(sock, refusal)
            return
        if intake.done and _has_left(sock):
            # Read late, by a loop that was busy or a process that stood
            # still; nothing of it may reach a server any more.
            self.drop(sock)
        elif intake.done:
            exchange = ForwardExchange(self, sock, intake)
            connection.exchange = exchange
            exchange.serve(self._on_request)

    def _refuse_raw(self, sock, refusal):
        """Answer bytes that are no request, and close."""
        self._connections.pop(sock, None)
        lines = (
            f'HTTP/1.1 {int(refusal.status)} {refusal.status.phrase}',
            'Content-Length: 0',
            'Connection: close',
            '\r\n',
        )
        self.write(sock, '\r\n'.join(lines).encode())
        self.close(sock)

    @handler('disconnect')
    def _on_caller_gone(self, sock):
        self._record_gone(sock)

    def _record_gone(self, sock):
        connection = self._connections.pop(sock, None)
        exchange = None if connection is None else connection.exchange
        if exchange is not None and exchange.on_gone is not None:
            on_gone = exchange.on_gone
            exchange.on_gone = None
            on_gone()

    def _sweep(self):
        now_ms = self._clock.now_ms()
        for sock, connection in tuple(self._connections.items()):
            if connection.exchange is None:
                self._check_pace(sock, connection, now_ms)

    def _check_pace(self, sock, connection, now_ms):
        intake = connection.intake
        if intake.started_ms is None:
            if now_ms - connection.idle_since_ms > self.idle_ms:
                self.drop(sock)
            return
        try:
            intake.check_pace(now_ms)
        except RequestRefused as refusal:
            self._refuse_raw(sock, refusal)


def _has_left(sock):
    """Tell whether a caller closed its connection behind its request.

    Args:
      sock: A socket from which all but the newest bytes were read.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reply_refused(exchange, refusal):
    headers = []
    if refusal.retry_after_ms is not None:
        headers.append(write_retry_after(refusal.retry_after_ms))
    document = {'error': refusal.code, 'message': refusal.text}
    exchange.reply_json(int(refusal.status), document, headers)


def write_retry_after(retry_after_ms):
    """Return the header that says when to come back.

    Args:
      retry_after_ms: Milliseconds.
    Returns:
      A pair of name and text, in seconds with fractions.
    """
    return 'Retry-After', f'{retry_after_ms / 1000:.3f}'  # noqa: WPS432


def _phrase(status):
    with suppress(ValueError):
        return HTTPStatus(status).phrase
    return 'Unknown'
