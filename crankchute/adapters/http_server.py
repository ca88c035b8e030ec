"""An HTTP server on circuits.web that writes streams without delay.

circuits.web sends one chunk of a generator per iteration of its poller.  Streams
are therefore written to the socket directly, with the framing of the library's
response object, and the library only handles their end.
"""

from contextlib import suppress
from http import HTTPStatus
from socket import SHUT_WR

import orjson
from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.web.events import stream
from circuits.web.http import HTTP

from crankchute.adapters.log import log_change
from crankchute.adapters.http_intake import DEFAULT_LIMITS, RequestReader
from crankchute.adapters.sockets import DirectServer
from crankchute.errors import RequestRefused

JSON_TYPE = 'application/json'
_TIMEOUT_CHECK_MS = 500
_CLOSE_DELAY_MS = 500
_RETRY_AFTER = 'Retry-After'
_CRLF = b'\r\n'


class Exchange:
    """A request and the response to it."""

    __slots__ = ('_req', '_res', '_server', 'body', 'on_gone', 'started')

    def __init__(self, server, req, res):
        """Wrap a request and response of circuits.web.

        Args:
          server: The HttpServer that received the request.
          req: The request object of circuits.web.
          res: The response object of circuits.web.
        """
        self._server = server
        self._req = req
        self._res = res
        self.body = req.body.read()
        self.on_gone = None
        self.started = False

    @property
    def method(self):
        """The request's method, a string."""
        return self._req.method

    @property
    def path(self):
        """The request's path without its query, a string."""
        return self._req.path

    @property
    def query(self):
        """The query string as sent, without the question mark."""
        return self._req.qs or ''

    @property
    def is_open(self):
        """Whether the caller is still connected, a bool."""
        return self._server.is_open(self._req.sock)

    def header(self, name, default=None):
        """Return a header of the request.

        Args:
          name: The header's name in any case.
          default: The value to return if there is none.
        Returns:
          A string or the default.
        """
        return self._req.headers.get(name, default)

    def reply(self, status, body, content_type=JSON_TYPE, headers=()):
        """Send a complete response.

        Args:
          status: The HTTP status, an int.
          body: Bytes, or a map that is serialized as JSON.
          content_type: The body's media type.
          headers: Pairs of name and text.
        """
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        self.started = True
        res = self._res
        res.status = int(status)
        self._set_headers(content_type, headers)
        res.headers['Content-Length'] = str(len(body))
        if res.close:
            res.headers['Connection'] = 'close'
        self._write(b''.join((bytes(res), bytes(res.headers), body)))
        self.finish()

    def refuse(self, refusal):
        """Send a refusal as a JSON error.

        Args:
          refusal: A RequestRefused.
        """
        headers = []
        if refusal.retry_after_ms is not None:
            seconds = max(1, round(refusal.retry_after_ms / 1000))
            headers.append((_RETRY_AFTER, str(seconds)))
        body = refusal_body(refusal)
        self.reply(refusal.status, body, headers=headers)

    def start_stream(self, content_type, headers=()):
        """Send the head of a response with a streamed body.

        Args:
          content_type: The body's media type.
          headers: Pairs of name and text.
        """
        self.started = True
        res = self._res
        self._set_headers(content_type, headers)
        if res.protocol == 'HTTP/1.1':
            res.chunked = True
            res.headers['Transfer-Encoding'] = 'chunked'
        else:
            res.close = True
        if res.close:
            res.headers['Connection'] = 'close'
        self._write(bytes(res) + bytes(res.headers))

    def send(self, chunk):
        """Send a chunk of a streamed body.

        Args:
          chunk: Bytes, not empty.
        """
        if self._res.chunked:
            size = b'%x\r\n' % len(chunk)
            chunk = b''.join((size, chunk, _CRLF))
        self._write(chunk)

    def finish(self):
        """End a streamed body."""
        self._server.fire(stream(self._res, None))
        self._server.end_exchange(self._req.sock)

    def abort(self):
        """Close the connection without the end of the body."""
        self._server.abort(self._req.sock)

    def _write(self, chunk):
        self._server.write_now(self._req.sock, chunk)

    def _set_headers(self, content_type, headers):
        self._res.headers['Content-Type'] = content_type
        for name, text in headers:
            self._res.headers[name] = text


