"""Sends requests to backend servers over HTTP; implements ForwardPort."""

from http import HTTPStatus

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request_parts
from crankchute.adapters.log import log_change
from crankchute.core.event_stream import EventSplitter
from crankchute.core.forward_job import RetryMode
from crankchute.errors import BackendError
from crankchute.platform.answer_attribution import RequestIdAttribution
from crankchute.platform.engine_reports import parse_load_header
from crankchute.platform.server_calls import parse_notice
from crankchute.platform.wire import (
    ACCOUNT,
    DEADLINE_MS,
    FAULTY_SERVER,
    HELPERS,
    LAST_EVENT,
    NOT_RUN,
    PRIORITY,
    REQUEST_ID,
    SIGNATURE,
    TARGET_INCARNATION,
    TOLD_LOAD,
    drop_connection_headers,
)
from crankchute.ports.forwarding import (
    MOVED,
    AnswerHead,
    ForwardPort,
    Rejection,
)
from crankchute.ports.http import MAX_BUFFERED_BODY, ResponseSink

#: Connect timeout; round trips between zones take about a millisecond.
CONNECT_TIMEOUT_MS = 400
#: The same for a probe, on whose result requests wait.
_PROBE_TIMEOUT_MS = 300
#: The longest idle time of a reused connection.  It is shorter for requests
#: that must not be repeated: a server may close an idle connection at any time.
#: A stated keep-alive does not extend it, since a server that shuts down or
#: whose host fails does not keep to it, and the request would be lost.
_NON_REPEATABLE_MAX_IDLE_MS = 700
_REPEATABLE_MAX_IDLE_MS = 8000
_FIRST_REDIRECT_STATUS = 300
#: Statuses that tell a caller that its request was not executed.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class AttemptResponseSink(ResponseSink):
    """Decodes the response to one attempt and reports it to the listener."""

    __slots__ = (
        '_event_parser',
        '_is_stream',
        '_job',
        '_listener',
        '_ended',
        '_rejection',
        '_size',
        'call',
    )

    def __init__(self, job, listener):
        """Create the sink.

        Args:
          job: The ForwardJob.
          listener: An AttemptListener.
        """
        self._job = job
        self._listener = listener
        self._event_parser = EventSplitter()
        self._is_stream = False
        self._rejection = None
        self._size = 0
        self._ended = False
        self.call = None

    def on_head(self, status, headers):
        """See ResponseSink."""
        rejection = _parse_rejection(status, headers)
        if rejection is not None:
            self._rejection = rejection
            self._log_head('server_rejected', status, headers)
            return
        error = _find_protocol_error(status, headers, self._job.request_id)
        if error is not None:
            self._log_head('answer_invalid', status, headers)
            self._fail(error)
            return
        head = AnswerHead(
            status,
            self.list_headers(),
            parse_load_header(headers.get(TOLD_LOAD)),
            ends_with_connection=self.call.ends_with_connection,
        )
        self._is_stream = self._job.is_stream and head.is_success
        self._listener.on_head(head)

    def on_body(self, chunk):
        """See ResponseSink."""
        if self._ended:
            return
        if self._is_stream and self._rejection is None:
            self._emit_events(chunk)
            return
        self._size += len(chunk)
        if self._size > MAX_BUFFERED_BODY:
            raise BackendError('the answer is too large', sent=True)
        if self._rejection is None:
            self._listener.on_body(chunk)

    def on_done(self):
        """See ResponseSink."""
        if self._ended:
            return
        self._ended = True
        if self._rejection:
            self._listener.on_not_run(self._rejection)
        elif self._event_parser.has_partial_event:
            text = 'the stream ended within an event'
            self._listener.on_failed(
                BackendError(text, sent=True, connection_lost=True)
            )
        else:
            self._listener.on_end()

    def on_error(self, exc):
        """See ResponseSink."""
        if self._ended:
            return
        self._ended = True
        if self._rejection is not None:
            # The head already says that the request was not executed.
            self._listener.on_not_run(self._rejection)
            return
        self._listener.on_failed(exc)

    def list_headers(self):
        """Return the response's headers to forward, pairs of strings."""
        raw_headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in self.call.raw_headers
        ]
        return drop_connection_headers(raw_headers)

    def _emit_events(self, chunk):
        for event in self._event_parser.feed(chunk):
            self._listener.on_event(event)

    def _log_head(self, kind, status, headers):
        """Log a head that ends the attempt, and whose request it answers."""
        host, port = self.call.address
        log_change(
            kind,
            failed=True,
            request=self._job.request_id,
            answer_to=headers.get(REQUEST_ID),
            address=f'{host}:{port}',
            status=status,
            reused=not self.call.is_new,
        )

    def _fail(self, reason):
        self._ended = True
        if self.call is not None:
            self.call.cancel()
        self._listener.on_failed(BackendError(reason, sent=True))


