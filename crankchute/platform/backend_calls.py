"""Requests to the platform's backend servers: the adapter of ForwardPort."""

from http import HTTPStatus

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.core.event_stream import EventCutter
from crankchute.core.forward_job import Repeat
from crankchute.errors import BackendError
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
from crankchute.ports.http import ResponseSink

#: How long opening a connection may take; zones are a millisecond apart.
_CONNECT_MS = 400
#: A request that may start once goes on a kept connection only if that was
#: used this lately: a server may close one that rests at any time.
_ONCE_IDLE_MS = 700
_REPEATABLE_IDLE_MS = 8000
_FIRST_REDIRECT = 300
#: Statuses that promise a caller that its request did not run.
_PROMISES = frozenset((408, 421, 429, 503))


class AnswerReader(ResponseSink):
    """Decodes the answer to one attempt for its listener."""

    __slots__ = (
        '_cutter',
        '_is_stream',
        '_job',
        '_listener',
        '_over',
        '_rejection',
        'call',
    )

    def __init__(self, job, listener):
        """Create the reader.

        Args:
          job: The ForwardJob.
          listener: An AttemptListener.
        """
        self._job = job
        self._listener = listener
        self._cutter = EventCutter()
        self._is_stream = False
        self._rejection = None
        self._over = False
        self.call = None

    def on_head(self, status, headers):
        """See ResponseSink."""
        rejection = _read_rejection(status, headers)
        if rejection is not None:
            self._rejection = rejection
            return
        fault = _find_fault(status, headers, self._job.request_id)
        if fault is not None:
            self._break_off(fault)
            return
        raw = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in self.call.raw_headers
        ]
        head = AnswerHead(
            status,
            drop_connection_headers(raw),
            parse_load_header(headers.get(TOLD_LOAD)),
        )
        self._is_stream = self._job.is_stream and head.is_success
        self._listener.on_head(head)

    def on_body(self, chunk):
        """See ResponseSink."""
        if self._over or self._rejection:
            return
        take = self._pass_events if self._is_stream else self._listener.on_body
        take(chunk)

    def on_done(self):
        """See ResponseSink."""
        if self._over:
            return
        self._over = True
        if self._rejection:
            self._listener.on_not_run(self._rejection)
        elif self._cutter.has_rest:
            text = 'the stream ended within an event'
            self._listener.on_failed(BackendError(text, sent=True, cut=True))
        else:
            self._listener.on_end()

    def on_error(self, exc):
        """See ResponseSink."""
        if self._over:
            return
        self._over = True
        if self._rejection is not None:
            # The head alone is the server's word.
            self._listener.on_not_run(self._rejection)
            return
        self._listener.on_failed(exc)

    def _pass_events(self, chunk):
        for event in self._cutter.feed(chunk):
            self._listener.on_event(event)

    def _break_off(self, text):
        self._over = True
        if self.call is not None:
            self.call.cancel()
        self._listener.on_failed(BackendError(text, sent=True))


class BackendCalls(ForwardPort):
    """Sends jobs to backend servers over HTTP."""

    def __init__(self, client, calls):
        """Create the adapter.

        Args:
          client: An HttpClient.
          calls: The ServerCalls on that client.
        """
        self._client = client
        self._calls = calls

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        payload = job.payload
        headers = list(payload.headers)
        headers.extend(_write_own_headers(job, placement, attempt))
        backend = placement.backend
        request = build_request(
            payload.method,
            backend.listed.address,
            payload.target,
            payload.body,
            headers,
        )
        may_start_once = job.repeat == Repeat.ONCE
        idle_ms = _ONCE_IDLE_MS if may_start_once else _REPEATABLE_IDLE_MS
        options = CallOptions(idle_ms=idle_ms, connect_ms=_CONNECT_MS)
        reader = AnswerReader(job, listener)
        reader.call = self._calls.send(backend, request, reader, options)
        return reader.call

    def is_connected(self, backend):
        """See ForwardPort."""
        return self._client.rests_at(backend.listed.address)

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        self._client.ask_listening(backend.listed.address, on_known)

    def forget(self, backend):
        """See ForwardPort."""
        self._client.close_idle(backend.listed.address)


def _write_own_headers(job, placement, attempt):
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
        helpers = ','.join(_write_helper(one) for one in placement.helpers)
        headers.append((HELPERS, helpers))
    return headers


def _write_helper(helper):
    host, port = helper.backend.listed.address
    address = f'{host}:{port}'
    return address if helper.ticket is None else f'{address}/{helper.ticket}'


def _read_rejection(status, headers):
    """Return the Rejection that a head is, or None."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Rejection(MOVED, headers.get(FAULTY_SERVER))
    if NOT_RUN in headers:
        full = status == HTTPStatus.SERVICE_UNAVAILABLE
        return Rejection(
            'full' if full else 'rejected',
            headers.get(FAULTY_SERVER),
            parse_notice(status, headers).rest_ms,
        )
    return None


def _find_fault(status, headers, request_id):
    """Return what speaks against a head, a string, or None."""
    if headers.get(REQUEST_ID) != request_id:
        return 'the answer belongs to another request'
    if SIGNATURE not in headers and status < _FIRST_REDIRECT:
        return 'the answer is not signed'
    if status in _PROMISES:
        return f'the server answered {status} without saying that it ran not'
    return None
