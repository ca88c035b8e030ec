"""Answers and refusals, as callers of the platform get them."""

from http import HTTPStatus

from crankchute.adapters.forward_server import write_retry_after
from crankchute.core.outcomes import Outcome
from crankchute.ports.forwarding import AnswerSink

_DEADLINE = 'deadline_exceeded'


class ExchangeAnswer(AnswerSink):
    """Gives the answer of one request to its caller."""

    __slots__ = ('_exchange',)

    def __init__(self, exchange):
        """Create the sink.

        Args:
          exchange: A ForwardExchange.
        """
        self._exchange = exchange

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
        """Refuse, or break the connection of a stream that has begun."""
        if self._exchange.started:
            self._exchange.abort()
            return
        headers = []
        if refusal.retry_after_ms is not None:
            headers.append(write_retry_after(refusal.retry_after_ms))
        self._exchange.reply_json(
            status_of(refusal),
            {'error': refusal.code, 'message': refusal.text},
            headers,
        )


def status_of(refusal):
    """Return the HTTP status of a refusal.

    503 promises that the request has not run and never will; after anything
    else no promise is made.

    Args:
      refusal: A Refusal.
    Returns:
      An HTTPStatus.
    """
    if refusal.outcome == Outcome.NOT_RUN:
        return HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.code == _DEADLINE:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
