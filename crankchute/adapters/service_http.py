"""Plain services over HTTP: the adapter of ServicePort."""

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.core.service_flow import ServiceAnswer
from crankchute.ports.http import WholeResponse
from crankchute.ports.services import ServicePort

KEY_HEADER = 'Crankchute-Key'
#: A backend server sets this header when a call did not start there.
NOT_RUN_HEADER = 'crankchute-not-run'
_OCTETS = 'application/octet-stream'


class HttpServices(ServicePort):
    """Calls plain services over HTTP."""

    def __init__(self, client):
        """Create the adapter.

        Args:
          client: An HttpClient.
        """
        self._client = client

    def send(self, backend, call, listener):
        """See ServicePort."""
        headers = []
        if call.content_type:
            headers.append(('Content-Type', call.content_type))
        if call.key:
            headers.append((KEY_HEADER, call.key))
        address = backend.listed.address
        payload = build_request(
            call.method,
            address,
            call.path,
            call.body,
            headers,
        )

        def take(status, body):
            if NOT_RUN_HEADER in sink.headers:
                listener.on_not_run('the backend server did not start it')
                return
            content_type = sink.headers.get('content-type', _OCTETS)
            listener.on_answer(ServiceAnswer(status, content_type, body))

        sink = WholeResponse(take, listener.on_failed)
        fresh = not call.repeatable
        options = CallOptions(fresh=fresh)
        return self._client.send(address, payload, sink, options)
