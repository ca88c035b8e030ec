"""A state machine of the real dispatcher over fake engines.

Engines answer, refuse, fail, fall silent, and send frames that are crossed,
doubled, out of order or cut; the process sleeps; callers go away.
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

from crankchute.core.config_check import load_config
from crankchute.core.dispatcher import Dispatcher, Ports
from crankchute.core.fakes import (
    FakeEngines,
    ManualTimers,
    RecordingSink,
    make_documents,
    make_job,
    make_listed,
    make_load,
)
from crankchute.core.fleet import Fleet
from crankchute.core.limits import AccountLimits
from crankchute.errors import BackendError
from crankchute.ports.metrics import Metrics

_ENGINES = 3
_LENGTH = 4
_SLACK_MS = 1
_EVENTS = st.sampled_from(['next', 'again', 'skip', 'cross', 'end', 'early'])


class CompletionMachine(RuleBasedStateMachine):
    """Requests, engines and faults around one dispatcher."""

    def __init__(self):
        """Create a dispatcher with three engines and one account."""
        super().__init__()
        self.timers = ManualTimers()
        self.engines = FakeEngines()
        self.fleet = Fleet()
        self.fleet.replace(
            [make_listed(f'engine-{one}') for one in range(_ENGINES)]
        )
        self.sinks = []
        self.flows = {}
        limits = AccountLimits(self.timers.clock)
        ports = Ports(
            engines=self.engines,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        self.dispatcher = Dispatcher(ports, self.fleet, limits, 'dc-1')
        self.dispatcher.config = load_config(1, make_documents())
        self.limits = limits
        self.report()

    @rule(
        tokens=st.sampled_from([1000, 9000, 300_000, 900_000]),
        deadline_ms=st.integers(min_value=50, max_value=60_000),
    )
    def submit(self, tokens, deadline_ms):
        """Ask for a completion."""
        now_ms = self.timers.clock.now_ms()
        job = make_job(
            request_id=f'r{len(self.sinks)}',
            tokens=tokens,
            arrived_ms=now_ms,
            deadline_ms=now_ms + deadline_ms,
            max_tokens=_LENGTH,
        )
        sink = RecordingSink(job, self.timers.clock)
        self.sinks.append(sink)
        flow = self.dispatcher.submit(job, sink)
        if flow is not None:
            self.flows[job.request_id] = flow

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0), event=_EVENTS)
    def send_frame(self, choice, event):
        """Let an engine send a frame, right or wrong."""
        running = self.engines.generating
        generation = running[choice % len(running)]
        generation.send(event)

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0), sent=st.booleans())
    def fail(self, choice, sent):
        """Let an engine fail."""
        running = self.engines.generating
        generation = running.pop(choice % len(running))
        generation.listener.on_failed(BackendError('gone', sent=sent))

    @precondition(lambda machine: machine.engines.generating)
    @rule(choice=st.integers(min_value=0))
    def refuse(self, choice):
        """Let an engine refuse before it starts."""
        running = self.engines.generating
        generation = running[choice % len(running)]
        if not generation.sent:
            running.remove(generation)
            generation.listener.on_refused('no_memory', 100)

    @precondition(lambda machine: machine.engines.asked)
    @rule(choice=st.integers(min_value=0), accepted=st.booleans())
    def answer_group_call(self, choice, accepted):
        """Let an engine answer a hold or a segment."""
        asked = self.engines.asked
        asked.pop(choice % len(asked))(accepted)

    @rule(delay_ms=st.integers(min_value=1, max_value=5000))
    def pass_time(self, delay_ms):
        """Let time pass with fresh load reports."""
        self.timers.advance(delay_ms)
        self.report()

    @rule(delay_ms=st.integers(min_value=1000, max_value=70_000))
    def sleep(self, delay_ms):
        """Let the process sleep, also past deadlines, then wake it."""
        self.timers.jump(delay_ms)
        self.timers.advance(0)
        self.report()

    @precondition(lambda machine: machine.engines.generating)
    @rule(
        choice=st.integers(min_value=0),
        delay_ms=st.integers(min_value=1000, max_value=70_000),
    )
    def wake_in_a_read(self, choice, delay_ms):
        """Let the process sleep between noticing a frame and reading it."""
        self.timers.jump(delay_ms)
        running = self.engines.generating
        running[choice % len(running)].send('next')
        self.timers.advance(0)
        self.report()

    @precondition(lambda machine: machine.flows)
    @rule(choice=st.integers(min_value=0))
    def go_away(self, choice):
        """Let a caller go away."""
        names = sorted(self.flows)
        name = names[choice % len(names)]
        self.dispatcher.cancel(self.flows.pop(name))
        sink = next(one for one in self.sinks if one.job.request_id == name)
        sink.gone = True

    @invariant()
    def every_request_has_one_end(self):
        """No request has two ends, and none is open past its deadline."""
        now_ms = self.timers.clock.now_ms()
        for sink in self.sinks:
            assert sink.ends <= 1
            assert not sink.is_late
            overdue = now_ms > sink.job.deadline_ms + _SLACK_MS
            assert sink.ends or sink.gone or not overdue

    @invariant()
    def answers_are_whole_and_own(self):
        """What was taken is in order, and an end says the right count."""
        for sink in self.sinks:
            name = sink.job.request_id
            wanted = [f'{name}-{index}' for index in range(_LENGTH)]
            assert sink.tokens == wanted[: len(sink.tokens)]
            assert sink.count in {None, len(sink.tokens)}

    @invariant()
    def nothing_stays_counted(self):
        """Without requests nothing is in flight, held or limited."""
        if self.dispatcher.in_progress:
            return
        for backend in self.fleet:
            assert not backend.in_flight
            assert not backend.pending_tokens
            assert not backend.serving_long
        assert not self.engines.held
        account = self.dispatcher.config.accounts['acc']
        assert not self.limits.use_of(account).in_progress

    def report(self):
        """Let every engine report its load."""
        for backend in self.fleet:
            now_ms = self.timers.clock.now_ms()
            self.fleet.note_load(backend, make_load(now_ms))


CompletionMachine.TestCase.settings = settings(
    max_examples=500,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)
TestCompletion = CompletionMachine.TestCase
