"""Tests of the promise that a forwarded request did not run.

In the stateful test, attempts connect, arrive, are answered, rejected or lost in any order, while
the process may be suspended past the deadline.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import (
    MOVED,
    AnswerHead,
    Rejection,
    StreamEvent,
)

_DEADLINE_MS = 3000
_REJECTIONS = ('full', 'rejected', MOVED)
_STATUSES = (200, 500)


class ForwardMachine(RuleBasedStateMachine):
    """Serves one request at servers that behave badly."""

    @initialize(
        repeat=st.sampled_from(RetryMode),
        is_stream=st.booleans(),
        max_attempts=st.integers(1, 3),
        resume_after=st.sampled_from((None, 2)),
    )
    def submit(self, repeat, is_stream, max_attempts, resume_after):
        """Submit the request."""
        self.harness = ForwardHarness()
        self.rejected = []
        self.seen = 0
        submitted = self.harness.submit(
            repeat=repeat,
            is_stream=is_stream,
            max_attempts=max_attempts,
            resume_after=resume_after,
            deadline_ms=_DEADLINE_MS,
        )
        self.flow = submitted[0]
        self.sink = submitted[1]
        self.connect_later()

    @property
    def call(self):
        """The last call, or None without one."""
        calls = self.harness.port.calls
        return calls[-1] if calls else None

    @property
    def is_open(self):
        """Whether the last call may still get an answer."""
        call = self.call
        return not (self.flow.ended or call is None or call.cancelled)

    @property
    def has_arrived(self):
        """Whether the server of the last call may answer."""
        return self.is_open and self.call.sent

    def connect_later(self):
        """Let new calls wait for their connections."""
        calls = self.harness.port.calls
        for call in calls[self.seen :]:
            call.sent = False
        self.seen = len(calls)

    @precondition(lambda machine: machine.is_open and not machine.call.sent)
    @rule(is_connected=st.sampled_from((True, True, True, False)))
    def connect(self, is_connected):
        """Send the request, or fail to connect."""
        if is_connected:
            self.call.sent = True
        else:
            error = BackendError('connect failed', sent=False)
            self.call.listener.on_failed(error)
            self.connect_later()

    @precondition(lambda machine: machine.has_arrived)
    @rule(status=st.sampled_from(_STATUSES), has_events=st.booleans())
    def answer(self, status, has_events):
        """Answer the request, as a stream with an event or none."""
        listener = self.call.listener
        listener.on_head(AnswerHead(status))
        if has_events and self.flow.job.is_stream:
            listener.on_event(StreamEvent(3, b'id: 3\n\n'))
        listener.on_end()
        self.connect_later()

    @precondition(lambda machine: machine.has_arrived)
    @rule(code=st.sampled_from(_REJECTIONS), is_final=st.booleans())
    def reject(self, code, is_final):
        """Reject the request."""
        self.rejected.append(self.call)
        self.call.listener.on_not_run(Rejection(code, is_final=is_final))
        self.connect_later()

    @precondition(lambda machine: machine.has_arrived)
    @rule(is_cut=st.booleans())
    def lose(self, is_cut):
        """Lose the answer, perhaps with its connection."""
        error = BackendError('lost', sent=True, connection_lost=is_cut)
        self.call.listener.on_failed(error)
        self.connect_later()

    @precondition(lambda machine: machine.has_arrived)
    @rule()
    def end_lost(self):
        """Report that the server of the attempt is gone."""
        attempt = self.flow.attempt
        if attempt is not None:
            attempt.end_lost(attempt.backend, 'the server is gone')
            self.connect_later()

    @rule(delay_ms=st.sampled_from((1, 10, _DEADLINE_MS // 4)))
    def advance(self, delay_ms):
        """Let time pass."""
        self.harness.timers.advance(delay_ms)
        self.connect_later()

    @rule(delay_ms=st.sampled_from((_DEADLINE_MS // 4, _DEADLINE_MS + 1)))
    def suspend(self, delay_ms):
        """Let time pass without running timers."""
        self.harness.timers.suspend(delay_ms)

    @invariant()
    def not_run_is_true(self):
        """A caller is told so only if no server can have run the request."""
        if not self.flow.ended:
            return
        arrived = {one for one in self.harness.port.calls if one.sent}
        if self.sink.events[-1] == ('refused', Outcome.NOT_RUN):
            assert arrived <= set(self.rejected)

    @invariant()
    def non_repeatable_request_runs_once(self):
        """Only rejected attempts are followed by others."""
        calls = self.harness.port.calls
        if self.flow.job.repeat == RetryMode.ONCE:
            unknown = [one for one in calls if one.sent]
            assert len(set(unknown) - set(self.rejected)) <= 1


ForwardMachine.TestCase.settings = settings(
    max_examples=800,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)
TestForward = ForwardMachine.TestCase


@pytest.mark.parametrize(
    ('repeat', 'outcome'),
    [
        (RetryMode.ONCE, Outcome.UNKNOWN),
        (RetryMode.AGAIN, Outcome.FAILED),
        (RetryMode.RESUME, Outcome.FAILED),
    ],
)
def test_stream_without_events_that_ends_late_has_run(repeat, outcome):
    """The deadline passes while the process is suspended."""
    harness = ForwardHarness()
    _flow, sink = harness.submit(
        repeat=repeat, is_stream=True, deadline_ms=_DEADLINE_MS
    )
    harness.timers.suspend(_DEADLINE_MS + 1)
    listener = harness.port.calls[-1].listener
    listener.on_head(AnswerHead(_STATUSES[0]))
    listener.on_end()
    assert sink.events == [('refused', outcome)]


@pytest.mark.parametrize('end', ['answer', 'loss'])
@pytest.mark.parametrize(
    ('repeat', 'outcome'),
    [(RetryMode.ONCE, Outcome.UNKNOWN), (RetryMode.AGAIN, Outcome.FAILED)],
)
def test_request_whose_end_was_not_recorded_has_not_run(repeat, outcome, end):
    """An error keeps the end of its attempt from the request."""
    harness = ForwardHarness()
    harness.chooser.record_end = fail_to_record
    _flow, sink = harness.submit(repeat=repeat, deadline_ms=_DEADLINE_MS)
    listener = harness.port.calls[-1].listener
    with pytest.raises(ValueError):
        if end == 'answer':
            listener.on_head(AnswerHead(_STATUSES[0]))
            listener.on_end()
        else:
            listener.on_failed(BackendError('lost', sent=True))
    harness.timers.advance(_DEADLINE_MS + 1)
    assert sink.events == [('refused', outcome)]


def fail_to_record(_job, _placement):
    raise ValueError('the end cannot be recorded')
