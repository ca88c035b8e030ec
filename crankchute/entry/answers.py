"""Writing completions in the usual form, streamed or whole."""

import time
from http import HTTPStatus
from types import MappingProxyType

import orjson

from crankchute.adapters.sse import (
    DONE,
    EVENT_STREAM,
    KEEP_ALIVE,
    write_event,
)
from crankchute.core.outcomes import Outcome
from crankchute.ports.engines import RequestSink

_STATUS_OF = MappingProxyType(
    {
        Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.UNKNOWN: HTTPStatus.BAD_GATEWAY,
        Outcome.FAILED: HTTPStatus.BAD_GATEWAY,
    }
)
_LIMIT_CODES = frozenset(('account_limit',))
_DEADLINE_CODE = 'deadline_exceeded'
_MS_PER_SECOND = 1000
_MARK = '\x00mark'
_MARK_JSON = orjson.dumps(_MARK)
_PLACE_JSON = b'"offset":0,"next":0'


class CompletionAnswer(RequestSink):
    """Writes one answer; what both forms have in common."""

    def __init__(self, exchange, request, on_end):
        """Create the answer.

        Args:
          exchange: An Exchange.
          request: A CompletionRequest.
          on_end: A function without arguments, called at the end.
        """
        self._exchange = exchange
        self._request = request
        self._on_end = on_end
        self._created = int(time.time())

    def on_refused(self, refusal):
        """See RequestSink."""
        reply_refusal(self._exchange, refusal)
        self._on_end()

    def keep_alive(self):
        """Send nothing: a whole answer cannot begin before its end."""

    def _document(self, choice, **more):
        is_chat = self._request.is_chat
        return {
            'id': self._request.job.request_id,
            'object': 'chat.completion' if is_chat else 'text_completion',
            'created': self._created,
            'model': self._request.job.model,
            **more,
            'choices': [choice],
        }

    def _usage(self, count):
        prompt_tokens = self._request.job.tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': count,
            'total_tokens': prompt_tokens + count,
        }


class WholeAnswer(CompletionAnswer):
    """Gathers the tokens and replies once."""

    def __init__(self, exchange, request, on_end):
        """See CompletionAnswer."""
        super().__init__(exchange, request, on_end)
        self._texts = []

    def on_tokens(self, offset, tokens):
        """See RequestSink."""
        self._texts.extend(tokens)

    def on_end(self, count):
        """See RequestSink."""
        text = ''.join(self._texts)
        choice = {'index': 0, 'finish_reason': 'length', 'logprobs': None}
        if self._request.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        document = self._document(choice, usage=self._usage(count))
        self._exchange.reply(HTTPStatus.OK, document)
        self._on_end()


class EventTemplate:
    """The events of one answer, in which only offset and text differ.

    Writing the whole document for each token was half of a token's cost.
    """

    __slots__ = ('_before', '_between', '_tail')

    def __init__(self, event):
        """Cut an event into what stays and what differs.

        Args:
          event: The bytes of an event with offset 0 and the mark as text.
        """
        head, tail = event.split(_MARK_JSON)
        before, after = head.split(_PLACE_JSON)
        self._before = before
        self._between = after
        self._tail = tail

    def render(self, offset, tokens):
        """Return the bytes of an event.

        Args:
          offset: The index of its first token.
          tokens: The texts of its tokens, a list.
        """
        place = b'"offset":%d,"next":%d' % (offset, offset + len(tokens))
        text = orjson.dumps(''.join(tokens))
        return b''.join((self._before, place, self._between, text, self._tail))


class StreamedAnswer(CompletionAnswer):
    """Sends each token as an event; the last event says that it is whole."""

    def __init__(self, exchange, request, on_end):
        """See CompletionAnswer."""
        super().__init__(exchange, request, on_end)
        self._template = None

    def keep_alive(self):
        """Tell a caller that waits long that its request is still held."""
        if not self._exchange.started:
            self._exchange.start_stream(EVENT_STREAM)
        self._exchange.send(KEEP_ALIVE)

    def on_tokens(self, offset, tokens):
        """See RequestSink."""
        if not self._exchange.started:
            self._exchange.start_stream(EVENT_STREAM)
        if self._template is None:
            event = self._event(_MARK, None, offset=0, next=0)
            self._template = EventTemplate(event)
        self._exchange.send(self._template.render(offset, tokens))

    def on_end(self, count):
        """See RequestSink."""
        last = self._event('', 'length', usage=self._usage(count))
        self._exchange.send(last + DONE)
        self._exchange.finish()
        self._on_end()

    def on_refused(self, refusal):
        """Reply with the refusal, or end the stream with it as an event."""
        if not self._exchange.started:
            super().on_refused(refusal)
            return
        self._exchange.send(write_event(refusal_document(refusal)))
        self._exchange.finish()
        self._on_end()

    def _event(self, text, finish_reason, **more):
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self._request.is_chat:
            choice['delta'] = {'content': text} if text else {}
        else:
            choice['text'] = text
            choice['logprobs'] = None
        document = self._document(choice, **more)
        if self._request.is_chat:
            document['object'] = 'chat.completion.chunk'
        return write_event(document)


def make_answer(exchange, request, on_end):
    """Return the sink of a request's answer.

    Args:
      exchange: An Exchange.
      request: A CompletionRequest.
      on_end: A function without arguments, called at the end.
    """
    factory = StreamedAnswer if request.stream else WholeAnswer
    return factory(exchange, request, on_end)


def reply_refusal(exchange, refusal):
    """Reply with a refusal as a typed body.

    Args:
      exchange: An Exchange.
      refusal: A Refusal.
    """
    status = _STATUS_OF[refusal.outcome]
    if refusal.code in _LIMIT_CODES:
        status = HTTPStatus.TOO_MANY_REQUESTS
    elif refusal.code == _DEADLINE_CODE:
        status = HTTPStatus.GATEWAY_TIMEOUT
    headers = []
    if refusal.retry_after_ms is not None:
        seconds = max(1, round(refusal.retry_after_ms / _MS_PER_SECOND))
        headers.append(('Retry-After', str(seconds)))
    exchange.reply(status, refusal_document(refusal), headers=headers)


def refusal_document(refusal):
    """Return the typed body of a refusal, a map.

    Args:
      refusal: A Refusal.
    """
    return {
        'error': {
            'type': refusal.code,
            'message': refusal.text,
            'outcome': refusal.outcome.value,
            'passed_on': refusal.was_dispatched,
            'retry_after_ms': refusal.retry_after_ms,
        },
    }
