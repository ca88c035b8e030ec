"""Integration tests of request forwarding to simulated engines.

The core, choosers, reservations and adapters run on one event loop with
StandinEngines, over loopback sockets.
"""

import random

import pytest

from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.loop import Loop
from crankchute.core.choosers import ChooserParts
from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_config import PoolConfig
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.forward_fakes import (
    POOL,
    FakeJournal,
    FakeSink,
    make_figures,
    make_job,
)
from crankchute.core.forward_job import PromptSize, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.reservations import ReservationManager
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.core.retry_hints import RetryHints
from crankchute.core.sliding_budget import RetryLimits
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.requests import RequestPayload
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.standin_engine import EVENTS, Behaviour, StandinEngine
from crankchute.ports.metrics import Metrics

SHORT = PromptSize(2_000, 100)
HUGE = PromptSize(30_000, 100)
_MEMORY_TOKENS = 10_000
_TICK_S = 0.001
_ORDER_TIMEOUT_MS = 2500
#: The delay after which an engine restarts while a request is running.
_RESTART_AFTER_MS = 50
#: Longer than a release and its retries take.
_RELEASE_TIMEOUT_MS = 20_000
COMPLETE_STREAM = (
    ('head', 200),
    *(('event', number) for number in range(EVENTS)),
    ('end', None),
)


class ForwardingHarness:
    """A Forwarder and its engines on one event loop."""

    def __init__(self, engines=4):
        self.loop = Loop()
        self.moved = []
        client = HttpClient(timers=self.loop.timers).register(self.loop)
        calls = ServerCalls(client, self.loop.timers.clock)
        by_address = {}
        self.engines = [
            StandinEngine(self.loop, f'i-{number}', by_address, _MEMORY_TOKENS)
            for number in range(engines)
        ]
        self.backends = [_list_engine(engine) for engine in self.engines]
        reservations = ReservationManager(
            EngineOrders(calls, self.loop.timers),
            self.loop.timers,
            Metrics(),
            FakeJournal(),
            'instance-boot',
        )
        chooser = EngineChooser(self._make_parts(reservations))
        ports = ForwarderPorts(
            forward=BackendCalls(client, calls),
            timers=self.loop.timers,
            metrics=Metrics(),
            journal=FakeJournal(),
            reservations=reservations,
            hints=RetryHints(random.Random(1)),
            crashes=CrashHistory(self.loop.timers.clock.now_ms),
            record_moved=self.moved.append,
            find_chooser=lambda _pool: chooser,
        )
        limits = RetryLimits(ratio=0, slack=100, window_ms=10_000)
        self.desk = Forwarder(ports, limits)

    @property
    def runs(self):
        return [run for engine in self.engines for run in engine.runs]

    def submit(self, size=SHORT, **fields):
        """Submit a request, wait for its end and return what the caller got."""
        now_ms = self.loop.timers.clock.now_ms()
        usage = f'{size.prompt},{size.answer}'
        headers = [
            ('X-Crankchute-Request-Id', 'r1'),
            ('X-Crankchute-Token-Usage', usage),
        ]
        job = make_job(
            size=size,
            is_stream=True,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 60_000,
            payload=RequestPayload('POST', '/p/', headers, b'body'),
            **{'repeat': RetryMode.RESUME, **fields},
        )
        sink = FakeSink()
        flow = self.desk.submit(job, sink)
        self.loop.run_until(lambda: flow.ended, _TICK_S)
        return tuple(sink.events)

    def wait_until_released(self):
        """Wait until all reserved memory is released, up to a timeout."""
        timed_out = []
        self.loop.timers.after(
            _RELEASE_TIMEOUT_MS, lambda: timed_out.append(True)
        )
        self.loop.run_until(
            lambda: timed_out or not self._engines_with_tickets(),
            _TICK_S,
        )
        assert not self._engines_with_tickets()

    def _engines_with_tickets(self):
        return [engine for engine in self.engines if engine.tickets]

    def _make_parts(self, reservations):
        timers = self.loop.timers
        return ChooserParts(
            pool=PoolConfig(
                POOL, 64, make_figures(memory_tokens=_MEMORY_TOKENS)
            ),
            members=lambda: self.backends,
            timers=timers,
            random=random.Random(1),
            work_tracker=EngineWorkTracker(timers.clock.now_ms),
            announce_work=lambda _change, _work: None,
            last_peer_message_age_ms=lambda: None,
            hints=RetryHints(random.Random(1)),
            data_centre='',
            is_connected=lambda _backend: False,
            create_ticket_id=reservations.create_ticket_id,
            permits=ServerRateLimits(timers, 'entry-0', 'boot').permits,
            count_active=lambda: 1,
        )


@pytest.fixture(autouse=True)
def longer_order_timeout(monkeypatch):
    """Raise the order timeouts, so that tests pass on a busy machine.

    Otherwise slow responses to orders exclude engines until none is left.
    """
    monkeypatch.setattr(
        'crankchute.core.lease._RESERVE_TIMEOUT_MS', _ORDER_TIMEOUT_MS
    )
    monkeypatch.setattr(
        'crankchute.platform.engine_orders._RESERVE_TIMEOUT_MS',
        _ORDER_TIMEOUT_MS,
    )


