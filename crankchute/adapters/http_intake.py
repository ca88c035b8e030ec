"""Parsing and validation of incoming requests.

circuits.web limits neither headers nor bodies nor the time that a sender takes,
and answers bad input with an HTML page.  Here every connection is parsed with
httptools, and a request beyond the limits raises RequestRefused.
"""

from http import HTTPStatus

import httptools

from crankchute.errors import RequestRefused

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_HEAD_BYTES = 32_768
_MAX_BODY_BYTES = 8_388_608
_HEAD_TIMEOUT_MS = 5000
_MIN_BODY_BYTES_PER_MS = 64


class IntakeLimits:
    """The limits on an incoming request.

    Attributes:
      header_room: The part of max_header_bytes that add_header_room added.
    """

    __slots__ = (
        'body_rate',
        'header_room',
        'header_timeout_ms',
        'max_body_bytes',
        'max_header_bytes',
    )

    def __init__(
        self, *, max_header_bytes, max_body_bytes, header_timeout_ms, body_rate
    ):
        """Create the limits.

        Args:
          max_header_bytes: The largest request line and headers, in bytes.
          max_body_bytes: The largest body, in bytes.
          header_timeout_ms: How long the headers may take to arrive, in milliseconds.
          body_rate: The slowest transfer of a body, in bytes a millisecond.
        """
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.body_rate = body_rate
        self.header_room = 0

    def add_header_room(self, extra):
        """Return IntakeLimits that allow larger heads.

        Args:
          extra: Additional bytes.
        """
        limits = IntakeLimits(
            max_header_bytes=self.max_header_bytes + extra,
            max_body_bytes=self.max_body_bytes,
            header_timeout_ms=self.header_timeout_ms,
            body_rate=self.body_rate,
        )
        limits.header_room = self.header_room + extra
        return limits


DEFAULT_LIMITS = IntakeLimits(
    max_header_bytes=_MAX_HEAD_BYTES,
    max_body_bytes=_MAX_BODY_BYTES,
    header_timeout_ms=_HEAD_TIMEOUT_MS,
    body_rate=_MIN_BODY_BYTES_PER_MS,
)


class RequestReader:
    """Reads and validates the requests of one connection, one at a time.

    Attributes:
      done: Whether the request is complete, a bool.
      keeps_alive: Whether the connection persists after the response.
      started_ms: When its first bytes arrived, or None.
      target: The request's target as sent, bytes.
      headers: Pairs of name and value as sent, bytes.
      parts: The parts of the body, a list of bytes.
    """

    __slots__ = (
        '_body_size',
        '_choose_limits',
        '_has_host',
        '_head_done',
        '_head_size',
        '_limits',
        '_message_count',
        '_parser',
        '_reply',
        '_size',
        'done',
        'headers',
        'keeps_alive',
        'parts',
        'started_ms',
        'target',
    )

    def __init__(self, choose_limits, reply):
        """Start with an empty request.

        Args:
          choose_limits: A function that returns the IntakeLimits of a request
            that begins.
          reply: A function that writes bytes to the caller.
        """
        self._choose_limits = choose_limits
        self._limits = choose_limits()
        self._reply = reply
        self.reset()

    def reset(self):
        """Prepare for the next request of the connection."""
        self._parser = httptools.HttpRequestParser(self)
        self._size = 0
        self._body_size = 0
        self._has_host = False
        self._head_size = 0
        self._head_done = False
        self._message_count = 0
        self.done = False
        self.keeps_alive = True
        self.headers = []
        self.parts = []
        self.started_ms = None
        self.target = b''

    @property
    def size(self):
        """The bytes of the request that have arrived, an int."""
        return self._size

    @property
    def body_size(self):
        """The bytes of the body that have arrived, an int."""
        return self._body_size

    @property
    def method(self):
        """The request's method, a string."""
        return self._parser.get_method().decode('latin-1')

    def feed(self, chunk, now_ms):
        """Parse bytes from the connection.

        Args:
          chunk: The received bytes.
          now_ms: The time in milliseconds.
        Raises:
          RequestRefused: If the request is malformed or exceeds a limit.
        """
        if self.started_ms is None:
            self.started_ms = now_ms
            self._limits = self._choose_limits()
        self._size += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as exc:
            raise _bad_request('protocols are not changed here') from exc
        except httptools.HttpParserCallbackError as exc:
            self._raise_callback_error(exc)
        except httptools.HttpParserError as exc:
            raise _bad_request(str(exc)) from exc
        if not self._head_done and self._size > self._limits.max_header_bytes:
            raise _head_too_large(self._limits)
        if self._message_count > 1:
            raise _bad_request('pipelined requests are not supported')

    def check_timeout(self, now_ms):
        """Refuse a request that takes too long to arrive.

        Args:
          now_ms: The time in milliseconds.
        Raises:
          RequestRefused: If the headers or the body are late.
        """
        if self.started_ms is None or self.done:
            return
        allowed_ms = self._limits.header_timeout_ms
        allowed_ms += self._body_size / self._limits.body_rate
        if now_ms - self.started_ms > allowed_ms:
            raise RequestRefused(
                HTTPStatus.REQUEST_TIMEOUT,
                'slow_sender',
                'the request did not arrive in time',
            )

    def reject(self, refusal, headers=()):
        """Answer a request that is not read to its end.

        Args:
          refusal: A RequestRefused.
          headers: Pairs of name and text to add to the answer.
        """
        lines = (
            f'HTTP/1.1 {int(refusal.status)} {refusal.status.phrase}',
            *(f'{name}: {text}' for name, text in headers),
            'Content-Length: 0',
            'Connection: close',
            '\r\n',
        )
        self._reply('\r\n'.join(lines).encode('latin-1'))

    def on_message_begin(self):
        """Parser callback: the start of a request."""
        self._message_count += 1

    def on_url(self, part):
        """Parser callback: a part of the request's target.

        Args:
          part: Bytes.
        """
        self.target += part

    def on_header(self, name, text):
        """Parser callback: a header.

        Args:
          name: The header's name, bytes.
          text: The header's value, bytes.
        """
        self._head_size += len(name) + len(text)
        if self._head_size > self._limits.max_header_bytes:
            raise _head_too_large(self._limits)
        self.headers.append((name, text))
        key = name.lower()
        if key == b'content-length' and text.isdigit():
            self._check_body_size(int(text))
        elif key == b'expect' and text.lower() == b'100-continue':
            self._reply(_CONTINUE)
        elif key == b'host':
            self._has_host = True

    def on_headers_complete(self):
        """Parser callback: the end of the headers."""
        self._head_done = True
        # The parser gives no valid result after the end of the message.
        self.keeps_alive = self._parser.should_keep_alive()
        if not self._has_host:
            raise _bad_request('the Host header is missing')

    def on_body(self, chunk):
        """Parser callback: a part of the body.

        Args:
          chunk: Bytes.
        """
        self._body_size += len(chunk)
        self._check_body_size(self._body_size)
        self.parts.append(chunk)

    def on_message_complete(self):
        """Parser callback: the end of the request."""
        self.done = True

    def _check_body_size(self, size):
        if size > self._limits.max_body_bytes:
            raise RequestRefused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body_too_large',
                'the body is too large',
            )

    def _raise_callback_error(self, exc):
        if isinstance(exc.__context__, RequestRefused):
            raise exc.__context__
        raise _bad_request(str(exc)) from exc


def _bad_request(text):
    return RequestRefused(HTTPStatus.BAD_REQUEST, 'bad_request', text)


def _head_too_large(limits):
    return RequestRefused(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'headers_too_large',
        f'the headers are over {limits.max_header_bytes} bytes',
    )
