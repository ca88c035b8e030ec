"""Serves the requests that other instances relay.

A relayed request is checked like any other and sent to one server; see
relay_calls.
"""

from http import HTTPStatus

from crankchute.core.forward_job import RelayOrigin
from crankchute.core.relay import (
    RELAYS_BUSY,
    RelayOutcome,
    accepts_relay,
    classify_refusal,
    classify_rejection,
)
from crankchute.errors import RequestRefused
from crankchute.platform.answers import (
    ExchangeAnswer,
    attach_flow,
    find_request_id,
    http_status_of,
)
from crankchute.platform.relay_words import (
    RELAY_AVOIDED,
    RELAY_CODE,
    RELAY_OUTCOME,
    RELAY_RETRY_MS,
    RELAY_SERVER,
    RELAYED_BY,
    drop_relay_headers,
)
from crankchute.platform.wire import REQUEST_ID

#: Room in a head for the headers that an instance adds when it relays.
_HEADER_ROOM_BYTES = 8192


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
            (RELAY_OUTCOME, self._classify(refusal).value),
            (RELAY_CODE, refusal.code),
            *_name_request(self._exchange.header(REQUEST_ID)),
            *self._mark(()),
        ]
        if refusal.retry_after_ms is not None:
            headers.append((RELAY_RETRY_MS, str(int(refusal.retry_after_ms))))
        self._exchange.reply(http_status_of(refusal), b'', headers)

    def pass_on(self, code, outcome=RelayOutcome.ELSEWHERE):
        """Say that no server got the request.

        Args:
          code: A short identifier of the reason.
          outcome: The RelayOutcome.
        """
        request_id = self._exchange.header(REQUEST_ID)
        headers = _list_outcome(outcome, code, request_id)
        self._exchange.reply(HTTPStatus.SERVICE_UNAVAILABLE, b'', headers)

    def _mark(self, headers):
        """Add the id of the server to the headers of its answer."""
        marked = drop_relay_headers(headers)
        if self.flow is not None and self.flow.server is not None:
            marked.append((RELAY_SERVER, self.flow.server))
        return marked

    def _classify(self, refusal):
        was_sent = self.flow is not None and self.flow.attempts > 0
        return classify_refusal(refusal, was_sent=was_sent)


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
        if not accepts_relay(self._node.desk.flows):
            answer.pass_on(RELAYS_BUSY)
            return
        origin = _take_origin(exchange)
        try:
            job = self._read_job(exchange)
        except RequestRefused as refusal:
            # The configuration here may be another one; the caller's request
            # was accepted by the instance that relays it.
            request_id = exchange.header(REQUEST_ID)
            self._node.record_refused(request_id, refusal, origin.instance)
            answer.pass_on(refusal.code, classify_rejection(refusal))
            return
        job.relay = origin
        self._serve(job, exchange, answer)

    def attach(self, server):
        """Prepare the server on which other instances relay requests.

        Args:
          server: A ForwardServer.
        """
        server.list_rejection_headers = self.list_rejection_headers
        server.limits = server.limits.add_header_room(_HEADER_ROOM_BYTES)
        # Two instances that relay to each other could wait for each other.
        server.may_wait = False

    def list_rejection_headers(self, reader, refusal):
        """Return the headers that refuse a request that was not read completely.

        No server has got it.

        Args:
          reader: A RequestReader.
          refusal: A RequestRefused.
        Returns:
          A list of pairs of name and text.
        """
        return _list_outcome(
            classify_rejection(refusal),
            refusal.code,
            find_request_id(reader.headers),
        )

    def _serve(self, job, exchange, answer):
        job.max_attempts = 1
        self._node.metrics.count('relays_taken')
        flow = self._node.desk.submit(job, answer)
        answer.flow = flow
        attach_flow(exchange, flow)


def _list_outcome(outcome, code, request_id):
    return [
        (RELAY_OUTCOME, outcome.value),
        (RELAY_CODE, code),
        *_name_request(request_id),
    ]


def _name_request(request_id):
    """Return the header by which the other instance knows its answer."""
    return [] if request_id is None else [(REQUEST_ID, request_id)]


def _take_origin(exchange):
    """Return the RelayOrigin of a request, and remove it from the headers."""
    avoided = exchange.header(RELAY_AVOIDED)
    origin = RelayOrigin(
        exchange.header(RELAYED_BY),
        avoided.split(',') if avoided else (),
    )
    exchange.headers = drop_relay_headers(exchange.headers)
    return origin
