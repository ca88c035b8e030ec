"""A completion on one engine at a time: attempts, retries and resumption."""

from crankchute.core.frames import FrameFate, FrameMatcher
from crankchute.errors import BackendError
from crankchute.ports.engines import EngineListener, GenerateOrder

_STALL_MS = 2500
_FIRST_STALL_FACTOR = 3


class Attempt(EngineListener):
    """One order to one engine; ends once, and tells its flow how.

    Attributes:
      backend: The Backend that was asked.
      started: Whether a frame was taken, a bool.
    """

    def __init__(self, flow, backend, order):
        """Create an attempt; start() sends the order.

        Args:
          flow: The flow to tell.
          backend: A Backend.
          order: A GenerateOrder.
        """
        self._flow = flow
        self._order = order
        self._matcher = FrameMatcher(
            order.request_id,
            order.attempt,
            order.offset,
        )
        self._call = None
        self._ended = False
        self._at_ms = flow.now_ms()
        self._stall = None
        self._silent_ms = self._at_ms
        self.backend = backend
        self.started = False

    def start(self, engines, first_ms):
        """Send the order.

        Args:
          engines: An EnginePort.
          first_ms: The predicted time to the first token.
        """
        tokens = self._flow.job.tokens
        backend = self.backend
        backend.in_flight += 1
        backend.note_sent(self._order.priority, tokens)
        backend.serving_long += self._flow.job.is_long
        backend.breaker.note_start()
        self._watch(_STALL_MS + first_ms * _FIRST_STALL_FACTOR)
        self._call = engines.generate(backend, self._order, self)

    def cancel(self):
        """Give the attempt up; the flow hears nothing more of it."""
        if self._close():
            self.backend.breaker.note_abandoned()
            self._cancel_call()

    def on_frame(self, frame):
        """See EngineListener."""
        if self._ended or self._flow.expire_if_late():
            return
        offset = self._matcher.offset
        fate = self._matcher.match(frame)
        if fate == FrameFate.TAKEN:
            self._take(offset, frame)
        elif fate == FrameFate.END:
            self._close()
            self.backend.breaker.note_success()
            self._flow.on_attempt_end(frame.count)
        elif fate == FrameFate.GAP:
            self._fail('a part of the stream is missing')
        else:
            self._flow.on_frame_dropped()

    def on_refused(self, code, retry_after_ms):
        """See EngineListener."""
        if not self._close():
            return
        self.backend.breaker.note_success()
        self._flow.on_attempt_refused(self, code, retry_after_ms)

    def on_failed(self, exc):
        """See EngineListener."""
        if not self._close():
            return
        self.backend.breaker.note_failure(self._flow.now_ms())
        self._flow.on_attempt_failed(self, exc)

    def _take(self, offset, frame):
        if not self.started:
            self.started = True
            self._note_answered()
            self._flow.on_first_frame()
        self._watch(_STALL_MS)
        self._flow.on_tokens(offset, frame.tokens)

    def _note_answered(self):
        tokens = self._flow.job.tokens
        self.backend.note_answered(self._order.priority, tokens)

    def _fail(self, text):
        self._cancel_call()
        self.on_failed(BackendError(text, sent=True))

    def _cancel_call(self):
        if self._call is not None:
            self._call.cancel()

    def _watch(self, allowed_ms):
        """Allow the engine a time of silence from now.

        A timer for each token would cost more than the token; one timer is
        set again when it ends and finds that the engine has spoken.
        """
        self._silent_ms = self._flow.now_ms() + allowed_ms
        if self._stall is None:
            self._stall = self._flow.timers.after(allowed_ms, self._on_stall)

    def _on_stall(self):
        self._stall = None
        left_ms = self._silent_ms - self._flow.now_ms()
        if self._ended:
            return
        if left_ms > 0:
            self._watch(left_ms)
        else:
            self._fail('the engine fell silent')

    def _close(self):
        if self._ended:
            return False
        self._ended = True
        if self._stall is not None:
            self._stall.cancel()
        backend = self.backend
        backend.in_flight -= 1
        backend.serving_long -= self._flow.job.is_long
        if not self.started:
            self._note_answered()
        return True


class SingleFlow:
    """Serves one job on one engine at a time.

    Attributes:
      job: The Job.
      delivered: How many tokens the caller has, an int.
    """

    def __init__(self, job, desk, sink):
        """Create a flow; run() starts it.

        Args:
          job: The Job.
          desk: The Dispatcher's FlowDesk.
          sink: A RequestSink.
        """
        self._desk = desk
        self._sink = sink
        self._attempts = 0
        self._attempt = None
        self._failed_on = set()
        self._ended = False
        self._first_ms = None
        self.job = job
        self.delivered = 0
        self.timers = desk.timers

    @property
    def dispatched(self):
        """Whether an engine was asked at least once, a bool."""
        return self._attempts > 0

    @property
    def ended(self):
        """Whether the sink was told the end."""
        return self._ended

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def run(self):
        """Send the request to an engine if one has room.

        Returns:
          False if the flow must wait.
        """
        choice = self._desk.choose(self.job, self._failed_on)
        if choice is None:
            return False
        self._attempts += 1
        order = GenerateOrder(
            self.job,
            self._attempts,
            self.delivered,
            self.job.remaining_ms(self.now_ms()),
        )
        self._attempt = Attempt(self, choice.backend, order)
        self._attempt.start(self._desk.engines, choice.start_ms)
        return True

    def cancel(self):
        """Give the request up; neither engine nor caller hear more of it."""
        self._ended = True
        if self._attempt is not None:
            self._attempt.cancel()

    def end(self, refusal):
        """End the request without an answer.

        Args:
          refusal: A Refusal.
        """
        if not self._ended:
            self.cancel()
            self._sink.on_refused(refusal)

    def expire_if_late(self):
        """End the request if its deadline has passed.

        A process may sleep between noticing that bytes came and reading
        them, and then its timers have not run yet.

        Returns:
          True if the request has ended.
        """
        if self.job.remaining_ms(self.now_ms()) < 0:
            self._desk.expire(self)
        return self._ended

    def on_tokens(self, offset, tokens):
        """Pass tokens on to the caller."""
        self.delivered = offset + len(tokens)
        self._sink.on_tokens(offset, tokens)

    def on_first_frame(self):
        """Note that the engine started to answer."""
        if self._first_ms is None:
            self._first_ms = self.now_ms()
        self._desk.note_first(self)

    def token_gap_ms(self):
        """Return the mean time between the tokens that were delivered."""
        if self._first_ms is None:
            return 0
        elapsed_ms = self.now_ms() - self._first_ms
        return elapsed_ms / max(self.delivered - 1, 1)

    def on_frame_dropped(self):
        """Count a frame that was not of this attempt."""
        self._desk.metrics.count('frames_dropped')

    def on_attempt_end(self, count):
        """End the request with a whole answer."""
        self._ended = True
        self._desk.note_success(self)
        self._sink.on_end(count)

    def on_attempt_refused(self, attempt, code, retry_after_ms):
        """Try elsewhere, or wait, after an engine that did not start."""
        self._attempt = None
        self._desk.metrics.count('engine_refusals', code)
        self._desk.note_refusal(attempt.backend, retry_after_ms)
        self._desk.requeue(self)

    def on_attempt_failed(self, attempt, exc):
        """Try elsewhere within the retry budget, or end."""
        self._attempt = None
        self._failed_on.add(attempt.backend.identity)
        self._desk.retry_or_end(self, exc)
