"""Calls of the platform's backend servers, and what each answer says of them.

A server may say in any answer (to a request, an order, or a question for its
report) that it leaves, and with a 503 that it wants rest.  All calls of servers
go through here, so that no kind of answer is read without that.
"""

from http import HTTPStatus

from crankchute.adapters.retry_after import read_retry_after_ms
from crankchute.core.server_notice import ServerNotice
from crankchute.platform.wire import LEAVING, RETRY_AFTER
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
        return self._client.send(
            backend.listed.address,
            payload,
            watched,
            options,
        )

    def _take(self, backend, notice):
        if self.on_notice is not None:
            self.on_notice(backend, notice)


class _NoticingSink(ResponseSink):
    """Hands a response on, and what its head says of the server."""

    __slots__ = ('_backend', '_on_notice', '_sink')

    def __init__(self, sink, backend, on_notice):
        self._sink = sink
        self._backend = backend
        self._on_notice = on_notice

    def on_head(self, status, headers):
        """See ResponseSink; who chooses another server knows it by then."""
        notice = read_notice(status, headers)
        if notice is not None:
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


def read_notice(status, headers):
    """Return what a head says of the server that sent it, or None.

    Args:
      status: The HTTP status, an int.
      headers: A map of names in lower case to strings.
    Returns:
      A ServerNotice, or None if the server says nothing of itself.
    """
    is_leaving = headers.get(LEAVING, '').strip() == _YES
    rest_ms = 0
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        rest_ms = read_retry_after_ms(headers.get(RETRY_AFTER))
    if not is_leaving and not rest_ms:
        return None
    return ServerNotice(is_leaving=is_leaving, rest_ms=rest_ms)
