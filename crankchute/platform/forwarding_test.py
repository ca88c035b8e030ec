"""Tests of the forwarding engine against engines that speak the wire.

The real core, choosers, reservations and adapters run on one loop with a few
engine stand-ins over loopback sockets; nothing is timed.
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
_MEMORY = 10_000
_TICK_S = 0.001
_ORDER_MS = 2500
#: How long a request may be on its way to an engine before that starts again.
_RESTART_MS = 50
#: Far beyond what releases and their repetition take.
_GIVE_UP_MS = 20_000
WHOLE = (
    ('head', 200),
    *(('event', number) for number in range(EVENTS)),
    ('end', None),
)


class World:
    """A desk and its engines on one loop."""

    def __init__(self, engines=4):
        self.loop = Loop()
        self.moved = []
        client = HttpClient(timers=self.loop.timers).register(self.loop)
        calls = ServerCalls(client, self.loop.timers.clock)
        by_address = {}
        self.engines = [
            StandinEngine(self.loop, f'i-{number}', by_address, _MEMORY)
            for number in range(engines)
        ]
        self.backends = [_list_engine(one) for one in self.engines]
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
        """Return what a caller saw, once its request has ended."""
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

    def wait_free(self):
        """Wait until no engine keeps memory for anybody, not for ever."""
        given_up = []
        self.loop.timers.after(_GIVE_UP_MS, lambda: given_up.append(True))
        self.loop.run_until(
            lambda: given_up or not self._kept(),
            _TICK_S,
        )
        assert not self._kept()

    def _kept(self):
        return [engine for engine in self.engines if engine.tickets]

    def _make_parts(self, reservations):
        timers = self.loop.timers
        return ChooserParts(
            pool=PoolConfig(POOL, 64, make_figures(memory_tokens=_MEMORY)),
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
        )


@pytest.fixture(autouse=True)
def long_order_timeout(monkeypatch):
    """Let orders take longer than a busy machine needs for one.

    With 40 such processes at once an order took over the 250 ms after which
    another engine is asked, and no engine was left.
    """
    monkeypatch.setattr('crankchute.core.lease._RESERVE_TIMEOUT_MS', _ORDER_MS)
    monkeypatch.setattr(
        'crankchute.platform.engine_orders._ORDER_MS', _ORDER_MS
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


def test_stream_is_passed_on_whole():
    world = World()
    assert world.submit() == WHOLE
    assert [run.first_event for run in world.runs] == [0]


@pytest.mark.parametrize(
    ('behaviour', 'starts'),
    [
        (Behaviour.FULL, [0]),
        (Behaviour.CLOSE, [0, 0]),
        (Behaviour.BREAK_OFF, [0, 2]),
    ],
)
def test_stream_goes_on_at_another_engine(behaviour, starts):
    """What fails once is taken up where the caller's events end."""
    world = World(engines=2)
    world.engines[1].next_behaviours.append(behaviour)
    assert world.submit() == WHOLE
    assert [run.first_event for run in reversed(world.runs)] == starts
    assert len({run.request_id for run in world.runs}) == 1


@pytest.mark.parametrize(
    ('behaviour', 'outcome', 'runs'),
    [
        (Behaviour.CLOSE, Outcome.UNKNOWN, 1),
        (Behaviour.FULL, None, 1),
    ],
)
def test_request_that_may_start_once_is_not_sent_again(
    behaviour, outcome, runs
):
    world = World(engines=2)
    world.engines[1].next_behaviours.append(behaviour)
    seen = world.submit(repeat=RetryMode.ONCE)
    assert len(world.runs) == runs
    if outcome is None:
        assert seen == WHOLE
    else:
        assert seen == (('refused', outcome),)


def test_another_incarnation_at_the_address_runs_nothing():
    world = World(engines=2)
    world.engines[1].identity = 'i-new'
    assert world.submit() == WHOLE
    assert not world.engines[1].runs
    assert world.moved == [world.backends[1]]


def test_engine_that_started_again_under_its_id_begins_anew():
    """A stream that hung there goes on elsewhere, and new ones run there."""
    world = World(engines=2)
    engine, before = world.engines[1], world.backends[1]
    engine.next_behaviours.append(Behaviour.SILENT)
    engine.restart()

    def tell_restart():
        world.backends[1] = _list_engine(engine)
        world.desk.record_restarted(before)

    world.loop.timers.after(_RESTART_MS, tell_restart)
    assert world.submit() == WHOLE
    assert [len(one.runs) for one in world.engines] == [1, 1]
    again = world.backends[1]
    assert again.identity != before.identity
    assert again.in_flight == before.in_flight == 0
    world.backends[0].breaker.record_start()
    world.backends.pop(0)
    assert world.submit() == WHOLE
    assert len(engine.runs) == 2


def test_memory_of_before_is_not_there_after_a_restart():
    """What an engine set aside before it started again is set aside anew."""
    world = World()
    helper = world.engines[0]
    helper.tickets['of-before'] = _MEMORY
    helper.restart()
    assert world.submit(HUGE, goal_ms=60_000) == WHOLE
    world.wait_free()


def test_prompt_beyond_one_memory_is_held_by_several_engines():
    """Each ticket is used once and free when the request has ended."""
    world = World()
    assert world.submit(HUGE, goal_ms=60_000) == WHOLE
    tickets = world.runs[0].tickets
    assert len(tickets) >= 3
    assert len(set(tickets)) == len(tickets)
    world.wait_free()


@pytest.mark.parametrize('behaviour', [Behaviour.CLOSE, Behaviour.BREAK_OFF])
def test_memory_is_free_after_a_failure(behaviour):
    world = World(engines=8)
    for engine in world.engines:
        engine.next_behaviours.append(behaviour)
    world.submit(HUGE, goal_ms=60_000)
    assert 1 <= len(world.runs) <= 2
    world.wait_free()


def test_memory_that_cannot_be_set_aside_is_said_not_to_have_run():
    world = World()
    for engine in world.engines:
        engine.tickets['of-another'] = _MEMORY
    assert world.submit(HUGE) == (('refused', Outcome.NOT_RUN),)
    assert not world.runs


def test_engine_that_leaves_orders_unanswered_is_done_without():
    world = World(engines=8)
    world.engines[0].answers_orders = False
    assert world.submit(HUGE, goal_ms=60_000) == WHOLE
    world.wait_free()
