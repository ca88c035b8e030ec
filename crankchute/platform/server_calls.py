"""HTTP calls to backend servers, with the state that responses report.

The headers of any response (to a request, an order or a report query) may say
that the server is shutting down or limit its request rate, and a 503 may ask
for a pause with Retry-After.  All calls to backend servers go through
ServerCalls, so that these headers are read in every response to the call.
"""

from http import HTTPStatus

from crankchute.adapters.retry_after import read_retry_after_ms
from crankchute.core.server_notice import ServerNotice
from crankchute.platform.named_limits import parse_limits
from crankchute.platform.wire import COLD_MS, LEAVING, LIMIT, RETRY_AFTER
from crankchute.ports.http import ResponseSink

_TRUE_FLAG = '1'


class _NullListener:
    """Ignores all notices; used until a listener is set."""

    def record_sent(self, backend):
        """See ServerNotices."""

    def take(self, backend, notice, sent_ms):
        """See ServerNotices."""

    def record_moved(self, backend):
        """See ServerNotices."""


class ServerCalls:
    """Sends requests to backend servers over HTTP.

    Attributes:
      listener: The ServerNotices that are told of each call and response.
    """

    def __init__(self, client, clock):
        """Create the adapter.

        Args:
          client: An HttpClient.
          clock: A Clock.
        """
        self._client = client
        self._clock = clock
        self.listener = _NullListener()

    def send(self, backend, request, sink, options):
        """Start a call; see HttpClient.send.

        Args:
          backend: The Backend to call.
          request: The bytes of the whole request.
          sink: A ResponseSink.
          options: CallOptions with the attribution of the answer.
        Returns:
          An HttpCall.
        """
        notice_sink = _NoticeSink(sink, backend, self.listener)
        notice_sink.sent_ms = self._clock.now_ms()
        self.listener.record_sent(backend)
        notice_sink.call = self._client.send(
            backend.listed.address,
            request,
            notice_sink,
            options,
        )
        return notice_sink.call


class _NoticeSink(ResponseSink):
    """Passes a response on and reports the server's notice to a listener."""

    __slots__ = ('_backend', '_listener', '_sink', 'call', 'sent_ms')

    def __init__(self, sink, backend, listener):
        self._sink = sink
        self._backend = backend
        self._listener = listener
        self.call = None
        self.sent_ms = None

    def on_head(self, status, headers):
        """See ResponseSink.

        The listener is told first, so that a retry after a rejection already
        takes the notice into account.
        """
        notice = parse_notice(status, headers, self._find_limit_values(headers))
        self._listener.take(self._backend, notice, self.sent_ms)
        self._sink.on_head(status, headers)

    def on_body(self, chunk):
        """See ResponseSink."""
        self._sink.on_body(chunk)

    def on_done(self):
        """See ResponseSink."""
        self._sink.on_done()

    def on_error(self, exc):
        """See ResponseSink."""
        self._sink.on_error(exc)

    def _find_limit_values(self, headers):
        """Return the values of all limit headers; the map has only the last."""
        if LIMIT not in headers:
            return ()
        return [
            text.decode('latin-1')
            for name, text in self.call.raw_headers
            if name.lower() == LIMIT.encode()
        ]


def parse_notice(status, headers, limits=()):
    """Return the notice in the head of a backend server's response.

    Args:
      status: The HTTP status, an int.
      headers: A map of lower-case names to strings.
      limits: The values of all limit headers, strings.
    Returns:
      A ServerNotice.
    """
    is_leaving = headers.get(LEAVING, '').strip() == _TRUE_FLAG
    pause_ms = 0
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        pause_ms = read_retry_after_ms(headers.get(RETRY_AFTER))
    return ServerNotice(
        is_leaving=is_leaving,
        pause_ms=pause_ms,
        limits=parse_limits(limits),
        cold_ms=_parse_cold_ms(status, headers),
    )


def _parse_cold_ms(status, headers):
    """Return the longest cold time in a response, None if it has none."""
    if status == HTTPStatus.MISDIRECTED_REQUEST or COLD_MS not in headers:
        # A misdirected request is answered by another server.
        return None
    times = parse_limits([headers[COLD_MS]])
    # A value that is no number neither sets nor ends the cold time.
    return max((one for one in times if one is not None), default=None)
