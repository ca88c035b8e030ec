"""Calls of the platform's backend servers, and what each answer says of them.

A server may say in any answer (to a request, an order, or a question for its
report) that it leaves or takes only so many requests, and with a 503 that it
wants rest.  All calls of servers
go through here, so that no kind of answer is read without that.
"""

from http import HTTPStatus

from crankchute.adapters.retry_after import read_retry_after_ms
from crankchute.core.server_notice import ServerNotice
from crankchute.platform.named_limits import read_limits
from crankchute.platform.wire import LEAVING, LIMIT, RETRY_AFTER
from crankchute.ports.http import ResponseSink

_YES = '1'


class ServerCalls:
    """Sends requests to backend servers over HTTP.

    Attributes:
      on_notice: A function of a Backend and its ServerNotice, or None.
    """

    def __init__(self, client):
        """Create the adapter.

        Args:
          client: An HttpClient.
        """
        self._client = client
        self.on_notice = None

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
        watched = _NoticingSink(sink, backend, self._take)
        watched.call = self._client.send(
            backend.listed.address,
            payload,
            watched,
            options,
        )
        return watched.call

    def _take(self, backend, notice):
        if self.on_notice is not None:
            self.on_notice(backend, notice)


class _NoticingSink(ResponseSink):
    """Hands a response on, and what its head says of the server."""

    __slots__ = ('_backend', '_on_notice', '_sink', 'call')

    def __init__(self, sink, backend, on_notice):
        self._sink = sink
        self._backend = backend
        self._on_notice = on_notice
        self.call = None

    def on_head(self, status, headers):
        """See ResponseSink; who chooses another server knows it by then."""
        notice = read_notice(status, headers, self._list_limits(headers))
        if notice.says_anything:
            self._on_notice(self._backend, notice)
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
        limits=read_limits(limits),
    )
