"""One call of the HTTP client: a request and the parser of its response."""

import httptools

from crankchute.core.answer_status import find_head_error, is_informational
from crankchute.errors import BackendError
from crankchute.ports.http import MAX_BUFFERED_BODY, AnswerOwner

_NO_BODY_STATUSES = frozenset((204, 304))
#: The most bytes without a byte of a body: in the head, between chunks or after
#: the last one.
_MAX_FRAMING_BYTES = 262_144
#: The most answers to earlier requests before the one that is due.
_MAX_SKIPPED = 4


class CallOptions:
    """Connection options of a call.

    Attributes:
      attribution: The AnswerAttribution of the call, or None if the server
        sends one answer to each request.
      fresh: Whether to open a new connection, a bool.  On a reused one that
        the server has closed, a request that never arrived cannot be told from
        one that did.
      idle_ms: The longest time that a reused connection may have been idle,
        in milliseconds, or None.
      connect_ms: Time limit for opening a connection, in milliseconds, or None
        for the limit of the system.
    """

    __slots__ = ('attribution', 'connect_ms', 'fresh', 'idle_ms')

    def __init__(
        self, *, fresh=False, idle_ms=None, connect_ms=None, attribution=None
    ):
        """Create the options.

        Args:
          fresh: See the class.
          idle_ms: See the class.
          connect_ms: See the class.
          attribution: See the class.
        """
        self.attribution = attribution
        self.fresh = fresh
        self.idle_ms = idle_ms
        self.connect_ms = connect_ms


