"""Completion calls, with retries and a deadline."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.adapters.sse import EventReader
from crankchute.client.results import (
    CallResult,
    RemoteRefusal,
    make_failure_result,
    make_refusal_result,
)
from crankchute.client.timed_call import TimedCall
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.http import ResponseSink

COMPLETIONS_PATH = '/v1/completions'
_RETRY_DELAY_MS = 50
#: Subtracted from the deadline in the request, so that the server's error
#: arrives before the client's own deadline.
_DEADLINE_MARGIN_MS = 20
_EMPTY_DOCUMENT = b'{}'


class CompletionCall(TimedCall):
    """One completion, submitted again if it is rejected or its stream breaks.

    Completions are idempotent: a retry starts the stream from its beginning,
    and the result holds the tokens of a single complete answer.
    """

    def __init__(self, client, prompt, options, on_result):
        """Create the call; start() submits it.

        Args:
          client: The client.
          prompt: A string.
          options: CallOptions.
          on_result: A function of a CallResult, called once.
        """
        super().__init__(client, options, on_result)
        self._prompt = prompt
        self._attempt = None
        self._was_sent = False
        self._last_refusal = None
        self.first_token_ms = None

    def start(self):
        """Submit the request."""
        self.start_deadline_timer(self._on_deadline)
        self._submit()

    def on_first_token(self):
        """Record the time to first token."""
        if self.first_token_ms is None:
            self.first_token_ms = self.elapsed_ms()

    def on_complete(self, text, count):
        """Finish with a complete answer.

        Args:
          text: The answer, a string.
          count: The number of its tokens.
        """
        call_result = CallResult(Outcome.OK)
        call_result.text = text
        call_result.tokens = count
        self.finish(call_result)

    def finish(self, call_result):
        """Add the time to first token to the result, and report it."""
        call_result.first_token_ms = self.first_token_ms
        super().finish(call_result)

    def on_refused(self, refusal):
        """Retry after the delay in the refusal, or finish with the refusal."""
        self._attempt = None
        self._last_refusal = refusal
        if refusal.retry_after_ms is None:
            self.finish(make_refusal_result(refusal))
            return
        if refusal.retry_after_ms >= self.remaining_ms():
            self.finish(make_refusal_result(refusal))
            return
        self._client.addresses.invalidate()
        self._client.timers.after(refusal.retry_after_ms, self._submit)

    def on_connection_failed(self, address, exc):
        """Retry at another address after a connection failure."""
        self._attempt = None
        self._was_sent = self._was_sent or exc.sent
        self._client.addresses.mark_failed(address)
        self._client.timers.after(_RETRY_DELAY_MS, self._submit)

    def _submit(self):
        if not self.is_finished:
            self._client.addresses.get(self._send)

    def _send(self, address):
        if self.is_finished:
            return
        self._attempt_count += 1
        self.first_token_ms = None
        self._attempt = StreamAttempt(self, self._client, address)
        self._attempt.start(self._build_request(address), self._options.idle_ms)

    def _build_request(self, address):
        options = self._options
        document = {
            'model': options.model,
            'prompt': self._prompt,
            'max_tokens': options.max_tokens,
            'stream': True,
        }
        remaining_ms = int(self.remaining_ms() - _DEADLINE_MARGIN_MS)
        headers = self._client.headers(options.workload, max(remaining_ms, 1))
        body = orjson.dumps(document)
        return build_request('POST', address, COMPLETIONS_PATH, body, headers)

    def _on_deadline(self):
        if self._attempt is not None:
            self._attempt.cancel()
        outcome = (
            Outcome.FAILED
            if self._was_sent or self._attempt
            else Outcome.NOT_RUN
        )
        if (
            self._last_refusal is not None
            and not self._attempt
            and not self._was_sent
        ):
            self.finish(make_refusal_result(self._last_refusal))
            return
        text = 'the deadline passed before the answer was complete'
        self.finish(make_failure_result(outcome, 'deadline_exceeded', text))


class StreamAttempt(ResponseSink):
    """One submission of a completion, and its response stream."""

    def __init__(self, call, client, address):
        """Create the attempt.

        Args:
          call: The CompletionCall.
          client: The client.
          address: The IP address and port of an entry instance, a pair.
        """
        self._call = call
        self._client = client
        self._address = address
        self._reader = EventReader()
        self._status = None
        self._error_chunks = []
        self._texts = []
        self._token_count = None
        self._refusal = None
        self._idle_timer = None
        self._idle_timeout_ms = None
        self._last_activity_ms = None
        self._http_call = None
        self._next_offset = 0

    def start(self, payload, idle_ms):
        """Send the request.

        Args:
          payload: The bytes of the HTTP request.
          idle_ms: The idle timeout of the stream, in milliseconds.
        """
        self._idle_timeout_ms = idle_ms
        self._note_activity()
        self._http_call = self._client.http.send(self._address, payload, self)

    def cancel(self):
        """Cancel the request."""
        self._idle_timer.cancel()
        if self._http_call is not None:
            self._http_call.cancel()

    def on_head(self, status, headers):
        """See ResponseSink."""
        self._status = status

    def on_body(self, chunk):
        """See ResponseSink."""
        self._note_activity()
        if self._status != HTTPStatus.OK:
            self._error_chunks.append(chunk)
            return
        for document in self._reader.feed(chunk):
            self._handle_event(document)

    def on_done(self):
        """See ResponseSink."""
        self._idle_timer.cancel()
        refusal = self._get_refusal()
        if refusal:
            self._call.on_refused(refusal)
        elif self._token_count == self._next_offset:
            self._call.on_complete(''.join(self._texts), self._token_count)
        else:
            exc = BackendError(
                'the stream ended without its token count', sent=True
            )
            self._call.on_connection_failed(self._address, exc)

    def on_error(self, exc):
        """See ResponseSink."""
        self._idle_timer.cancel()
        self._call.on_connection_failed(self._address, exc)

    def _get_refusal(self):
        if self._status != HTTPStatus.OK:
            return read_refusal(b''.join(self._error_chunks))
        return self._refusal

    def _handle_event(self, document):
        if 'error' in document:
            self._refusal = RemoteRefusal(document)
            return
        usage = document.get('usage')
        if usage is not None:
            self._token_count = usage['completion_tokens']
            return
        if document['offset'] != self._next_offset:
            self._abort('the stream skipped tokens')
            return
        self._call.on_first_token()
        self._next_offset = document['next']
        self._texts.append(document['choices'][0]['text'])

    def _note_activity(self):
        self._last_activity_ms = self._client.now_ms()
        if self._idle_timer is None:
            self._start_idle_timer(self._idle_timeout_ms)

    def _start_idle_timer(self, delay_ms):
        self._idle_timer = self._client.timers.after(
            delay_ms, self._on_idle_timer
        )

    def _on_idle_timer(self):
        idle_time_ms = self._client.now_ms() - self._last_activity_ms
        if idle_time_ms < self._idle_timeout_ms:
            self._start_idle_timer(self._idle_timeout_ms - idle_time_ms)
        else:
            self._abort('the stream was idle for too long')

    def _abort(self, text):
        self._http_call.fail(text)


def read_refusal(body):
    """Parse the body of an error response.

    Args:
      body: Bytes; if they cannot be parsed, the outcome is unknown.
    Returns:
      A RemoteRefusal.
    """
    try:
        document = orjson.loads(body or _EMPTY_DOCUMENT)
    except orjson.JSONDecodeError:
        document = {}
    return RemoteRefusal(document)
