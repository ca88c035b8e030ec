"""Parsing and validation of incoming requests.

circuits.web limits neither headers nor bodies nor the time that a sender takes,
and answers bad input with an HTML page.  Here every connection is parsed with
httptools, and a request beyond the limits raises RequestRefused.
"""

from http import HTTPStatus
from io import BytesIO

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
      declared_size: The length of the body by its header, or None without one.
      has_head: Whether the headers are complete, a bool.
    """

    __slots__ = (
        '_body',
        '_body_size',
        '_choose_limits',
        '_expects_continue',
        '_has_host',
        '_has_room',
        '_head_size',
        '_limits',
        '_message_count',
        '_parser',
        '_paused_since_ms',
        '_reply',
        '_size',
        '_waited_ms',
        'declared_size',
        'done',
        'has_head',
        'headers',
        'keeps_alive',
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
        self._body = BytesIO()
        self._body_size = 0
        self._has_room = False
        self._expects_continue = False
        self._has_host = False
        self._head_size = 0
        self._message_count = 0
        self._paused_since_ms = None
        self._waited_ms = 0
        self.declared_size = None
        self.done = False
        self.has_head = False
        self.keeps_alive = True
        self.headers = []
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
    def max_size(self):
        """The most bytes that the request may have, an int."""
        limits = self._limits
        return limits.max_header_bytes + limits.max_body_bytes

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
        if not self.has_head and self._size > self._limits.max_header_bytes:
            raise _head_too_large(self._limits)
        if self._message_count > 1:
            raise _bad_request('pipelined requests are not supported')

    def allow_body(self):
        """Make room for the body, and ask a caller for it that waits to be asked.

        A buffer that grows would be copied, and take twice the memory while it
        is.
        """
        if self.declared_size and not self._has_room:
            self._has_room = True
            body = BytesIO(bytes(self.declared_size))
            body.write(self._body.getvalue())
            self._body = body
        if self._expects_continue:
            self._expects_continue = False
            self._reply(_CONTINUE)

    def take_body(self):
        """Return the body of a complete request, and forget it.

        Returns:
          Bytes.
        """
        body = self._body.getvalue()
        self._body = BytesIO()
        return body

    def pause(self, now_ms):
        """Record that this process stops reading the request.

        Args:
          now_ms: The time in milliseconds.
        """
        self._paused_since_ms = now_ms

    def resume(self, now_ms):
        """Record that the request is read again.

        Args:
          now_ms: The time in milliseconds.
        """
        self._waited_ms += now_ms - self._paused_since_ms
        self._paused_since_ms = None

    def check_timeout(self, now_ms):
        """Refuse a request that takes too long to arrive.

        The time in which this process did not read it does not count.

        Args:
          now_ms: The time in milliseconds.
        Raises:
          RequestRefused: If the headers or the body are late.
        """
        if self.started_ms is None or self.done:
            return
        if self._paused_since_ms is not None:
            return
        allowed_ms = self._limits.header_timeout_ms + self._waited_ms
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
            self.declared_size = int(text)
            self._check_body_size(self.declared_size)
        elif key == b'expect' and text.lower() == b'100-continue':
            self._expects_continue = True
        elif key == b'host':
            self._has_host = True

    def on_headers_complete(self):
        """Parser callback: the end of the headers."""
        self.has_head = True
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
        self._body.write(chunk)

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
