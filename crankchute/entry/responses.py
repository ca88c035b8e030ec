"""Writes OpenAI-compatible completion responses, streamed or buffered."""

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

_STATUS_BY_OUTCOME = MappingProxyType(
    {
        Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.UNKNOWN: HTTPStatus.BAD_GATEWAY,
        Outcome.FAILED: HTTPStatus.BAD_GATEWAY,
    }
)
_RATE_LIMIT_CODES = frozenset(('account_limit',))
_DEADLINE_CODE = 'deadline_exceeded'
_MS_PER_SECOND = 1000
_PLACEHOLDER = '\x00mark'
_PLACEHOLDER_JSON = orjson.dumps(_PLACEHOLDER)
_OFFSET_JSON = b'"offset":0,"next":0'


class CompletionResponse(RequestSink):
    """Base class of streamed and buffered completion responses."""

    def __init__(self, exchange, request, on_end):
        """Create the response.

        Args:
          exchange: An Exchange.
          request: A CompletionRequest.
          on_end: A function without arguments, called when the response ends.
        """
        self._exchange = exchange
        self._request = request
        self._on_end = on_end
        self._created = int(time.time())

    def on_refused(self, refusal):
        """See RequestSink."""
        send_refusal(self._exchange, refusal)
        self._on_end()

    def keep_alive(self):
        """Do nothing: a buffered response starts when it is complete."""

    def _document(self, choice, **extra_fields):
        is_chat = self._request.is_chat
        return {
            'id': self._request.job.request_id,
            'object': 'chat.completion' if is_chat else 'text_completion',
            'created': self._created,
            'model': self._request.job.model,
            **extra_fields,
            'choices': [choice],
        }

    def _usage(self, count):
        prompt_tokens = self._request.job.tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': count,
            'total_tokens': prompt_tokens + count,
        }


class BufferedResponse(CompletionResponse):
    """Collects all tokens and sends a single JSON document."""

    def __init__(self, exchange, request, on_end):
        """See CompletionResponse."""
        super().__init__(exchange, request, on_end)
        self._texts = []

    def on_tokens(self, offset, tokens):
        """See RequestSink."""
        self._texts.extend(tokens)

    def on_end(self, count):
        """See RequestSink."""
        token_text = ''.join(self._texts)
        choice = {'index': 0, 'finish_reason': 'length', 'logprobs': None}
        if self._request.is_chat:
            choice['message'] = {'role': 'assistant', 'content': token_text}
        else:
            choice['text'] = token_text
        document = self._document(choice, usage=self._usage(count))
        self._exchange.reply(HTTPStatus.OK, document)
        self._on_end()


class EventTemplate:
    """Renders the events of one response, which differ in offset and text.

    Serializing the whole event for each token would be too expensive.
    """

    __slots__ = ('_middle', '_prefix', '_suffix')

    def __init__(self, event):
        """Split an event around its variable parts.

        Args:
          event: The bytes of an event with offset 0 and the placeholder text.
        """
        head, suffix = event.split(_PLACEHOLDER_JSON)
        prefix, middle = head.split(_OFFSET_JSON)
        self._prefix = prefix
        self._middle = middle
        self._suffix = suffix

    def render(self, offset, tokens):
        """Return the bytes of an event.

        Args:
          offset: The index of the first token in the event.
          tokens: A list of token strings.
        """
        offset_fields = b'"offset":%d,"next":%d' % (
            offset,
            offset + len(tokens),
        )
        token_text = orjson.dumps(''.join(tokens))
        return b''.join(
            (
                self._prefix,
                offset_fields,
                self._middle,
                token_text,
                self._suffix,
            )
        )


class StreamedResponse(CompletionResponse):
    """Sends tokens as server-sent events; the last one reports the usage."""

    def __init__(self, exchange, request, on_end):
        """See CompletionResponse."""
        super().__init__(exchange, request, on_end)
        self._template = None

    def keep_alive(self):
        """Send a keep-alive comment while the caller waits for tokens."""
        if not self._exchange.started:
            self._exchange.start_stream(EVENT_STREAM)
        self._exchange.send(KEEP_ALIVE)

    def on_tokens(self, offset, tokens):
        """See RequestSink."""
        if not self._exchange.started:
            self._exchange.start_stream(EVENT_STREAM)
        if self._template is None:
            event = self._event(_PLACEHOLDER, None, offset=0, next=0)
            self._template = EventTemplate(event)
        self._exchange.send(self._template.render(offset, tokens))

    def on_end(self, count):
        """See RequestSink."""
        last = self._event('', 'length', usage=self._usage(count))
        self._exchange.send(last + DONE)
        self._exchange.finish()
        self._on_end()

    def on_refused(self, refusal):
        """Send an error response, or end a started stream with an error event."""
        if not self._exchange.started:
            super().on_refused(refusal)
            return
        self._exchange.send(write_event(make_error_document(refusal)))
        self._exchange.finish()
        self._on_end()

    def _event(self, token_text, finish_reason, **extra_fields):
        choice = {'index': 0, 'finish_reason': finish_reason}
        if self._request.is_chat:
            choice['delta'] = {'content': token_text} if token_text else {}
        else:
            choice['text'] = token_text
            choice['logprobs'] = None
        document = self._document(choice, **extra_fields)
        if self._request.is_chat:
            document['object'] = 'chat.completion.chunk'
        return write_event(document)


def make_response(exchange, request, on_end):
    """Return the RequestSink that writes the response to a request.

    Args:
      exchange: An Exchange.
      request: A CompletionRequest.
      on_end: A function without arguments, called when the response ends.
    """
    factory = StreamedResponse if request.stream else BufferedResponse
    return factory(exchange, request, on_end)


def send_refusal(exchange, refusal):
    """Send a refusal as an error response.

    Args:
      exchange: An Exchange.
      refusal: A Refusal.
    """
    status = _STATUS_BY_OUTCOME[refusal.outcome]
    if refusal.code in _RATE_LIMIT_CODES:
        status = HTTPStatus.TOO_MANY_REQUESTS
    elif refusal.code == _DEADLINE_CODE:
        status = HTTPStatus.GATEWAY_TIMEOUT
    headers = []
    if refusal.retry_after_ms is not None:
        seconds = max(1, round(refusal.retry_after_ms / _MS_PER_SECOND))
        headers.append(('Retry-After', str(seconds)))
    exchange.reply(status, make_error_document(refusal), headers=headers)


def make_error_document(refusal):
    """Return the JSON body of an error response, a dict.

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
