"""Tests of requests in progress whose pool is removed or changes its kind."""

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.forward_fakes import ForwardHarness, make_chooser_parts
from crankchute.core.forward_job import PromptSize, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead, Rejection, StreamEvent

_SIZE = PromptSize(prompt=2000, answer=100)
_DEADLINE_MS = 3000
_HEAD = AnswerHead(200)
_NOT_RUN = ('refused', Outcome.NOT_RUN)
_WHOLE = (('end', None), ('answer', 200))
#: What the attempt in progress meets after the change.
_ENDS = ('answer', 'deadline', 'lost', 'not connected', 'rejection')
_NOT_STARTED = ('not connected', 'rejection')


class ChangingPool:
    """A Forwarder whose pool changes.

    Attributes:
      harness: The ForwardHarness.
      works: The EngineWorkTracker of all choosers.
    """

    def __init__(self, kind):
        """Create the pool.

        Args:
          kind: The kind of its servers: "plain", "engines", or "removed".
        """
        self.harness = ForwardHarness()
        self._parts = make_chooser_parts(
            self.harness.timers, lambda: self.harness.backends
        )
        self.works = self._parts.work_tracker
        self.change(kind)

    def change(self, kind):
        """Let a new configuration take effect; see __init__."""
        choosers = {
            'plain': LeastBusyChooser(self._parts),
            'engines': EngineChooser(self._parts),
        }
        self.harness.forwarder.find_chooser = lambda _pool: choosers.get(kind)

    def submit(self, kind, repeat):
        """Submit a request to servers of a kind."""
        return self.harness.submit(
            repeat=repeat,
            size=_SIZE if kind == 'engines' else None,
            is_stream=kind == 'engines',
            deadline_ms=_DEADLINE_MS,
        )

    def answer(self, flow, call):
        """Answer an attempt whole."""
        call.listener.on_head(_HEAD)
        if flow.job.is_stream:
            call.listener.on_event(StreamEvent(1, b'id: 1\n\n'))
        else:
            call.listener.on_body(b'whole')
        call.listener.on_end()

    def answer_later(self, flow):
        """Answer the attempts that follow the first one."""
        for later in self.harness.port.calls[1:]:
            self.answer(flow, later)

    def end(self, flow, call, end):
        """Let an attempt meet one of _ENDS."""
        listener = call.listener
        if end == 'answer':
            self.answer(flow, call)
        elif end == 'rejection':
            listener.on_not_run(Rejection('full'))
        elif end in {'lost', 'not connected'}:
            call.sent = end == 'lost'
            listener.on_failed(BackendError(end, sent=call.sent))
        else:
            self.harness.timers.advance(_DEADLINE_MS + 1)


@pytest.mark.parametrize('end', _ENDS)
@pytest.mark.parametrize('repeat', RetryMode)
@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('plain', 'removed'),
        ('plain', 'engines'),
        ('engines', 'removed'),
        ('engines', 'plain'),
        ('engines', 'engines'),
    ],
)
def test_changed_pool_leaves_a_request_without_a_true_end(
    before, after, repeat, end
):
    pool = ChangingPool(before)
    flow, sink = pool.submit(before, repeat)
    call = pool.harness.port.calls[0]
    pool.change(after)
    pool.end(flow, call, end)
    pool.answer_later(flow)
    pool.harness.timers.advance(_DEADLINE_MS + 1)
    assert flow.ended
    assert not pool.harness.forwarder.flows
    if end == 'answer':
        assert sink.events[-1] in _WHOLE
    if end not in _NOT_STARTED:
        assert _NOT_RUN not in sink.events
    if end not in _NOT_STARTED and repeat == RetryMode.ONCE:
        assert len(pool.harness.port.calls) == 1
    assert not any(backend.in_flight for backend in pool.harness.backends)


@pytest.mark.parametrize('end', _ENDS)
@pytest.mark.parametrize('after', ['removed', 'plain', 'engines'])
def test_work_of_a_changed_pool_counts_until_its_deadline(after, end):
    """Engines would seem busy if the pool came back."""
    pool = ChangingPool('engines')
    flow, _sink = pool.submit('engines', RetryMode.ONCE)
    call = pool.harness.port.calls[0]
    assert pool.works.has_work(call.placement.backend.identity)
    pool.change(after)
    pool.end(flow, call, end)
    pool.answer_later(flow)
    for backend in pool.harness.backends:
        assert not pool.works.has_work(backend.identity)
