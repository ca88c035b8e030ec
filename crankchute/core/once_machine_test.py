"""Stateful tests of the key ledger and the service router.

The actions are those of the model in spec/once.py: repeated submissions of one
key, crashes, expiry, and calls that run, are refused or are lost.
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

from crankchute.core.config_loader import load_config
from crankchute.core.dispatcher import DispatcherPorts
from crankchute.core.fakes import (
    ManualTimers,
    make_config_documents,
    make_listed_instance,
)
from crankchute.core.fleet import Fleet
from crankchute.core.forward_fakes import FakeJournal
from crankchute.core.request_keys import Binding, Claim, KeyLedger, RequestKey
from crankchute.core.outcomes import Outcome
from crankchute.core.service_router import ServiceCall, ServiceRouter
from crankchute.errors import BackendError
from crankchute.ports.metrics import Metrics
from crankchute.ports.forwarding import AnswerHead, ForwardPort, Rejection

_LONGEST_MS = 10_000
_EXPIRY_MS = 5000


class FakeServices(ForwardPort):
    """Keeps calls until the state machine answers them."""

    def __init__(self):
        """Create a port without calls."""
        self.waiting = []
        self.sent = True

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        self.waiting.append((job.payload, listener))
        return self

    def cancel(self):
        """Do nothing: a call that was sent may still run."""


class OnceMachine(RuleBasedStateMachine):
    """Submits one key repeatedly and injects faults."""

    def __init__(self):
        """Create the first incarnation of the instance."""
        super().__init__()
        self.boot = 0
        self.runs = 0
        self.reported_not_run = False
        self.ends = []
        self.admitted = 0
        self.key = RequestKey(Binding('entry-1', 'boot-0'), _EXPIRY_MS, 'n')
        self.start()

    def start(self):
        """Start an incarnation that keeps no state from before."""
        self.timers = ManualTimers()
        self.services = FakeServices()
        fleet = Fleet()
        names = ('service-0', 'service-1')
        fleet.replace([make_listed_instance(name, 'service') for name in names])
        ports = DispatcherPorts(
            engines=None,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        self.router = ServiceRouter(
            ports,
            fleet,
            self.services,
            FakeJournal(),
        )
        self.router.config = load_config(1, make_config_documents())
        binding = Binding('entry-1', f'boot-{self.boot}')
        self.ledger = KeyLedger(binding, _LONGEST_MS)

    @rule(deadline_ms=st.integers(min_value=1, max_value=4000))
    def submit(self, deadline_ms):
        """Submit the key."""
        now_ms = self.timers.clock.now_ms()
        claim = self.ledger.claim('acc', self.key, now_ms)
        if claim == Claim.FIRST:
            self.admitted += 1
            call = ServiceCall(
                method='POST',
                path='/bookings',
                body=b'{}',
                content_type=None,
                key=str(self.key),
                repeatable=False,
                pool='booking',
                account='acc',
                deadline_ms=now_ms + deadline_ms,
            )
            self.router.submit(call, self.record_end)
        elif claim == Claim.RUNNING:
            self.ledger.wait('acc', self.key, self.record_reported)

    @precondition(lambda machine: machine.services.waiting)
    @rule(answered=st.booleans())
    def run_call(self, answered):
        """Run a call at the service; its answer may be lost."""
        _, listener = self.services.waiting.pop(0)
        self.runs += 1
        if answered:
            listener.on_head(AnswerHead(200))
            listener.on_body(b'done')
            listener.on_end()
        else:
            listener.on_failed(BackendError('closed', sent=True))

    @precondition(lambda machine: machine.services.waiting)
    @rule(sent=st.booleans())
    def lose_call(self, sent):
        """Lose a call in transit, or fail to connect."""
        _, listener = self.services.waiting.pop(0)
        listener.on_failed(BackendError('lost', sent=sent))

    @precondition(lambda machine: machine.services.waiting)
    @rule()
    def refuse_call(self):
        """Refuse a call that the service did not start."""
        _, listener = self.services.waiting.pop(0)
        listener.on_not_run(Rejection('closed'))

    @rule(delay_ms=st.integers(min_value=1, max_value=9000))
    def advance_time(self, delay_ms):
        """Advance the clock, possibly past the key's expiry."""
        self.timers.advance(delay_ms)
        self.ledger.evict_expired(self.timers.clock.now_ms())

    @precondition(lambda machine: machine.boot == 0)
    @rule()
    def crash(self):
        """Lose all state and start as a new incarnation."""
        self.boot = 1
        self.admitted = 0
        self.ends = []
        self.start()

    @invariant()
    def runs_at_most_once(self):
        """The service runs the key at most once."""
        assert self.runs <= 1

    @invariant()
    def not_run_reports_are_true(self):
        """A call that was reported as not run did not run."""
        assert not (self.reported_not_run and self.runs)

    @invariant()
    def every_call_ends_once(self):
        """Each admitted call has ended once or is in progress."""
        assert len(self.ends) + self.router.in_progress == self.admitted

    def record_end(self, end):
        """Record the end of the call and report it to its caller."""
        self.ends.append(end)
        self.ledger.end('acc', self.key, end, 1)
        self.record_reported(end)

    def record_reported(self, end):
        """Record an end that is reported to a caller."""
        outcome = getattr(end, 'outcome', Outcome.OK)
        if outcome == Outcome.NOT_RUN:
            self.reported_not_run = True


OnceMachine.TestCase.settings = settings(
    max_examples=800,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
)
TestOnce = OnceMachine.TestCase
