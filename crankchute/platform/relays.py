"""Relays callers' requests between instances over HTTP.

An instance without a path to the servers of a pool sends the request, as its
caller sent it, to an instance that reaches them.  That one checks the request
like any other and sends it to one server.  Retries, their budget, resumption
and the deadline stay with the instance that relays.  The connection between
them carries cancellation and backpressure.
"""

from http import HTTPStatus

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.core.forward_flow import AnswerReading
from crankchute.core.forward_job import RelayOrigin
from crankchute.core.outcomes import Outcome
from crankchute.core.relay import NO_PATH
from crankchute.errors import BackendError, RequestRefused
from crankchute.platform.answers import ExchangeAnswer, http_status_of
from crankchute.platform.backend_calls import (
    CONNECT_TIMEOUT_MS,
    AttemptResponseSink,
    choose_max_idle_ms,
)
from crankchute.platform.wire import (
    AUTHORIZATION,
    DEADLINE_MS,
    LAST_EVENT,
    REQUEST_ID,
)
from crankchute.ports.forwarding import Rejection

#: The id of the instance that relays the request.
_RELAYED_BY = 'relayed-by'
#: Ids of servers that must not get the request, separated by commas.
_AVOIDED = 'relay-avoided'
#: The id of the server that answered.
_SERVER = 'relay-server'
#: In responses of the other instance itself: what became of the request.
_OUTCOME = 'relay-outcome'
_CODE = 'relay-code'
_RETRY_MS = 'relay-retry-ms'
_REQUEST_HEADERS = frozenset((_RELAYED_BY, _AVOIDED))
_RESPONSE_HEADERS = frozenset((_SERVER, _OUTCOME, _CODE, _RETRY_MS))

#: No server got the request, but another instance may reach one.
_ELSEWHERE = 'elsewhere'
#: No server got the request, and other instances would refuse it as well.
_REFUSED = 'refused'
#: A server rejected the request without running it.
_REJECTED = 'rejected'
#: The request may have run.
_FAILED = 'failed'

#: The most requests that an instance serves for others at once.  With more, it
#: would delay its own callers, and the others should ask another instance.
_MAX_IN_PROGRESS = 64
_BUSY = 'relays_busy'


class RelayCalls:
    """Sends requests to other instances."""

    def __init__(self, client, instance):
        """Create the adapter.

        Args:
          client: An HttpClient.
          instance: The id of this instance.
        """
        self._client = client
        self._instance = instance

    def send(self, job, placement, attempt, listener):
        """Send a request; see ForwardPort.

        Args:
          job: A ForwardJob.
          placement: A RelayPlacement.
          attempt: An AttemptOrder.
          listener: An AttemptListener.
        Returns:
          An HttpCall.
        """
        payload = job.payload
        address = placement.backend.listed.address
        request = build_request(
            payload.method,
            address,
            payload.target,
            payload.body,
            [*payload.headers, *self._build_headers(payload, attempt)],
        )
        sink = RelayResponseSink(job, listener, placement)
        options = CallOptions(
            idle_ms=choose_max_idle_ms(job), connect_ms=CONNECT_TIMEOUT_MS
        )
        sink.call = self._client.send(address, request, sink, options)
        return sink.call

    def _build_headers(self, payload, attempt):
        headers = [
            (_RELAYED_BY, self._instance),
            (DEADLINE_MS, str(max(int(attempt.remaining_ms), 1))),
        ]
        if payload.authorization is not None:
            headers.append((AUTHORIZATION, payload.authorization))
        if attempt.resume_after is not None:
            headers.append((LAST_EVENT, str(attempt.resume_after)))
        if attempt.avoided:
            headers.append((_AVOIDED, ','.join(attempt.avoided)))
        return headers


class RelayResponseSink(AttemptResponseSink):
    """Decodes the response of another instance."""

    __slots__ = ('_own_response', '_placement')

    def __init__(self, job, listener, placement):
        """Create the sink.

        Args:
          job: The ForwardJob.
          listener: An AttemptListener.
          placement: The RelayPlacement.
        """
        super().__init__(job, listener)
        self._placement = placement
        self._own_response = None

    def on_head(self, status, headers):
        """See ResponseSink."""
        if headers.get(_OUTCOME) != _ELSEWHERE:
            self._placement.server = headers.get(_SERVER)
        if _OUTCOME in headers:
            self._own_response = headers
        else:
            super().on_head(status, headers)

    def on_body(self, chunk):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_body(chunk)

    def on_done(self):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_done()
        else:
            self._report_own_response()

    def on_error(self, exc):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_error(exc)
        else:
            self._report_own_response()

    def list_headers(self):
        """See AttemptResponseSink."""
        return _drop_relay_headers(super().list_headers())

    def _report_own_response(self):
        headers = self._own_response
        outcome = headers[_OUTCOME]
        code = headers.get(_CODE, outcome)
        if outcome == _REJECTED:
            self._listener.on_not_run(Rejection(code, headers.get(_SERVER)))
        elif outcome == _REFUSED:
            self._listener.on_not_run(
                Rejection(
                    code,
                    retry_after_ms=_parse_retry_ms(headers),
                    is_final=True,
                )
            )
        else:
            was_sent = outcome != _ELSEWHERE
            self._listener.on_failed(BackendError(code, sent=was_sent))


