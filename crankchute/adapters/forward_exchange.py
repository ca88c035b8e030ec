"""A request that was received unmodified, and the framing of its response."""

from contextlib import suppress
from http import HTTPStatus
from traceback import format_tb

import orjson

from crankchute.adapters.log import log_change
from crankchute.adapters.retry_after import list_retry_after
from crankchute.errors import RequestRefused

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
        self.body = reader.take_body()
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

    def take_body(self):
        """Return the body, and forget it.

        Returns:
          Bytes.
        """
        body = self.body
        self.body = b''
        return body

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


def _reply_refusal(exchange, refusal):
    headers = list_retry_after(refusal.retry_after_ms)
    document = {'error': refusal.code, 'message': refusal.text}
    exchange.reply_json(int(refusal.status), document, headers)


def _reason_phrase(status):
    with suppress(ValueError):
        return HTTPStatus(status).phrase
    return 'Unknown'
