"""A completion from the caller's side: tries, hints, its own deadline."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.adapters.sse import EventReader
from crankchute.client.results import (
    CallResult,
    RemoteRefusal,
    describe_failure,
    describe_refusal,
)
from crankchute.client.timed_call import TimedCall
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.http import ResponseSink

COMPLETIONS_PATH = '/v1/completions'
_PAUSE_MS = 50
_MARGIN_MS = 20
_UNREADABLE = b'{}'


class CompletionCall(TimedCall):
    """One completion; may be submitted again while nothing was delivered.

    A stream that breaks off is asked for again from its start, since a
    completion is repeatable; the caller gets the tokens of one whole answer.
    """

    def __init__(self, parts, prompt, options, on_end):
        """Create the call; start() submits it.

        Args:
          parts: The Caller.
          prompt: A string.
          options: CallOptions.
          on_end: A function of a CallResult, called once.
        """
        super().__init__(parts, options, on_end)
        self._prompt = prompt
        self._try = None
        self._sent = False
        self._last = None
        self.first_token_ms = None

    def start(self):
        """Submit the request."""
        self.watch_deadline(self._on_deadline)
        self._submit()

    def on_first_token(self):
        """Note the time of the first token."""
        if self.first_token_ms is None:
            self.first_token_ms = self.elapsed_ms()

    def on_whole(self, text, count):
        """End with a whole answer."""
        end = CallResult(Outcome.OK)
        end.text = text
        end.tokens = count
        self.finish(end)

    def finish(self, end):
        """Tell the end, with the time to first token."""
        end.first_token_ms = self.first_token_ms
        super().finish(end)

    def on_refused(self, refusal):
        """Try again when the refusal says, or end with it."""
        self._try = None
        self._last = refusal
        if refusal.retry_after_ms is None:
            self.finish(describe_refusal(refusal))
            return
        if refusal.retry_after_ms >= self.remaining_ms():
            self.finish(describe_refusal(refusal))
            return
        self._parts.book.expire()
        self._parts.timers.after(refusal.retry_after_ms, self._submit)

    def on_broken(self, address, exc):
        """Try another address after a connection that failed."""
        self._try = None
        self._sent = self._sent or exc.sent
        self._parts.book.distrust(address)
        self._parts.timers.after(_PAUSE_MS, self._submit)

    def _submit(self):
        if not self.is_over:
            self._parts.book.get(self._send)

    def _send(self, address):
        if self.is_over:
            return
        self._tries += 1
        self.first_token_ms = None
        self._try = StreamTry(self, self._parts, address)
        self._try.start(self._build(address), self._options.idle_ms)

    def _build(self, address):
        options = self._options
        document = {
            'model': options.model,
            'prompt': self._prompt,
            'max_tokens': options.max_tokens,
            'stream': True,
        }
        remaining_ms = int(self.remaining_ms() - _MARGIN_MS)
        headers = self._parts.headers(options.workload, max(remaining_ms, 1))
        body = orjson.dumps(document)
        return build_request('POST', address, COMPLETIONS_PATH, body, headers)

    def _on_deadline(self):
        if self._try is not None:
            self._try.cancel()
        outcome = Outcome.FAILED if self._sent or self._try else Outcome.NOT_RUN
        if self._last is not None and not self._try and not self._sent:
            self.finish(describe_refusal(self._last))
            return
        text = 'the deadline passed without a whole answer'
        self.finish(describe_failure(outcome, 'deadline_exceeded', text))


class StreamTry(ResponseSink):
    """One submission of a completion and its stream."""

    def __init__(self, call, parts, address):
        """Create the submission.

        Args:
          call: The CompletionCall.
          parts: The Caller.
          address: The entry instance's pair of IP number and port.
        """
        self._call = call
        self._parts = parts
        self._address = address
        self._reader = EventReader()
        self._status = None
        self._body = []
        self._texts = []
        self._count = None
        self._error = None
        self._idle = None
        self._idle_ms = None
        self._heard_ms = None
        self._http_call = None
        self._offset = 0

    def start(self, payload, idle_ms):
        """Send the request.

        Args:
          payload: Its bytes.
          idle_ms: The longest silence that is borne.
        """
        self._idle_ms = idle_ms
        self._watch()
        self._http_call = self._parts.http.send(self._address, payload, self)

    def cancel(self):
        """Give the submission up."""
        self._idle.cancel()
        if self._http_call is not None:
            self._http_call.cancel()

    def on_head(self, status, headers):
        """See ResponseSink."""
        self._status = status

    def on_body(self, chunk):
        """See ResponseSink."""
        self._watch()
        if self._status != HTTPStatus.OK:
            self._body.append(chunk)
            return
        for document in self._reader.feed(chunk):
            self._take(document)

    def on_done(self):
        """See ResponseSink."""
        self._idle.cancel()
        refusal = self._find_refusal()
        if refusal:
            self._call.on_refused(refusal)
        elif self._count == self._offset:
            self._call.on_whole(''.join(self._texts), self._count)
        else:
            exc = BackendError('the answer ended without its mark', sent=True)
            self._call.on_broken(self._address, exc)

    def on_error(self, exc):
        """See ResponseSink."""
        self._idle.cancel()
        self._call.on_broken(self._address, exc)

    def _find_refusal(self):
        if self._status != HTTPStatus.OK:
            return read_refusal(b''.join(self._body))
        return self._error

    def _take(self, document):
        if 'error' in document:
            self._error = RemoteRefusal(document)
            return
        usage = document.get('usage')
        if usage is not None:
            self._count = usage['completion_tokens']
            return
        if document['offset'] != self._offset:
            self._break_off('a part of the answer is missing')
            return
        self._call.on_first_token()
        self._offset = document['next']
        self._texts.append(document['choices'][0]['text'])

    def _watch(self):
        self._heard_ms = self._parts.now_ms()
        if self._idle is None:
            self._set_idle(self._idle_ms)

    def _set_idle(self, delay_ms):
        self._idle = self._parts.timers.after(delay_ms, self._on_idle)

    def _on_idle(self):
        silent_ms = self._parts.now_ms() - self._heard_ms
        if silent_ms < self._idle_ms:
            self._set_idle(self._idle_ms - silent_ms)
        else:
            self._break_off('the entry instance fell silent')

    def _break_off(self, text):
        self._http_call.fail(text)


def read_refusal(body):
    """Return the RemoteRefusal of a response's body.

    Args:
      body: Bytes; anything but a typed body is an unknown outcome.
    """
    try:
        document = orjson.loads(body or _UNREADABLE)
    except orjson.JSONDecodeError:
        document = {}
    return RemoteRefusal(document)
