"""Checks on what a caller sends, before the web library sees it.

The web library has no bound on headers, bodies or the time a sender takes, and
answers bad input with a page.  Every connection is followed here with a
library's parser, and input out of bounds gets a typed refusal.
"""

from http import HTTPStatus

import httptools

from crankchute.errors import RequestRefused

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_BYTES = 32_768
_BODY_BYTES = 8_388_608
_HEAD_MS = 5000
_BYTES_PER_MS = 64


class IntakeLimits:
    """The bounds on one incoming request."""

    __slots__ = (
        'body_rate',
        'header_timeout_ms',
        'max_body_bytes',
        'max_header_bytes',
    )

    def __init__(
        self, *, max_header_bytes, max_body_bytes, header_timeout_ms, body_rate
    ):
        """Create the bounds.

        Args:
          max_header_bytes: The largest request line and headers, in bytes.
          max_body_bytes: The largest body, in bytes.
          header_timeout_ms: Milliseconds in which the headers must arrive.
          body_rate: The slowest body accepted, in bytes a millisecond.
        """
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.body_rate = body_rate


DEFAULT_LIMITS = IntakeLimits(
    max_header_bytes=_HEAD_BYTES,
    max_body_bytes=_BODY_BYTES,
    header_timeout_ms=_HEAD_MS,
    body_rate=_BYTES_PER_MS,
)


class Intake:
    """What is known of the request that is arriving on one connection.

    Attributes:
      done: Whether the request is whole, a bool.
      keeps_alive: Whether the caller keeps its connection afterwards.
      started_ms: When its first bytes came, or None.
      target: The request's target as sent, bytes.
      headers: Pairs of name and value as sent, bytes.
      parts: The parts of the body, a list of bytes.
    """

    __slots__ = (
        '_body_size',
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

    def __init__(self, limits, reply):
        """Start with an empty request.

        Args:
          limits: IntakeLimits.
          reply: A function that writes bytes to the caller.
        """
        self._limits = limits
        self._reply = reply
        self.reset()

    def reset(self):
        """Get ready for the next request of the connection."""
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
    def method(self):
        """The request's method, a string."""
        return self._parser.get_method().decode('latin-1')

    def feed(self, chunk, now_ms):
        """Take bytes from the connection.

        Args:
          chunk: Bytes as they came.
          now_ms: The time in milliseconds.
        Raises:
          RequestRefused: If the request is malformed or out of bounds.
        """
        if self.started_ms is None:
            self.started_ms = now_ms
        self._size += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as exc:
            raise _bad_request('protocols are not changed here') from exc
        except httptools.HttpParserCallbackError as exc:
            self._raise_cause(exc)
        except httptools.HttpParserError as exc:
            raise _bad_request(str(exc)) from exc
        if not self._head_done and self._size > self._limits.max_header_bytes:
            raise _head_too_large(self._limits)
        if self._message_count > 1:
            raise _bad_request('pipelined requests are not supported')

    def check_pace(self, now_ms):
        """Refuse a sender that takes too long.

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

    def on_message_begin(self):
        """Parser callback: a request line starts."""
        self._message_count += 1

    def on_url(self, part):
        """Parser callback: a part of the request's target.

        Args:
          part: Bytes.
        """
        self.target += part

    def on_header(self, name, text):
        """Parser callback: one header.

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
            self._check_body(int(text))
        elif key == b'expect' and text.lower() == b'100-continue':
            self._reply(_CONTINUE)
        elif key == b'host':
            self._has_host = True

    def on_headers_complete(self):
        """Parser callback: all headers are here."""
        self._head_done = True
        # Once the message is whole the parser no longer tells.
        self.keeps_alive = self._parser.should_keep_alive()
        if not self._has_host:
            raise _bad_request('the Host header is missing')

    def on_body(self, chunk):
        """Parser callback: a part of the body.

        Args:
          chunk: Bytes.
        """
        self._body_size += len(chunk)
        self._check_body(self._body_size)
        self.parts.append(chunk)

    def on_message_complete(self):
        """Parser callback: the request is whole."""
        self.done = True

    def _check_body(self, size):
        if size > self._limits.max_body_bytes:
            raise RequestRefused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body_too_large',
                'the body is too large',
            )

    def _raise_cause(self, exc):
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
