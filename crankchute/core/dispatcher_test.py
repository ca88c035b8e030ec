"""Tests for completions that crash engines.

They guard against a completion that is retried, and submitted again, until it
has crashed one engine after another.
"""

import random

import pytest

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
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.metrics import Metrics

CRASHING_FINGERPRINT = 7
_SETTLE_MS = 100


class DispatcherHarness:
    """A dispatcher whose engines close the connection on every attempt."""

    def __init__(self, is_listening, engines=30):
        self.timers = ManualTimers()
        self.engines = FakeEngines()
        self.engines.is_listening = is_listening
        self.fleet = Fleet()
        self.fleet.replace(
            [make_listed_instance(f'engine-{one:02}') for one in range(engines)]
        )
        ports = DispatcherPorts(
            engines=self.engines,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        limits = AccountLimits(self.timers.clock)
        self.dispatcher = Dispatcher(ports, self.fleet, limits, 'dc-1')
        self.dispatcher.config = load_config(1, make_config_documents())
        self.cut_attempts = 0

    def submit(self, fingerprint=CRASHING_FINGERPRINT):
        """Submit a completion whose attempts all fail, and return its sink."""
        now_ms = self.timers.clock.now_ms()
        for backend in self.fleet:
            self.fleet.record_load(backend, make_load(now_ms))
        job = make_job(
            request_id=f'r{now_ms}',
            fingerprint=fingerprint,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 60_000,
        )
        sink = RecordingSink(job, self.timers.clock)
        self.dispatcher.submit(job, sink)
        while self.engines.generating:
            self.cut_attempts += 1
            generation = self.engines.generating.pop()
            exc = BackendError('closed', sent=True, connection_lost=True)
            generation.listener.on_failed(exc)
            self.timers.advance(_SETTLE_MS)
        return sink


@pytest.mark.parametrize('is_listening', [False, True, None])
def test_completion_that_crashes_engines_is_refused(is_listening):
    harness = DispatcherHarness(is_listening)
    for _ in range(4):
        sink = harness.submit()
    assert (harness.cut_attempts <= 3) == (is_listening is False)
    assert sink.end_count == 1
    is_refused = sink.refusal.code == 'crashes_servers'
    assert is_refused == (is_listening is False)
    if is_refused:
        assert sink.refusal.outcome == Outcome.NOT_RUN


def test_other_completions_are_still_served():
    harness = DispatcherHarness(is_listening=False)
    for _ in range(4):
        harness.submit()
    before = harness.cut_attempts
    harness.submit(fingerprint=8)
    assert harness.cut_attempts > before
