"""Writes answers and refusals to callers over HTTP."""

from http import HTTPStatus

from crankchute.adapters.log import log_change
from crankchute.adapters.request_gate import Sender
from crankchute.adapters.retry_after import list_retry_after
from crankchute.core.answer_reading import AnswerReading
from crankchute.core.outcomes import Outcome
from crankchute.platform.wire import AUTHORIZATION, DEADLINE_MS, REQUEST_ID
from crankchute.ports.forwarding import AnswerSink

_DEADLINE_EXCEEDED = 'deadline_exceeded'
_AUTHORIZATION_NAME = AUTHORIZATION.encode()
_DEADLINE_NAME = DEADLINE_MS.encode()
_REQUEST_ID_NAME = REQUEST_ID.encode()


class ExchangeAnswer(AnswerSink):
    """Writes the answer to one request to its HTTP exchange."""

    __slots__ = ('_exchange',)

    def __init__(self, exchange):
        """Create the sink.

        Args:
          exchange: A ForwardExchange.
        """
        self._exchange = exchange

    def on_collected(self, size):
        """See AnswerSink."""
        self._exchange.record_collected(size)

    def on_answer(self, head, body):
        """See AnswerSink."""
        self._exchange.reply(head.status, body, head.headers)

    def on_head(self, head):
        """See AnswerSink."""
        self._exchange.start(head.status, head.headers)

    def on_event(self, event):
        """See AnswerSink."""
        self._exchange.send(event.payload)

    def on_end(self):
        """See AnswerSink."""
        self._exchange.finish()

    def on_refused(self, refusal):
        """Send an error response, or abort a stream that has started."""
        if self._exchange.started:
            self._exchange.abort()
            return
        headers = list_retry_after(refusal.retry_after_ms)
        self._exchange.reply_json(
            http_status_of(refusal),
            {'error': refusal.code, 'message': refusal.text},
            headers,
        )


class IntakeRecorder:
    """Records the requests that are refused before they have arrived whole."""

    def __init__(self, metrics):
        """Create the recorder.

        Args:
          metrics: Metrics.
        """
        self._metrics = metrics

    def record(self, reader, refusal):
        """Log and count a refusal.

        Args:
          reader: The RequestReader.
          refusal: The RequestRefused.
        """
        self._metrics.count('intake_refused', refusal.code)
        log_change(
            'intake_refused',
            failed=True,
            request=find_request_id(reader.headers),
            status=int(refusal.status),
            code=refusal.code,
            reason=refusal.text,
            received=reader.size,
        )


def attach_flow(exchange, flow):
    """Connect an exchange to the flow that answers it.

    Args:
      exchange: A ForwardExchange.
      flow: A ForwardFlow.
    """
    if flow.ended:
        return
    exchange.on_gone = flow.cancel
    exchange.request_id = flow.job.request_id
    exchange.source = AnswerReading(flow)


def http_status_of(refusal):
    """Return the HTTP status of a refusal.

    A 503 guarantees that the request has not run and will not run; other
    statuses guarantee nothing.

    Args:
      refusal: A Refusal.
    Returns:
      An HTTPStatus.
    """
    if refusal.outcome == Outcome.NOT_RUN:
        return HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.code == _DEADLINE_EXCEEDED:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def find_request_id(headers):
    """Return the request id among the headers read so far, or None.

    Args:
      headers: Pairs of name and text, bytes.
    """
    return _find_header(headers, _REQUEST_ID_NAME)


def describe_sender(reader):
    """Return what the head of a request says about its caller.

    Args:
      reader: A RequestReader.
    Returns:
      A Sender.
    """
    headers = reader.headers
    allowed = _find_header(headers, _DEADLINE_NAME) or ''
    return Sender(
        owner=_find_header(headers, _AUTHORIZATION_NAME),
        allowed_ms=int(allowed) if allowed.isdecimal() else None,
        request_id=find_request_id(headers),
    )


def _find_header(headers, wanted):
    for name, text in headers:
        if name.lower() == wanted:
            return text.decode('latin-1')
    return None
