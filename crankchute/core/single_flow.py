"""Serves a completion on one engine at a time.

Extends forwarded requests with what is specific to completions: frames are
matched to the attempt that requested them, flows queue until an engine has
capacity, and requests that an engine refused are queued again.
"""

from crankchute.core.forward_attempt import Attempt
from crankchute.core.forward_flow import ForwardFlow
from crankchute.core.frames import FrameMatch, FrameMatcher
from crankchute.errors import BackendError
from crankchute.ports.engines import EngineListener, GenerateOrder
from crankchute.ports.forwarding import (
    AnswerHead,
    AnswerSink,
    ForwardPort,
    Rejection,
    StreamEvent,
)

_HTTP_OK = 200
_ENGINE_FAILED = 'engine_failed'


class CompletionCall(EngineListener):
    """One order to an engine; converts its frames to stream events."""

    __slots__ = ('_call', '_listener', '_matcher', '_metrics')

    def __init__(self, order, listener, metrics):
        """Create the call; start() sends the order.

        Args:
          order: A GenerateOrder.
          listener: An AttemptListener.
          metrics: A Metrics port.
        """
        self._call = None
        self._listener = listener
        self._matcher = FrameMatcher(
            order.request_id,
            order.attempt,
            order.offset,
        )
        self._metrics = metrics

    @property
    def sent(self):
        """Whether the order may have been sent."""
        return self._call is not None

    def start(self, engines, backend, order):
        """Send the order.

        Args:
          engines: An EnginePort.
          backend: A Backend.
          order: A GenerateOrder.
        """
        self._listener.on_head(AnswerHead(_HTTP_OK))
        self._call = engines.generate(backend, order, self)

    def cancel(self):
        """Cancel the order."""
        if self._call is not None:
            self._call.cancel()

    def on_frame(self, frame):
        """See EngineListener."""
        match = self._matcher.match(frame)
        if match == FrameMatch.ACCEPTED:
            event = StreamEvent(self._matcher.offset, frame.tokens)
            self._listener.on_event(event)
        elif match == FrameMatch.END:
            self._listener.on_end()
        elif match == FrameMatch.GAP:
            self.cancel()
            text = 'a part of the stream is missing'
            self._listener.on_failed(BackendError(text, sent=True))
        else:
            self._metrics.count('frames_dropped')

    def on_refused(self, code, retry_after_ms):
        """See EngineListener."""
        rejection = Rejection(code, retry_after_ms=retry_after_ms)
        self._listener.on_not_run(rejection)

    def on_failed(self, exc):
        """See EngineListener."""
        self._listener.on_failed(exc)


class CompletionPort(ForwardPort):
    """Sends completions to engines."""

    def __init__(self, engines, metrics):
        """Create the port.

        Args:
          engines: An EnginePort.
          metrics: A Metrics port.
        """
        self._engines = engines
        self._metrics = metrics

    def send(self, job, placement, attempt, listener):
        """See ForwardPort; the placement's key is a FinalSegment or None."""
        order = GenerateOrder(
            job,
            attempt.number,
            attempt.resume_after,
            attempt.remaining_ms,
        )
        if placement.key is not None:
            placement.key.apply(order)
        call = CompletionCall(order, listener, self._metrics)
        call.start(self._engines, placement.backend, order)
        return call

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        self._engines.ask_listening(backend, on_known)


class CompletionSink(AnswerSink):
    """Converts the events of a completion to tokens for a RequestSink."""

    __slots__ = ('_sink', '_token_count')

    def __init__(self, sink):
        """Create the sink.

        Args:
          sink: A RequestSink.
        """
        self._sink = sink
        self._token_count = 0

    def on_answer(self, head, body):
        """See AnswerSink; not called, since completions are streamed."""

    def on_head(self, head):
        """See AnswerSink; a RequestSink has no head."""

    def on_event(self, event):
        """See AnswerSink; an event's number is the offset after its tokens."""
        self._token_count = event.number
        tokens = event.payload
        self._sink.on_tokens(event.number - len(tokens), tokens)

    def on_end(self):
        """See AnswerSink."""
        self._sink.on_end(self._token_count)

    def on_refused(self, refusal):
        """See AnswerSink."""
        self._sink.on_refused(refusal)


class SingleFlow(ForwardFlow):
    """Serves one job on one engine at a time.

    Attributes:
      first_ms: When the first token arrived, or None.
    """

    unfinished_retry_after_ms = 200

    def __init__(self, job, context, sink):
        """Create a flow; start() queues it and run() sends it.

        Args:
          job: The Job.
          context: The Dispatcher's CompletionContext.
          sink: A RequestSink.
        """
        super().__init__(job, context, CompletionSink(sink))
        self.first_ms = None

    def run(self):
        """Send the request if an engine has capacity.

        Returns:
          False if the flow must wait.
        """
        if self._end_if_quarantined():
            return True
        placement = self._context.choose(self.job, self.avoided)
        if placement is None:
            return False
        self._launch(placement)
        return True

    def token_gap_ms(self):
        """Return the mean time between delivered tokens in milliseconds."""
        if self.first_ms is None:
            return 0
        elapsed_ms = self.now_ms() - self.first_ms
        return elapsed_ms / max(self.last_event_id - 1, 1)

    def on_attempt_not_run(self, attempt, rejection):
        """Queue the request again after a refusal by an engine."""
        self.attempt = None
        self._context.record_attempt_end(self, attempt, rejection.code)
        self._context.record_rejection(self, attempt, rejection)
        self._context.requeue(self)

    def on_attempt_failed(self, attempt, exc):
        """Retry on another engine if the retry budget allows, or end."""
        self._record_failed(attempt, exc)

        def retry_or_fail():
            if self.ended or self._end_if_quarantined():
                return
            if self._context.take_retry(self.job):
                self._retry_elsewhere()
            else:
                self._fail(_ENGINE_FAILED, str(exc))

        self._after_failure(attempt, exc, retry_or_fail)

    def _retry_elsewhere(self):
        """Retry the request after a failure."""
        self._try_next(_ENGINE_FAILED)

    def _end_if_quarantined(self):
        """End a request that is blocked for crashing engines.

        Returns:
          Whether the request was ended.
        """
        refusal = self._context.crash_detector.find_refusal(self.job)
        if refusal is None:
            return False
        self._fail(refusal.code, refusal.text, refusal.retry_after_ms)
        return True

    def _launch(self, placement):
        self.attempt = Attempt(self, self._context, placement)
        self.attempt.start()

    def _try_next(self, cause):
        """Queue the request; the dispatcher calls run()."""
        self._context.enqueue(self)
