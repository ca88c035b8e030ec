"""Stateful tests of the dispatcher with fake engines.

Engines answer, refuse, fail, stall, and send misrouted, duplicate, out-of-order
or truncated frames; the process is suspended; callers disconnect.
"""

import random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crankchute.core.account_limits import AccountLimits
from crankchute.core.config_loader import load_config
from crankchute.core.dispatcher import Dispatcher, DispatcherPorts
from crankchute.core.fakes import (
    FakeEngines,
    ManualTimers,
    RecordingSink,
    make_config_documents,
    make_job,
    make_listed_instance,
    make_load,
)
from crankchute.core.fleet import Fleet
from crankchute.errors import BackendError
from crankchute.ports.metrics import Metrics

_ENGINES = 3
_ANSWER_TOKENS = 4
_DEADLINE_SLACK_MS = 1
_EVENTS = st.sampled_from(['next', 'again', 'skip', 'cross', 'end', 'early'])


class CompletionMachine(RuleBasedStateMachine):
    """Submits requests to a dispatcher and injects engine faults."""

    def __init__(self):
        """Create a dispatcher with several engines and one account."""
        super().__init__()
        self.timers = ManualTimers()
        self.engines = FakeEngines()
        self.fleet = Fleet()
        self.fleet.replace(
            [make_listed_instance(f'engine-{one}') for one in range(_ENGINES)]
        )
        self.sinks = []
        self.flows = {}
        limits = AccountLimits(self.timers.clock)
        ports = DispatcherPorts(
            engines=self.engines,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        self.dispatcher = Dispatcher(ports, self.fleet, limits, 'dc-1')
        self.dispatcher.config = load_config(1, make_config_documents())
        self.limits = limits
        self.report_load()

    @rule(
        tokens=st.sampled_from([1000, 9000, 300_000, 900_000]),
        deadline_ms=st.integers(min_value=50, max_value=60_000),
    )
    def submit(self, tokens, deadline_ms):
        """Submit a completion."""
        now_ms = self.timers.clock.now_ms()
        job = make_job(
            request_id=f'r{len(self.sinks)}',
            tokens=tokens,
            arrived_ms=now_ms,
            deadline_ms=now_ms + deadline_ms,
            max_tokens=_ANSWER_TOKENS,
        )
        sink = RecordingSink(job, self.timers.clock)
        self.sinks.append(sink)
        flow = self.dispatcher.submit(job, sink)
        if flow is not None:
            self.flows[job.request_id] = flow

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0), event=_EVENTS)
    def send_frame(self, choice, event):
        """Send a valid or faulty frame from an engine."""
        running = self.engines.generating
        generation = running[choice % len(running)]
        generation.send(event)

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0), sent=st.booleans())
    def fail(self, choice, sent):
        """Fail the call to an engine."""
        running = self.engines.generating
        generation = running.pop(choice % len(running))
        generation.listener.on_failed(BackendError('gone', sent=sent))

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0))
    def refuse(self, choice):
        """Refuse an order that has not started."""
        running = self.engines.generating
        generation = running[choice % len(running)]
        if not generation.sent:
            running.remove(generation)
            generation.listener.on_refused('no_memory', 100)

    @precondition(lambda machine: machine.engines.pending_answers)
    @rule(choice=st.integers(min_value=0), accepted=st.booleans())
    def answer_group_call(self, choice, accepted):
        """Answer a memory reservation or a segment prefill of a group."""
        asked = self.engines.pending_answers
        asked.pop(choice % len(asked))(accepted)

    @rule(delay_ms=st.integers(min_value=1, max_value=5000))
    def advance_time(self, delay_ms):
        """Advance the clock, then report the load."""
        self.timers.advance(delay_ms)
        self.report_load()

    @rule(delay_ms=st.integers(min_value=1000, max_value=70_000))
    def suspend_process(self, delay_ms):
        """Suspend and resume the process, possibly past deadlines."""
        self.timers.suspend(delay_ms)
        self.timers.advance(0)
        self.report_load()

    @precondition(lambda machine: machine.engines.generating)
    @rule(
        choice=st.integers(min_value=0),
        delay_ms=st.integers(min_value=1000, max_value=70_000),
    )
    def suspend_before_read(self, choice, delay_ms):
        """Suspend the process after a frame arrives and before it is read."""
        self.timers.suspend(delay_ms)
        running = self.engines.generating
        running[choice % len(running)].send('next')
        self.timers.advance(0)
        self.report_load()

    @precondition(lambda machine: machine.flows)
    @rule(choice=st.integers(min_value=0))
    def disconnect_caller(self, choice):
        """Cancel a request because its caller disconnected."""
        request_ids = sorted(self.flows)
        request_id = request_ids[choice % len(request_ids)]
        self.dispatcher.cancel(self.flows.pop(request_id))
        sink = next(
            one for one in self.sinks if one.job.request_id == request_id
        )
        sink.is_caller_gone = True

    @invariant()
    def requests_end_once_and_in_time(self):
        """No request ends twice, and none is open past its deadline."""
        now_ms = self.timers.clock.now_ms()
        for sink in self.sinks:
            assert sink.end_count <= 1
            assert not sink.is_late
            overdue = now_ms > sink.job.deadline_ms + _DEADLINE_SLACK_MS
            assert sink.end_count or sink.is_caller_gone or not overdue

    @invariant()
    def answers_belong_to_their_request(self):
        """Tokens are the request's own, in order; a final count is right."""
        for sink in self.sinks:
            request_id = sink.job.request_id
            expected = [
                f'{request_id}-{index}' for index in range(_ANSWER_TOKENS)
            ]
            assert sink.tokens == expected[: len(sink.tokens)]
            assert sink.count in {None, len(sink.tokens)}

    @invariant()
    def resources_are_released(self):
        """Without requests, no load, memory or account usage remains."""
        if self.dispatcher.in_progress:
            return
        for backend in self.fleet:
            assert not backend.in_flight
            assert not backend.pending_tokens
            assert not backend.long_prompt_count
        assert not self.engines.held
        account = self.dispatcher.config.accounts['acc']
        assert not self.limits.usage_of(account).in_progress

    def report_load(self):
        """Report the load of every engine."""
        for backend in self.fleet:
            now_ms = self.timers.clock.now_ms()
            self.fleet.record_load(backend, make_load(now_ms))


CompletionMachine.TestCase.settings = settings(
    max_examples=500,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)
TestCompletion = CompletionMachine.TestCase
