"""A ForwardPort to plain services over HTTP; its jobs hold a ServiceCall."""

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.adapters.retry_after import read_retry_after_ms
from crankchute.core.forward_job import RetryMode
from crankchute.ports.forwarding import AnswerHead, ForwardPort, Rejection
from crankchute.ports.http import WholeResponse

KEY_HEADER = 'Crankchute-Key'
#: Response header of a backend server that did not start the call.
NOT_RUN_HEADER = 'crankchute-not-run'
_CONTENT_TYPE_HEADER = 'content-type'
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


class HttpServices(ForwardPort):
    """Calls plain services over HTTP."""

    def __init__(self, client):
        """Create the adapter.

        Args:
          client: An HttpClient.
        """
        self._client = client

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        call = job.payload
        headers = []
        if call.content_type:
            headers.append(('Content-Type', call.content_type))
        if call.key:
            headers.append((KEY_HEADER, call.key))
        address = placement.backend.listed.address
        payload = build_request(
            call.method,
            address,
            call.path,
            call.body,
            headers,
        )

        def on_response(status, body):
            if NOT_RUN_HEADER in sink.headers:
                listener.on_not_run(_read_rejection(sink.headers))
                return
            content_type = sink.headers.get(
                _CONTENT_TYPE_HEADER, _DEFAULT_CONTENT_TYPE
            )
            headers = [(_CONTENT_TYPE_HEADER, content_type)]
            listener.on_head(AnswerHead(status, headers))
            listener.on_body(body)
            listener.on_end()

        sink = WholeResponse(on_response, listener.on_failed)
        options = CallOptions(fresh=job.repeat == RetryMode.ONCE)
        return self._client.send(address, payload, sink, options)

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        self._client.ask_listening(backend.listed.address, on_known)


def _read_rejection(headers):
    pause_ms = read_retry_after_ms(headers.get('retry-after'))
    return Rejection('backend_refused', retry_after_ms=pause_ms or None)
