"""Calls of plain services.

A non-idempotent call carries a request key that is bound to one entry process.
Submitting the key again returns the recorded outcome instead of running the
call twice.  A new key is made only if no submission reached a backend server.
"""

import secrets
from http import HTTPStatus

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.client.completion_call import read_refusal
from crankchute.client.results import (
    CallResult,
    make_failure_result,
    make_refusal_result,
)
from crankchute.client.timed_call import TimedCall
from crankchute.core.outcomes import Outcome
from crankchute.ports.http import WholeResponse

KEY_HEADER = 'Crankchute-Key'
_RETRY_DELAY_MS = 100
#: Subtracted from the deadline in the request, so that the server's error
#: arrives before the client's own deadline.
_DEADLINE_MARGIN_MS = 20
_MAX_SUBMISSIONS = 4
_REFUSAL_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
_ERROR_FIELD = b'"outcome"'


class ServiceRequest:
    """A request to a plain service."""

    __slots__ = ('body', 'is_idempotent', 'method', 'path', 'pool')

    def __init__(self, pool, method, path, body=b''):
        """Create the request.

        Args:
          pool: The pool's name.
          method: The HTTP method; GET and HEAD count as idempotent.
          path: The path on the service, with a leading slash.
          body: The request body, bytes.
        """
        self.pool = pool
        self.method = method
        self.path = path
        self.body = body
        self.is_idempotent = method in {'GET', 'HEAD'}


class ServiceCall(TimedCall):
    """One call of a plain service."""

    def __init__(self, client, request, options, on_result):
        """Create the call; start() submits it.

        Args:
          client: The client.
          request: A ServiceRequest.
          options: CallOptions.
          on_result: A function of a CallResult, called once.
        """
        super().__init__(client, options, on_result)
        self._request = request
        self._submission_count = 0
        self._may_have_run = False
        self._key = None
        self._bound_address = None
        self._http_call = None

    def start(self):
        """Submit the call."""
        self.start_deadline_timer(self._on_deadline)
        self._bind()

    def finish(self, call_result):
        """Add the last submitted key to the result, and report it."""
        call_result.key = self._key
        super().finish(call_result)

    def _bind(self):
        """Get an address, and make a new key if the call needs one."""
        if not self.is_finished:
            self._client.addresses.get(self._on_address)

    def _on_address(self, address):
        if self.is_finished:
            return
        self._submission_count = 0
        if not self._request.is_idempotent:
            self._make_key()
            address = self._bound_address
        self._send(address)

    def _make_key(self):
        binding = self._client.addresses.binding
        self._bound_address = binding.address
        self._key = binding.format_key(
            secrets.token_hex(8),
            self._options.deadline_ms,
            self._client.now_ms(),
        )

    def _send(self, address):
        self._attempt_count += 1
        self._submission_count += 1
        request = self._request
        path = f'/v1/services/{request.pool}{request.path}'
        remaining_ms = int(self.remaining_ms() - _DEADLINE_MARGIN_MS)
        headers = self._client.headers(
            self._options.workload,
            max(remaining_ms, 1),
        )
        headers.append(('Content-Type', 'application/json'))
        if self._key is not None:
            headers.append((KEY_HEADER, self._key))
        payload = build_request(
            request.method,
            address,
            path,
            request.body,
            headers,
        )
        sink = WholeResponse(
            self._on_response,
            lambda exc: self._on_connection_failed(address, exc),
        )
        fresh = not request.is_idempotent
        self._http_call = self._client.http.send(
            address,
            payload,
            sink,
            CallOptions(fresh=fresh),
        )

    def _on_response(self, status, body):
        self._http_call = None
        if status in _REFUSAL_STATUSES and _ERROR_FIELD in body:
            self._on_refused(read_refusal(body))
            return
        call_result = CallResult(Outcome.OK)
        call_result.status = status
        call_result.body = body
        self.finish(call_result)

    def _on_refused(self, refusal):
        if refusal.passed_on:
            self._may_have_run = True
        if self._may_have_run and not self._request.is_idempotent:
            call_result = make_refusal_result(refusal)
            call_result.outcome = _weaken_outcome(refusal.outcome)
            self.finish(call_result)
            return
        delay_ms = refusal.retry_after_ms
        is_binding_lost = refusal.code == 'binding_lost'
        if is_binding_lost:
            delay_ms = _RETRY_DELAY_MS
        if delay_ms is None or delay_ms >= self.remaining_ms():
            self.finish(make_refusal_result(refusal))
            return
        self._client.addresses.invalidate()
        self._client.timers.after(delay_ms, self._bind)

    def _on_connection_failed(self, address, exc):
        self._http_call = None
        self._client.addresses.mark_failed(address)
        if exc.sent:
            self._may_have_run = True
        if self._request.is_idempotent or not self._may_have_run:
            self._client.timers.after(_RETRY_DELAY_MS, self._bind)
            return
        self._client.timers.after(_RETRY_DELAY_MS, self._resubmit)

    def _resubmit(self):
        """Submit the same key again to learn the outcome of the call."""
        if self.is_finished:
            return
        if self._submission_count >= _MAX_SUBMISSIONS:
            self.finish(_make_lost_result())
            return
        addresses = [
            self._bound_address,
            *self._client.addresses.other_addresses(self._bound_address),
        ]
        address_index = self._submission_count % len(addresses)
        self._send(addresses[address_index])

    def _on_deadline(self):
        if self._http_call is not None:
            self._http_call.cancel()
        has_sent = self._http_call is not None or self._may_have_run
        outcome = Outcome.UNKNOWN if has_sent else Outcome.NOT_RUN
        text = 'the deadline passed before the response'
        self.finish(make_failure_result(outcome, 'deadline_exceeded', text))


def _weaken_outcome(outcome):
    """Replace NOT_RUN by UNKNOWN: an earlier submission may have run."""
    return Outcome.UNKNOWN if outcome == Outcome.NOT_RUN else outcome


def _make_lost_result():
    return make_failure_result(
        Outcome.UNKNOWN,
        'binding_lost',
        'the bound instance does not respond; the call may have run',
    )