class RelayAnswer(ExchangeAnswer):
    """Writes the answer to a relayed request.

    Attributes:
      flow: The ForwardFlow, or None until it has started.
    """

    __slots__ = ('flow',)

    def __init__(self, exchange):
        """Create the sink.

        Args:
          exchange: A ForwardExchange.
        """
        super().__init__(exchange)
        self.flow = None

    def on_answer(self, head, body):
        """See AnswerSink."""
        self._exchange.reply(head.status, body, self._mark(head.headers))

    def on_head(self, head):
        """See AnswerSink."""
        self._exchange.start(head.status, self._mark(head.headers))

    def on_refused(self, refusal):
        """See AnswerSink."""
        if self._exchange.started:
            self._exchange.abort()
            return
        headers = [
            (_OUTCOME, self._classify(refusal)),
            (_CODE, refusal.code),
            *self._mark(()),
        ]
        if refusal.retry_after_ms is not None:
            headers.append((_RETRY_MS, str(int(refusal.retry_after_ms))))
        self._exchange.reply(http_status_of(refusal), b'', headers)

    def pass_on(self, code):
        """Say that another instance may serve the request.

        Args:
          code: A short identifier of the reason.
        """
        headers = [(_OUTCOME, _ELSEWHERE), (_CODE, code)]
        self._exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, b'', headers)

    def _mark(self, headers):
        """Add the id of the server to the headers of its answer."""
        marked = _drop_relay_headers(headers)
        if self.flow is not None and self.flow.server is not None:
            marked.append((_SERVER, self.flow.server))
        return marked

    def _classify(self, refusal):
        if refusal.outcome != Outcome.NOT_RUN:
            return _FAILED
        if refusal.code == NO_PATH:
            return _ELSEWHERE
        was_rejected = self.flow is not None and self.flow.attempts
        return _REJECTED if was_rejected else _REFUSED


class RelayedRequests:
    """Serves requests that other instances relay."""

    def __init__(self, node, read_job):
        """Create the handler.

        Args:
          node: The ForwardNode.
          read_job: A function that returns the ForwardJob of a
            ForwardExchange, and raises RequestRefused.
        """
        self._node = node
        self._read_job = read_job

    def take(self, exchange):
        """Serve a request.

        Args:
          exchange: A ForwardExchange.
        """
        answer = RelayAnswer(exchange)
        if self._count_in_progress() >= _MAX_IN_PROGRESS:
            answer.pass_on(_BUSY)
            return
        origin = _take_origin(exchange)
        try:
            job = self._read_job(exchange)
        except RequestRefused as refusal:
            # The configuration here may be another one; the caller's request
            # was accepted by the instance that relays it.
            request_id = exchange.header(REQUEST_ID)
            self._node.record_refused(request_id, refusal)
            answer.pass_on(refusal.code)
            return
        job.relay = origin
        self._serve(job, exchange, answer)

    def _count_in_progress(self):
        return sum(flow.job.relay is not None for flow in self._node.desk.flows)

    def _serve(self, job, exchange, answer):
        job.max_attempts = 1
        self._node.metrics.count('relays_taken')
        flow = self._node.desk.submit(job, answer)
        answer.flow = flow
        if not flow.ended:
            exchange.on_gone = flow.cancel
            exchange.request_id = job.request_id
            exchange.source = AnswerReading(flow)


def _drop_relay_headers(headers):
    return [
        pair for pair in headers if pair[0].lower() not in _RESPONSE_HEADERS
    ]


def _take_origin(exchange):
    """Return the RelayOrigin of a request, and remove it from the headers."""
    avoided = exchange.header(_AVOIDED)
    origin = RelayOrigin(
        exchange.header(_RELAYED_BY),
        avoided.split(',') if avoided else (),
    )
    exchange.headers = [
        pair
        for pair in exchange.headers
        if pair[0].lower() not in _REQUEST_HEADERS
    ]
    return origin


def _parse_retry_ms(headers):
    text = headers.get(_RETRY_MS, '')
    return int(text) if text.isdecimal() else None