class HttpServer(BaseComponent):
    """Receives requests and passes the valid ones to a handler."""

    channel = 'web'
    secure = False
    display_banner = False

    def __init__(self, bind, on_request, timers, **options):
        """Listen on an address.

        Args:
          bind: A pair of IP number and port.
          on_request: Called with an Exchange; may raise RequestRefused.
          timers: A TimerService.
          options: `channel`, a name that is unique in the process, and
            `limits`, an IntakeLimits.
        """
        super().__init__(channel=options.get('channel', self.channel))
        self._on_request = on_request
        self._limits = options.get('limits', DEFAULT_LIMITS)
        self._readers = {}
        self._exchanges = {}
        self._discarding = set()
        self._timers = timers
        self._clock = timers.clock
        self.server = DirectServer(bind, channel=self.channel).register(self)
        self.http = HTTP(self, channel=self.channel).register(self)
        timers.every(_TIMEOUT_CHECK_MS, self._check_timeouts)

    @property
    def host(self):
        """The IP number listened on."""
        return self.server.host

    @property
    def port(self):
        """The port listened on."""
        return self.server.port

    @property
    def open_exchanges(self):
        """The number of requests being answered, an int."""
        return len(self._exchanges)

    def is_open(self, sock):
        """Tell whether a caller's socket is still connected."""
        return self.server.is_open(sock)

    def write_now(self, sock, chunk):
        """Write bytes to a caller's socket."""
        self.server.write(sock, chunk)

    def abort(self, sock):
        """Close a caller's connection at once."""
        self.end_exchange(sock)
        self.fire(close(sock))

    def end_exchange(self, sock):
        """Make a connection ready for its next request."""
        exchange = self._exchanges.pop(sock, None)
        if exchange is not None:
            exchange.on_gone = None
        reader = self._readers.get(sock)
        if reader is not None:
            reader.reset()

    @handler('read', priority=10)
    def _on_read(self, event, sock, chunk):
        if sock in self._discarding:
            event.stop()
            return
        if sock in self._exchanges:
            event.stop()
            self.abort(sock)
            return
        reader = self._readers.get(sock)
        if reader is None:
            reader = self._new_reader(sock)
        try:
            reader.feed(chunk, self._clock.now_ms())
        except RequestRefused as refusal:
            event.stop()
            self._reject(sock, refusal)
            return
        reader.allow_body()

    @handler('request', priority=1)
    def _on_web_request(self, event, req, res):
        event.stop()
        exchange = Exchange(self, req, res)
        self._exchanges[req.sock] = exchange
        try:
            self._on_request(exchange)
        except RequestRefused as refusal:
            exchange.refuse(refusal)
        except Exception as exc:
            # Without a response the caller would wait for ever, and the
            # connection would stay busy.
            log_change('internal_error', error=repr(exc), path=exchange.path)
            _reply_internal_error(exchange)
        return True

    @handler('disconnect')
    def _on_disconnect(self, sock):
        self._readers.pop(sock, None)
        self._discarding.discard(sock)
        exchange = self._exchanges.pop(sock, None)
        if exchange is not None and exchange.on_gone is not None:
            exchange.on_gone()

    @handler('connect', 'closed', 'error', 'ready')
    def _on_ignored(self, *_args):
        """Handle events of circuits.web that need no action."""

    def _new_reader(self, sock):
        reader = RequestReader(
            lambda: self._limits,
            lambda reply: self.write_now(sock, reply),
        )
        self._readers[sock] = reader
        return reader

    def _check_timeouts(self):
        now_ms = self._clock.now_ms()
        for sock, reader in tuple(self._readers.items()):
            try:
                reader.check_timeout(now_ms)
            except RequestRefused as refusal:
                self._reject(sock, refusal)

    def _reject(self, sock, refusal):
        body = orjson.dumps(refusal_body(refusal))
        head = (
            f'HTTP/1.1 {int(refusal.status)} {refusal.status.phrase}\r\n'
            f'Content-Type: {JSON_TYPE}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.write_now(sock, head.encode() + body)
        self._readers.pop(sock, None)
        self._discarding.add(sock)
        self._close_delayed(sock)

    def _close_delayed(self, sock):
        """Close after a delay, since closing at once may discard the reply."""
        self._timers.after(_CLOSE_DELAY_MS, lambda: self.fire(close(sock)))
        with suppress(OSError):
            sock.shutdown(SHUT_WR)


def _reply_internal_error(exchange):
    if exchange.started:
        exchange.abort()
        return
    error = {
        'type': 'internal_error',
        'message': 'the request met a fault of this process',
        'outcome': 'unknown',
        'retry_after_ms': None,
    }
    exchange.reply(HTTPStatus.INTERNAL_SERVER_ERROR, {'error': error})


def refusal_body(refusal):
    """Return the JSON error of a refusal.

    Args:
      refusal: A RequestRefused.
    Returns:
      A map in the error format of completion APIs.
    """
    return {
        'error': {
            'type': refusal.code,
            'message': refusal.text,
            'outcome': 'not_run',
            'retry_after_ms': refusal.retry_after_ms,
        },
    }
