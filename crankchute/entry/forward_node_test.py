"""Tests of how an instance stops; it takes part over loopback sockets."""

import pytest

from crankchute.adapters.loop import Loop
from crankchute.core.engine_fakes import FakeReports
from crankchute.core.fleet import ListedServer
from crankchute.core.forward_config import ForwardConfig, PoolConfig
from crankchute.core.forward_fakes import (
    POOL,
    FakeForwardPort,
    FakeReservations,
    FakeSink,
    make_figures,
    make_job,
)
from crankchute.core.reported_load import ReportedLoad
from crankchute.core.sliding_budget import RetryLimits
from crankchute.entry.forward_node import (
    ForwardLimits,
    ForwardNode,
    ForwardWiring,
    InstanceIdentity,
)
from crankchute.ports.forwarding import AnswerHead
from crankchute.standins.ports import LOOPBACK, pick_ports

_TICK_S = 0.001
_TTL_MS = 10
_UNUSED_MS = 9000
_GRACE_MS = 60_000


class World:
    """An instance with one server, which answers when a test says so."""

    def __init__(self, figures=None):
        self.reports = FakeReports()
        self.loop = Loop()
        self.port = FakeForwardPort()
        peer_port, caller_port = pick_ports(2)
        identity = InstanceIdentity(
            'one',
            'here',
            peer_address=(LOOPBACK, peer_port),
            caller_address=(LOOPBACK, caller_port),
            seeds=(),
        )
        retries = RetryLimits(ratio=0, slack=10, window_ms=1000)
        limits = ForwardLimits(
            retries=retries,
            address_ttl_ms=_TTL_MS,
            grace_ms=_GRACE_MS,
            unused_ms=_UNUSED_MS,
        )
        wiring = ForwardWiring(
            port=self.port,
            reservations=FakeReservations(),
            reports=self.reports,
            take_config=lambda _payload: None,
            take_servers=lambda _changes: False,
            pool_label='pool',
        )
        self.node = ForwardNode(self.loop, identity, limits, wiring)
        self.stopped = []
        self.node.on_stopped = lambda: self.stopped.append(True)
        self._publish(figures)

    def wait_turns(self, delay_ms):
        """Let the loop run for a while."""
        over = []
        self.loop.timers.after(delay_ms, lambda: over.append(True))
        self.loop.run_until(lambda: bool(over), _TICK_S)

    def submit(self):
        """Return the sink of a request that its server works on."""
        now_ms = self.node.now_ms()
        job = make_job(arrived_ms=now_ms, deadline_ms=now_ms + _GRACE_MS)
        sink = FakeSink()
        self.node.desk.submit(job, sink)
        return sink

    def answer(self):
        """Let the server answer its oldest request."""
        listener = self.port.calls.pop(0).listener
        listener.on_head(AnswerHead(200))
        listener.on_end()

    def list_server(self, born):
        """Take the entry of the server, as it started at some time."""
        self.node.fleet.put(
            ListedServer(
                {
                    'id': 's1',
                    'kind': 'backend',
                    'address': f'{LOOPBACK}:1',
                    'data_centre': 'here',
                    'labels': {'pool': POOL},
                    'born': born,
                }
            )
        )

    def _publish(self, figures):
        self.list_server(100)
        config = ForwardConfig(1, [], [PoolConfig(POOL, 8, figures)])
        self.node.holder.offer(config, b'')
        self.node.record_listed()


@pytest.mark.parametrize('in_progress', [0, 1, 3])
def test_stopping_waits_for_what_is_in_progress(in_progress):
    """Every request that was read gets its answer, late ones included."""
    world = World()
    sinks = [world.submit() for _ in range(in_progress)]
    world.node.stop()
    assert not world.node.is_accepting
    if in_progress:
        world.wait_turns(400)
        assert not world.stopped
        sinks.append(world.submit())
        while world.port.calls:
            world.answer()
    world.loop.run_until(lambda: bool(world.stopped), _TICK_S)
    for sink in sinks:
        assert sink.events == [('answer', 200)]


def test_first_request_to_an_engine_asks_for_its_load():
    world = World(make_figures())
    assert not world.reports.polled
    world.submit()
    world.submit()
    assert world.reports.polled == ['s1@100']


def test_restart_of_a_server_ends_all_that_went_by_its_earlier_start():
    world = World(make_figures())
    sink = world.submit()
    state = world.node.work_tracker.state('s1@100')
    assert state.works
    world.list_server(200)
    first, again = world.port.calls
    assert first.cancelled
    assert again.placement.backend.identity == 's1@200'
    assert world.port.forgotten == ['s1@100']
    assert not world.node.work_tracker.state('s1@100').works
    assert len(world.node.work_tracker.state('s1@200').works) == 1
    world.port.calls.pop(0)
    world.answer()
    assert sink.events == [('answer', 200)]
    assert not world.node.work_tracker.state('s1@200').works


def test_report_may_tell_first_that_an_engine_started_again():
    world = World(make_figures())
    load = ReportedLoad(3, born=200)
    world.reports.loads['s1@100'] = load
    world.submit()
    assert world.node.fleet.get('s1@100') is None
    state = world.node.work_tracker.state('s1@200')
    assert state.count_requests(world.node.now_ms(), 1000) >= 2