class BackendCalls(ForwardPort):
    """Sends jobs to backend servers over HTTP."""

    def __init__(self, client, calls, relays=None):
        """Create the adapter.

        Args:
          client: An HttpClient.
          calls: The ServerCalls on that client.
          relays: The RelayCalls, or None if no request is relayed.
        """
        self._client = client
        self._calls = calls
        self._relays = relays

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        if placement.is_relayed:
            return self._relays.send(job, placement, attempt, listener)
        payload = job.payload
        headers = list(payload.headers)
        headers.extend(_build_headers(job, placement, attempt))
        backend = placement.backend
        request = build_request_parts(
            payload.method,
            backend.listed.address,
            payload.target,
            payload.body,
            headers,
        )
        options = CallOptions(
            idle_ms=choose_max_idle_ms(job),
            connect_ms=CONNECT_TIMEOUT_MS,
            attribution=RequestIdAttribution(job.request_id),
        )
        sink = AttemptResponseSink(job, listener)
        sink.call = self._calls.send(backend, request, sink, options)
        return sink.call

    def is_connected(self, backend):
        """See ForwardPort."""
        return self._client.rests_at(backend.listed.address)

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        self._client.ask_listening(backend.listed.address, on_known)

    def probe(self, backend, on_known):
        """See ForwardPort."""
        self._client.ask_listening(
            backend.listed.address,
            on_known,
            timeout_ms=_PROBE_TIMEOUT_MS,
        )

    def forget(self, backend):
        """See ForwardPort."""
        self._client.close_idle(backend.listed.address)


def choose_max_idle_ms(job):
    """Return how long a connection that a request reuses may have been idle.

    Args:
      job: A ForwardJob.
    """
    if job.repeat == RetryMode.ONCE:
        return _NON_REPEATABLE_MAX_IDLE_MS
    return _REPEATABLE_MAX_IDLE_MS


def _build_headers(job, placement, attempt):
    remaining_ms = max(int(attempt.remaining_ms), 1)
    headers = [
        (DEADLINE_MS, str(remaining_ms)),
        (TARGET_INCARNATION, placement.backend.listed.listed_id),
    ]
    if job.account is not None:
        headers.append((ACCOUNT, job.account))
    if attempt.resume_after is not None:
        headers.append((LAST_EVENT, str(attempt.resume_after)))
    if job.size is not None:
        headers.append((PRIORITY, str(placement.priority)))
    if placement.helpers:
        helpers = ','.join(
            _format_helper(helper) for helper in placement.helpers
        )
        headers.append((HELPERS, helpers))
    return headers


def _format_helper(helper):
    host, port = helper.backend.listed.address
    address = f'{host}:{port}'
    return address if helper.ticket is None else f'{address}/{helper.ticket}'


def _parse_rejection(status, headers):
    """Return the Rejection of a response head, or None if it is accepted."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Rejection(MOVED, headers.get(FAULTY_SERVER))
    if NOT_RUN in headers:
        is_full = status == HTTPStatus.SERVICE_UNAVAILABLE
        return Rejection(
            'full' if is_full else 'rejected',
            headers.get(FAULTY_SERVER),
            parse_notice(status, headers).pause_ms,
        )
    return None


def _find_protocol_error(status, headers, request_id):
    """Return why a response head is invalid, or None if it is valid."""
    if headers.get(REQUEST_ID) != request_id:
        return 'the answer belongs to another request'
    if SIGNATURE not in headers and status < _FIRST_REDIRECT_STATUS:
        return 'the answer is not signed'
    if status in _NOT_EXECUTED_STATUSES:
        return f'the server answered {status} without saying that it did not run it'
    return None
