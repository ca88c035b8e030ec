"""The adapter of EnginePort, which calls model engines over HTTP."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.adapters.sse import EventReader
from crankchute.core.frames import Frame
from crankchute.errors import BackendError
from crankchute.ports.engines import EnginePort, SegmentExport
from crankchute.ports.http import (
    MAX_BUFFERED_BODY,
    ResponseSink,
    WholeResponse,
)

_POST = 'POST'


class StreamSink(ResponseSink):
    """Converts the events of a response stream into frames."""

    __slots__ = ('_body', '_listener', '_reader', '_status', 'call')

    def __init__(self, listener):
        """Create the sink.

        Args:
          listener: An EngineListener.
        """
        self._listener = listener
        self._reader = EventReader()
        self._status = None
        self._body = []
        self.call = None

    def on_head(self, status, headers):
        """See ResponseSink."""
        self._status = status

    def on_body(self, chunk):
        """See ResponseSink."""
        if self._status != HTTPStatus.OK:
            self._record_body(chunk)
            return
        try:
            documents = self._reader.feed(chunk)
        except orjson.JSONDecodeError as exc:
            self._abort(f'malformed event: {exc}')
            return
        for document in documents:
            self._listener.on_frame(read_frame(document))

    def on_done(self):
        """See ResponseSink; a complete stream has ended before this."""
        if self._status == HTTPStatus.OK:
            message = 'the stream ended without its mark'
            self._listener.on_failed(
                BackendError(message, sent=True, connection_lost=True)
            )
        elif self._status == HTTPStatus.CONFLICT:
            error = orjson.loads(b''.join(self._body))
            retry_after_ms = error['retry_after_ms']
            self._listener.on_refused(error['code'], retry_after_ms)
        else:
            message = f'the engine answered {self._status}'
            self._listener.on_failed(BackendError(message, sent=True))

    def on_error(self, exc):
        """See ResponseSink."""
        self._listener.on_failed(exc)

    def _record_body(self, chunk):
        self._body.append(chunk)
        if sum(map(len, self._body)) > MAX_BUFFERED_BODY:
            raise BackendError('the body is too large', sent=True)

    def _abort(self, message):
        if self.call is not None:
            self.call.cancel()
        self._listener.on_failed(BackendError(message, sent=True))


class HttpEngines(EnginePort):
    """Calls engines over HTTP."""

    def __init__(self, client):
        """Create the adapter.

        Args:
          client: An HttpClient.
        """
        self._client = client

    def generate(self, backend, order, listener):
        """See EnginePort."""
        document = {
            'request_id': order.request_id,
            'attempt': order.attempt,
            'model': order.model,
            'prompt': order.prompt.decode(),
            'max_tokens': order.max_tokens,
            'offset': order.offset,
            'priority': order.priority,
            'deadline_ms': order.deadline_ms,
            'group': order.group,
            'imports': [_write_export(export) for export in order.imports],
        }
        sink = StreamSink(listener)
        sink.call = self._post(backend, '/v1/generate', document, sink)
        return sink.call

    def ask_listening(self, backend, on_known):
        """See EnginePort."""
        self._client.ask_listening(backend.listed.address, on_known)

    def hold(self, backend, order, on_done):
        """See EnginePort."""
        document = {
            'group': order.group,
            'tokens': order.tokens,
            'deadline_ms': order.deadline_ms,
        }
        sink = WholeResponse(
            lambda status, _body: on_done(status == HTTPStatus.OK),
            lambda _exc: on_done(False),
        )
        self._post(backend, '/v1/holds', document, sink)

    def release(self, backend, group, on_done):
        """See EnginePort."""
        sink = WholeResponse(
            lambda _status, _body: on_done(True),
            lambda _exc: on_done(False),
        )
        document = {'group': group}
        self._post(backend, '/v1/holds/release', document, sink)

    def prefill(self, backend, order, on_done):
        """See EnginePort."""
        document = {
            'group': order.group,
            'index': order.index,
            'model': order.model,
            'prompt': order.prompt.decode(),
            'carry': order.carry,
            'priority': order.priority,
            'deadline_ms': order.deadline_ms,
        }

        def on_response(status, body):
            if status != HTTPStatus.OK:
                on_done(None)
                return
            carry = orjson.loads(body)['carry']
            address = backend.listed.address
            export = SegmentExport(address, order.group, order.index, carry)
            on_done(export)

        sink = WholeResponse(on_response, lambda _exc: on_done(None))
        return self._post(backend, '/v1/segments', document, sink)

    def _post(self, backend, path, document, sink):
        address = backend.listed.address
        body = orjson.dumps(document)
        payload = build_request(_POST, address, path, body)
        return self._client.send(address, payload, sink)


def read_frame(document):
    """Return the Frame in an event of an engine.

    Args:
      document: A map; missing fields yield a frame that matches no attempt.
    """
    return Frame(
        document.get('id'),
        document.get('attempt'),
        document.get('boot'),
        offset=document.get('offset', 0),
        tokens=document.get('tokens', []),
        count=document.get('count'),
    )


def _write_export(export):
    return {
        'address': export.address,
        'group': export.group,
        'index': export.index,
        'carry': export.carry,
    }
