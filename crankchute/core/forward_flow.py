"""The life cycle of a forwarded request: attempts, retries and resumption.

A non-repeatable request is retried only if it certainly did not start: the
connection or the server refused it.  Once bytes were sent and no answer
arrived, its outcome is unknown.  A resumable stream continues at another
server after the last event that the caller received; incomplete events are
never forwarded.
"""

from functools import partial

from crankchute.core.forward_attempt import FIRST_SERVER_ERROR, Attempt
from crankchute.core.memory_planning import NO_MEMORY
from crankchute.core.outcomes import Outcome, Refusal, refuse_not_run
from crankchute.core.request_placement import place_request

#: How often a request is placed again after a refused reservation.  Under
#: overload, further attempts mostly fail too and disturb other reservations.
_MAX_RESERVATION_RETRIES = 2


class ForwardFlow:
    """Serves one job; its sink receives exactly one end.

    Attributes:
      job: The ForwardJob.
      attempt: The Attempt in progress, or None.
      attempts: The number of times that the request was sent.
      avoided: The ids of servers that must not get the request, a set.
      last_event_id: The id of the last event that the caller received, or None.
      ended: Whether the request has ended.
      may_have_run: Whether a server may have run the request in an attempt that
        has ended, a bool.
      forwarded_events: The number of forwarded events.
      server: The id of the server of the last attempt, or None.
    """

    #: Retry hint in milliseconds for a request that started but did not finish.
    unfinished_retry_after_ms = None

    __slots__ = (
        '_cause',
        '_context',
        '_last_answer',
        '_refused_reservations',
        '_sink',
        '_streaming',
        '_timer',
        'attempt',
        'attempts',
        'avoided',
        'ended',
        'forwarded_events',
        'job',
        'last_event_id',
        'may_have_run',
        'server',
    )

    def __init__(self, job, context, sink):
        """Create a flow; start() sends the request.

        Args:
          job: A ForwardJob.
          context: The Forwarder, or another AttemptContext.
          sink: An AnswerSink.
        """
        self._context = context
        self._sink = sink
        self.attempt = None
        self.avoided = set(job.relay.avoided if job.relay else ())
        self._cause = None
        self._last_answer = None
        self.may_have_run = False
        self._refused_reservations = 0
        self._streaming = False
        self._timer = None
        self.attempts = 0
        self.last_event_id = job.resume_after
        self.server = None
        self.ended = False
        self.job = job
        self.forwarded_events = 0

    def start(self):
        """Send the request and start its deadline timer."""
        remaining_ms = self.job.remaining_ms(self.now_ms())
        self._timer = self._context.after(remaining_ms, self._on_deadline)
        self._try_next(None)

    def give_up(self, code, text, retry_after_ms=None):
        """End the request now; its caller learns whether it may have run.

        Args:
          code: A short identifier for programs.
          text: A sentence for people.
          retry_after_ms: The retry hint if it did not run, or None.
        """
        if self.ended:
            return
        self._cancel_attempt()
        self._last_answer = None
        self._fail(code, text, retry_after_ms)

    def cancel(self):
        """Cancel the request because its caller disconnected."""
        if self.ended:
            return
        self._cancel_attempt()
        self._end(Outcome.FAILED, 'caller_gone')

    def record_collected(self, size):
        """Record the bytes of an answer that the attempt has collected.

        Args:
          size: The number of bytes.
        """
        if self._last_answer is not None:
            size += len(self._last_answer[1])
        self._sink.on_collected(size)

    def now_ms(self):
        """Return the current time on this process's clock."""
        return self._context.now_ms()

    def on_event(self, attempt, head, event):
        """Forward an event, unless the caller already received it."""
        if self._expire_if_late():
            return
        if not _is_new(event, self.last_event_id):
            self._context.record_dropped(self, attempt)
            return
        if not self._streaming:
            self._streaming = True
            self._sink.on_head(head)
        if event.number is not None:
            self.last_event_id = event.number
        self.forwarded_events += 1
        self._sink.on_event(event)

    def on_attempt_sent(self, attempt):
        """Count an attempt that is being sent."""
        self.attempts += 1
        if self.attempts > 1:
            self.record_collected(0)
        self._context.record_attempt(self, attempt, self._cause)

    def on_reservation_refused(self, attempt, refused, cause='no_memory'):
        """Choose other servers after helpers refused to reserve memory."""
        self.attempt = None
        self.avoided.update(one.backend.identity for one in refused)
        self._refused_reservations += cause == NO_MEMORY
        if self._refused_reservations > _MAX_RESERVATION_RETRIES:
            self._fail(NO_MEMORY, 'engines refused to reserve its memory')
        else:
            self._try_next(cause)

    def on_attempt_end(self, attempt, head, body):
        """End with the server's answer, or retry after a 5xx status."""
        self.attempt = None
        self.may_have_run = True
        self._context.record_attempt_end(self, attempt, str(head.status))
        self._context.crash_detector.record_answered(attempt, self.job, head)
        if self.job.is_stream and head.is_success:
            if not self._expire_if_late():
                self._finish_stream(head)
            return
        is_server_error = head.status >= FIRST_SERVER_ERROR
        may_retry = is_server_error and self.job.may_retry
        if may_retry and self._may_retry(attempt.placement.answering):
            self._last_answer = (head, body)
            self._try_next(head.status)
        elif self._streaming:
            self._fail('not_resumed', 'the stream was not taken up')
        else:
            self._sink.on_answer(head, body)
            outcome = Outcome.FAILED if is_server_error else Outcome.OK
            self._end(outcome, str(head.status))

    def on_attempt_not_run(self, attempt, rejection):
        """Retry at another server after a rejection."""
        self.attempt = None
        self._context.record_attempt_end(self, attempt, rejection.code)
        if rejection.is_final:
            text = 'another instance refused it'
            self._fail(rejection.code, text, rejection.retry_after_ms)
            return
        self._context.record_rejection(self, attempt, rejection)
        if self._may_retry(attempt.placement.find_rejecting(rejection)):
            self._try_next(rejection.code)
        else:
            self._fail(rejection.code, 'no backend server took it')

    def on_attempt_failed(self, attempt, exc):
        """Retry at another server if that is allowed, or end."""
        self._record_failed(attempt, exc)
        if not exc.sent:
            self.attempts -= 1
            self._context.paths.after_check(
                self.job, partial(self._try_next, 'not_connected')
            )
            return

        def retry_or_fail():
            if self.ended:
                return
            watch = self._context.crash_detector
            is_safe = watch.may_retry(self.job.fingerprint)
            may_retry = self.job.may_retry and is_safe
            if may_retry and self._may_retry(attempt.placement.answering):
                self._try_next('failed')
            else:
                self._fail('backend_failed', str(exc))

        after_check = partial(
            self._context.paths.after_check, self.job, retry_or_fail
        )
        self._after_failure(attempt, exc, after_check)

    def replace_attempt(self, attempt, placement):
        """Send the request to another server, since its own is silent.

        Args:
          attempt: The Attempt in progress.
          placement: The Placement of the next one, for which a retry was
            taken from the budget; freed if the deadline has passed.
        """
        self._record_failed(attempt, attempt.end_replaced())
        self._try_next('failed', placement)

    def _after_failure(self, attempt, exc, callback):
        """Call back once it is known whether the server crashed.

        The answer decides whether the request may be sent again.
        """
        if exc.connection_lost and not attempt.placement.is_relayed:
            self._context.crash_detector.record_connection_lost(
                attempt, self.job, callback
            )
        else:
            callback()

    def _record_failed(self, attempt, exc):
        self.may_have_run = self.may_have_run or exc.sent
        self.attempt = None
        self.avoided.add(attempt.placement.answering)
        self._context.record_failed(self, attempt, exc)

    def _try_next(self, cause, choice=None):
        if self._expire_if_late():
            if choice is not None:
                self._context.record_freed(self, choice)
            return

        def start_attempt(choice):
            if self.ended:
                return
            if isinstance(choice, Refusal):
                self._fail(choice.code, choice.text, choice.retry_after_ms)
                return
            self._cause = cause
            self.server = choice.backend.identity
            self.attempt = Attempt(self, self._context, choice)
            self.attempt.start()

        if choice is None:
            place_request(self._context, self, self.avoided, start_attempt)
        else:
            start_attempt(choice)

    def _finish_stream(self, head):
        if not self._streaming:
            self._sink.on_head(head)
        self._sink.on_end()
        self._end(Outcome.OK, 'whole')

    def _may_retry(self, failed):
        """Return whether the request may be sent to another server.

        Args:
          failed: The id of the server that failed.
        """
        self.avoided.add(failed)
        has_attempts = self.attempts < self.job.max_attempts
        return has_attempts and self._context.take_retry(self.job)

    def _expire_if_late(self):
        if not self.ended and self.job.remaining_ms(self.now_ms()) < 0:
            self._on_deadline()
        return self.ended

    def _on_deadline(self):
        self.give_up('deadline_exceeded', 'the deadline has passed')

    def _cancel_attempt(self):
        attempt = self.attempt
        if attempt is None:
            return
        # The records below may raise an error.
        self.may_have_run = self.may_have_run or attempt.is_sent
        self.attempt = None
        attempt.cancel()
        if attempt.is_sent:
            self._context.record_attempt_end(self, attempt, 'cancelled')

    def _fail(self, code, text, retry_after_ms=None):
        if self._last_answer is not None and not self._streaming:
            # An error answer from a server is more specific than a refusal.
            head, body = self._last_answer
            self._sink.on_answer(head, body)
            self._end(Outcome.FAILED, str(head.status))
            return
        if retry_after_ms is None:
            retry_after_ms = self._context.choose_retry_after_ms(self.job)
        if self.may_have_run or self._streaming:
            may_retry = self.job.may_retry or self._streaming
            refusal = Refusal(
                Outcome.FAILED if may_retry else Outcome.UNKNOWN,
                code,
                text,
                retry_after_ms=self.unfinished_retry_after_ms,
            )
        else:
            refusal = refuse_not_run(code, text, retry_after_ms)
        self._sink.on_refused(refusal)
        self._end(refusal.outcome, code)

    def _end(self, outcome, code):
        self.ended = True
        self._last_answer = None
        if self._timer is not None:
            self._timer.cancel()
        self._context.record_end(self, outcome, code)


def _is_new(event, last_event_id):
    if event.number is None or last_event_id is None:
        return True
    return event.number > last_event_id