def _list_engine(engine):
    return Backend(
        ListedServer(
            {
                'id': engine.identity,
                'kind': 'backend',
                'address': engine.address,
                'data_centre': 'one',
                'labels': {'pool': POOL},
                'born': engine.born,
            }
        )
    )


def test_stream_is_forwarded_completely():
    harness = ForwardingHarness()
    assert harness.submit() == COMPLETE_STREAM
    assert [run.first_event for run in harness.runs] == [0]


@pytest.mark.parametrize(
    ('behaviour', 'first_events'),
    [
        (Behaviour.FULL, [0]),
        (Behaviour.CLOSE, [0, 0]),
        (Behaviour.BREAK_OFF, [0, 2]),
    ],
)
def test_stream_resumes_at_another_engine(behaviour, first_events):
    """The stream continues after the last event that the caller has got."""
    harness = ForwardingHarness(engines=2)
    harness.engines[1].next_behaviours.append(behaviour)
    assert harness.submit() == COMPLETE_STREAM
    assert [run.first_event for run in reversed(harness.runs)] == first_events
    assert len({run.request_id for run in harness.runs}) == 1


@pytest.mark.parametrize(
    ('behaviour', 'outcome', 'runs'),
    [
        (Behaviour.CLOSE, Outcome.UNKNOWN, 1),
        (Behaviour.FULL, None, 1),
    ],
)
def test_non_repeatable_request_is_not_retried_after_start(
    behaviour, outcome, runs
):
    harness = ForwardingHarness(engines=2)
    harness.engines[1].next_behaviours.append(behaviour)
    seen = harness.submit(repeat=RetryMode.ONCE)
    assert len(harness.runs) == runs
    if outcome is None:
        assert seen == COMPLETE_STREAM
    else:
        assert seen == (('refused', outcome),)


def test_other_incarnation_at_the_address_gets_no_request():
    harness = ForwardingHarness(engines=2)
    harness.engines[1].identity = 'i-new'
    assert harness.submit() == COMPLETE_STREAM
    assert not harness.engines[1].runs
    assert harness.moved == [harness.backends[1]]


def test_restarted_engine_with_same_id_is_a_new_backend():
    """A stream that hangs there resumes elsewhere; new requests run there."""
    harness = ForwardingHarness(engines=2)
    engine, old_backend = harness.engines[1], harness.backends[1]
    engine.next_behaviours.append(Behaviour.SILENT)
    engine.restart()

    def announce_restart():
        harness.backends[1] = _list_engine(engine)
        harness.desk.record_restarted(old_backend)

    harness.loop.timers.after(_RESTART_AFTER_MS, announce_restart)
    assert harness.submit() == COMPLETE_STREAM
    assert [len(standin.runs) for standin in harness.engines] == [1, 1]
    new_backend = harness.backends[1]
    assert new_backend.identity != old_backend.identity
    assert new_backend.in_flight == old_backend.in_flight == 0
    harness.backends[0].breaker.record_start()
    harness.backends.pop(0)
    assert harness.submit() == COMPLETE_STREAM
    assert len(engine.runs) == 2


def test_memory_reserved_before_a_restart_is_not_reused():
    """Memory is reserved again after the restart."""
    harness = ForwardingHarness()
    helper = harness.engines[0]
    helper.tickets['before-restart'] = _MEMORY_TOKENS
    helper.restart()
    assert harness.submit(HUGE, goal_ms=60_000) == COMPLETE_STREAM
    harness.wait_until_released()


def test_prompt_larger_than_one_memory_uses_several_engines():
    """Each ticket is used once and released when the request has ended."""
    harness = ForwardingHarness()
    assert harness.submit(HUGE, goal_ms=60_000) == COMPLETE_STREAM
    tickets = harness.runs[0].tickets
    assert len(tickets) >= 3
    assert len(set(tickets)) == len(tickets)
    harness.wait_until_released()


@pytest.mark.parametrize('behaviour', [Behaviour.CLOSE, Behaviour.BREAK_OFF])
def test_memory_is_released_after_a_failure(behaviour):
    harness = ForwardingHarness(engines=8)
    for engine in harness.engines:
        engine.next_behaviours.append(behaviour)
    harness.submit(HUGE, goal_ms=60_000)
    assert 1 <= len(harness.runs) <= 2
    harness.wait_until_released()


def test_request_is_refused_as_not_run_without_free_memory():
    harness = ForwardingHarness()
    for engine in harness.engines:
        engine.tickets['other-request'] = _MEMORY_TOKENS
    assert harness.submit(HUGE) == (('refused', Outcome.NOT_RUN),)
    assert not harness.runs


def test_engine_that_does_not_answer_orders_is_not_used():
    harness = ForwardingHarness(engines=8)
    harness.engines[0].answers_orders = False
    assert harness.submit(HUGE, goal_ms=60_000) == COMPLETE_STREAM
    harness.wait_until_released()
