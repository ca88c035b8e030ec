"""A call of a plain service from the caller's side.

A call that may not be repeated is bound to the incarnation that gave the
address answer.  The same key may be submitted again, to learn what became of
it; a new binding is taken only when every submission is known not to have
been passed on.
"""

import secrets
from http import HTTPStatus

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.client.completion_call import read_refusal
from crankchute.client.results import (
    CallResult,
    describe_failure,
    describe_refusal,
)
from crankchute.client.timed_call import TimedCall
from crankchute.core.outcomes import Outcome
from crankchute.ports.http import WholeResponse

KEY_HEADER = 'Crankchute-Key'
_PAUSE_MS = 100
_MARGIN_MS = 20
_MOST_SUBMISSIONS = 4
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
_ERROR_MARK = b'"outcome"'


class ServiceRequest:
    """What is asked of a plain service."""

    __slots__ = ('body', 'method', 'path', 'pool', 'repeatable')

    def __init__(self, pool, method, path, body=b''):
        """Create the request.

        Args:
          pool: The pool's name.
          method: The HTTP method; all but GET and HEAD are not repeatable.
          path: The path at the service, with a leading slash.
          body: Bytes.
        """
        self.pool = pool
        self.method = method
        self.path = path
        self.body = body
        self.repeatable = method in {'GET', 'HEAD'}


class BoundCall(TimedCall):
    """One call of a plain service."""

    def __init__(self, parts, request, options, on_end):
        """Create the call; start() submits it.

        Args:
          parts: The Caller.
          request: A ServiceRequest.
          options: CallOptions.
          on_end: A function of a CallResult, called once.
        """
        super().__init__(parts, options, on_end)
        self._request = request
        self._submissions = 0
        self._may_have_run = False
        self._key = None
        self._bound = None
        self._http_call = None

    def start(self):
        """Submit the call."""
        self.watch_deadline(self._on_deadline)
        self._bind()

    def finish(self, end):
        """Tell the end, with the key that was last submitted."""
        end.key = self._key
        super().finish(end)

    def _bind(self):
        """Take an address, and a new key unless the call is repeatable."""
        if not self.is_over:
            self._parts.book.get(self._on_address)

    def _on_address(self, address):
        if self.is_over:
            return
        self._submissions = 0
        if not self._request.repeatable:
            self._take_key()
            address = self._bound
        self._send(address)

    def _take_key(self):
        binding = self._parts.book.binding
        self._bound = binding.address
        self._key = binding.make_key(
            secrets.token_hex(8),
            self._options.deadline_ms,
            self._parts.now_ms(),
        )

    def _send(self, address):
        self._tries += 1
        self._submissions += 1
        request = self._request
        path = f'/v1/services/{request.pool}{request.path}'
        remaining_ms = int(self.remaining_ms() - _MARGIN_MS)
        headers = self._parts.headers(
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
            lambda exc: self._on_broken(address, exc),
        )
        fresh = not request.repeatable
        self._http_call = self._parts.http.send(
            address,
            payload,
            sink,
            CallOptions(fresh=fresh),
        )

    def _on_response(self, status, body):
        self._http_call = None
        if status in _REFUSAL_STATUSES and _ERROR_MARK in body:
            self._on_refused(read_refusal(body))
            return
        end = CallResult(Outcome.OK)
        end.status = status
        end.body = body
        self.finish(end)

    def _on_refused(self, refusal):
        if refusal.passed_on:
            self._may_have_run = True
        if self._may_have_run and not self._request.repeatable:
            end = describe_refusal(refusal)
            end.outcome = _worst(refusal.outcome)
            self.finish(end)
            return
        hint_ms = refusal.retry_after_ms
        is_lost = refusal.code == 'binding_lost'
        if is_lost:
            hint_ms = _PAUSE_MS
        if hint_ms is None or hint_ms >= self.remaining_ms():
            self.finish(describe_refusal(refusal))
            return
        self._parts.book.expire()
        self._parts.timers.after(hint_ms, self._bind)

    def _on_broken(self, address, exc):
        self._http_call = None
        self._parts.book.distrust(address)
        if exc.sent:
            self._may_have_run = True
        if self._request.repeatable or not self._may_have_run:
            self._parts.timers.after(_PAUSE_MS, self._bind)
            return
        self._parts.timers.after(_PAUSE_MS, self._ask_again)

    def _ask_again(self):
        """Submit the same key again, to learn what became of it."""
        if self.is_over:
            return
        if self._submissions >= _MOST_SUBMISSIONS:
            self.finish(_lost())
            return
        addresses = [
            self._bound,
            *self._parts.book.other_addresses(self._bound),
        ]
        turn = self._submissions % len(addresses)
        self._send(addresses[turn])

    def _on_deadline(self):
        if self._http_call is not None:
            self._http_call.cancel()
        has_sent = self._http_call is not None or self._may_have_run
        outcome = Outcome.UNKNOWN if has_sent else Outcome.NOT_RUN
        text = 'the deadline passed without an answer'
        self.finish(describe_failure(outcome, 'deadline_exceeded', text))


def _worst(outcome):
    """Return what may be said when an earlier submission may have run."""
    return Outcome.UNKNOWN if outcome == Outcome.NOT_RUN else outcome


def _lost():
    return describe_failure(
        Outcome.UNKNOWN,
        'binding_lost',
        'the bound instance does not answer; the call may have run',
    )