class HttpCall:
    """A request that was sent and the parser of its response.

    Attributes:
      attribution: See CallOptions.
      is_new: Whether its connection has served no other request, a bool.
      status: The response's status, or None before it arrives.
      headers: The response's headers, names in lower case.
      raw_headers: The headers as received, pairs of bytes.
    """

    __slots__ = (
        '_address',
        '_client',
        '_finished',
        '_framing_bytes',
        '_is_skipping',
        '_parser',
        '_parts',
        '_sent',
        '_sink',
        '_skipped',
        '_skipped_bytes',
        '_until_close',
        'attribution',
        'connecting',
        'headers',
        'is_new',
        'raw_headers',
        'sock',
        'status',
    )

    def __init__(self, client, address, parts, sink, attribution):
        """Create a call; the client starts it.

        Args:
          client: The HttpClient.
          address: A pair of IP number and port.
          parts: The parts of the request, a tuple of bytes and views.
          sink: A ResponseSink.
          attribution: See CallOptions.
        """
        self.attribution = attribution
        self._client = client
        self._address = address
        self._parts = parts
        self._sink = sink
        self._finished = False
        self._framing_bytes = 0
        self._is_skipping = False
        self._sent = False
        self._skipped = 0
        self._skipped_bytes = 0
        self._until_close = False
        self._parser = httptools.HttpResponseParser(self)
        self.connecting = None
        self.headers = {}
        self.is_new = False
        self.raw_headers = []
        self.status = None
        self.sock = None

    @property
    def address(self):
        """The server's pair of IP number and port."""
        return self._address

    @property
    def sent(self):
        """Whether bytes of the request may have been sent, a bool."""
        return self._sent

    @property
    def ends_with_connection(self):
        """Whether the response has neither a length nor chunks, a bool."""
        return self._until_close

    def start(self, sock, exc):
        """Send the request on a connection, or fail without one.

        Args:
          sock: A connected socket, or None.
          exc: The OSError if there is no socket.
        """
        self.connecting = None
        if self._finished:
            self._client.discard(sock)
        elif sock is None:
            self.fail(f'connect failed: {exc}')
        else:
            self.sock = sock
            self._sent = True
            self._client.attach(self)
            parts = self._parts
            self._parts = ()
            for part in parts:
                self._client.hub.write(sock, part)

    def receive(self, chunk):
        """Parse bytes of the response.

        Args:
          chunk: The received bytes.
        """
        self._framing_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self.fail('the response changes the protocol')
        except httptools.HttpParserError as exc:
            self._fail_parsing(exc)
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self.fail('malformed response: its framing does not end')

    def receive_end(self, error):
        """Handle the end of the connection.

        A body without a length is complete only if the server closed the
        connection in order.

        Args:
          error: Why the connection did not end in order, or None.
        """
        if error:
            self.fail(f'the connection failed: {error}', connection_lost=True)
        elif self._until_close:
            self._complete(keep=False)
        else:
            self.fail('the connection was closed', connection_lost=True)

    def cancel(self):
        """Cancel the call and close its connection without calling the sink."""
        if not self._finished:
            self._end(keep=False)

    def pause_reading(self):
        """Stop reading the response, so that the server must wait."""
        if not self._finished:
            self._client.hub.pause_reading(self.sock)

    def resume_reading(self):
        """Read the response again."""
        if not self._finished:
            self._client.hub.resume_reading(self.sock)

    def fail(self, text, *, connection_lost=False):
        """End the call with an error.

        Args:
          text: The error message.
          connection_lost: Whether the server or the network ended the connection.
        """
        if not self._finished:
            self._end(keep=False)
            self._sink.on_error(
                BackendError(
                    text, sent=self._sent, connection_lost=connection_lost
                )
            )

    def on_message_begin(self):
        """Parser callback: a response starts; a second one is an error."""
        if self._finished:
            self._client.discard(self.sock)

    def on_header(self, name, text):
        """Parser callback: a header."""
        self.raw_headers.append((name, text))
        self.headers[name.lower().decode('latin-1')] = text.decode('latin-1')

    def on_headers_complete(self):
        """Parser callback: the end of the headers."""
        if self._finished:
            return
        self.status = self._parser.get_status_code()
        error = find_head_error(self.status, self.headers)
        if error is not None:
            self.fail(f'malformed response: {error}')
            return
        if is_informational(self.status):
            self.headers = {}
            self.raw_headers = []
            return
        self._until_close = (
            'content-length' not in self.headers
            and 'transfer-encoding' not in self.headers
            and self.status not in _NO_BODY_STATUSES
        )
        owner = self._find_owner()
        if owner == AnswerOwner.OWN:
            self._sink.on_head(self.status, self.headers)
        elif owner == AnswerOwner.EARLIER:
            self._start_skipping()
        else:
            self.fail('the answer belongs to another request')

    def on_body(self, chunk):
        """Parser callback: a part of the body."""
        self._framing_bytes = 0
        if self._is_skipping and not self._finished:
            self._skip(chunk)
        elif not self._finished:
            self._sink.on_body(chunk)

    def on_message_complete(self):
        """Parser callback: the end of the response."""
        if is_informational(self.status):
            return
        if self._is_skipping:
            self._end_skipping()
        else:
            # A server that sent one answer too many may send another.
            is_sound = not self._skipped
            keeps = is_sound and self._parser.should_keep_alive()
            self._complete(keep=keeps)

    def _find_owner(self):
        if self.attribution is None:
            return AnswerOwner.OWN
        return self.attribution.find_owner(self)

    def _start_skipping(self):
        """Skip an answer to an earlier request; the own one is still due."""
        self._is_skipping = True
        self._skipped += 1
        if not self._parser.should_keep_alive():
            self.fail('an earlier answer ends the connection')
        elif self._skipped > _MAX_SKIPPED:
            self.fail('the server repeats earlier answers')

    def _skip(self, chunk):
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > MAX_BUFFERED_BODY:
            self.fail('an earlier answer is too large')

    def _end_skipping(self):
        self._is_skipping = False
        self.headers = {}
        self.raw_headers = []
        self.status = None

    def _fail_parsing(self, exc):
        """End the call after an error in the response or in a callback."""
        cause = exc.__context__
        if isinstance(cause, BackendError):
            self.fail(str(cause))
        else:
            self.fail(f'malformed response: {exc}')

    def _complete(self, *, keep):
        if not self._finished:
            self._end(keep=keep)
            self._sink.on_done()

    def _end(self, *, keep):
        self._finished = True
        # The request would otherwise stay in memory until the call is collected.
        self._parts = ()
        self._client.detach(self, keep=keep)
