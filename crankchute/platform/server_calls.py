"""Calls of the platform's backend servers, and what each answer says of them.

A server may say in any answer (to a request, an order, or a question for its
report) that it leaves or takes only so many requests, and with a 503 that it
wants rest.  All calls of servers
go through here, so that no kind of answer is read without that.
"""

from http import HTTPStatus

from crankchute.adapters.retry_after import read_retry_after_ms
from crankchute.core.server_notice import ServerNotice
from crankchute.platform.named_limits import parse_limits
from crankchute.platform.wire import LEAVING, LIMIT, RETRY_AFTER
from crankchute.ports.http import ResponseSink

_YES = '1'


class _Ignorant:
    """Takes nothing, where nobody listens."""

    def note_sent(self, backend):
        """See ServerNotices."""

    def take(self, backend, notice, sent_ms):
        """See ServerNotices."""


class ServerCalls:
    """Sends requests to backend servers over HTTP.

    Attributes:
      listener: The ServerNotices, which take what is sent and what answers say.
    """

    def __init__(self, client, clock):
        """Create the adapter.

        Args:
          client: An HttpClient.
          clock: A Clock.
        """
        self._client = client
        self._clock = clock
        self.listener = _Ignorant()

    def send(self, backend, payload, sink, options):
        """Start a call; see HttpClient.send.

        Args:
          backend: The Backend that is called.
          payload: The bytes of the whole request.
          sink: A ResponseSink.
          options: CallOptions.
        Returns:
          An HttpCall.
        """
        watched = _NoticingSink(sink, backend, self.listener)
        watched.sent_ms = self._clock.now_ms()
        self.listener.note_sent(backend)
        watched.call = self._client.send(
            backend.listed.address,
            payload,
            watched,
            options,
        )
        return watched.call


class _NoticingSink(ResponseSink):
    """Hands a response on, and what its head says of the server."""

    __slots__ = ('_backend', '_listener', '_sink', 'call', 'sent_ms')

    def __init__(self, sink, backend, listener):
        self._sink = sink
        self._backend = backend
        self._listener = listener
        self.call = None
        self.sent_ms = None

    def on_head(self, status, headers):
        """See ResponseSink; who chooses another server knows it by then."""
        notice = read_notice(status, headers, self._list_limits(headers))
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

    def _list_limits(self, headers):
        """Return the texts of all limit headers; the map keeps the last."""
        if LIMIT not in headers:
            return ()
        return [
            text.decode('latin-1')
            for name, text in self.call.raw_headers
            if name.lower() == LIMIT.encode()
        ]


def read_notice(status, headers, limits=()):
    """Return what a head says of the server that sent it.

    Args:
      status: The HTTP status, an int.
      headers: A map of names in lower case to strings.
      limits: The texts of all its limit headers, strings.
    Returns:
      A ServerNotice.
    """
    is_leaving = headers.get(LEAVING, '').strip() == _YES
    rest_ms = 0
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        rest_ms = read_retry_after_ms(headers.get(RETRY_AFTER))
    return ServerNotice(
        is_leaving=is_leaving,
        rest_ms=rest_ms,
        limits=parse_limits(limits),
    )
