"""Tests of shutdown, load queries and server restarts at one instance."""

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


class SingleInstance:
    """An instance with one fake server that a test controls."""

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
        self._configure_pool(figures)

    def run_for(self, delay_ms):
        """Run the event loop for some time."""
        elapsed = []
        self.loop.timers.after(delay_ms, lambda: elapsed.append(True))
        self.loop.run_until(lambda: bool(elapsed), _TICK_S)

    def submit(self):
        """Submit a request and return its sink."""
        now_ms = self.node.now_ms()
        job = make_job(arrived_ms=now_ms, deadline_ms=now_ms + _GRACE_MS)
        sink = FakeSink()
        self.node.desk.submit(job, sink)
        return sink

    def answer_oldest(self):
        """Complete the oldest request at the server."""
        listener = self.port.calls.pop(0).listener
        listener.on_head(AnswerHead(200))
        listener.on_end()

    def list_server(self, born):
        """List the server with a start time."""
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

    def _configure_pool(self, figures):
        self.list_server(100)
        config = ForwardConfig(1, [], [PoolConfig(POOL, 8, figures)])
        self.node.holder.offer(config, b'')
        self.node.record_listed()


@pytest.mark.parametrize('in_progress', [0, 1, 3])
def test_shutdown_waits_for_requests_in_progress(in_progress):
    """Requests that arrive during the shutdown are answered, too."""
    instance = SingleInstance()
    sinks = [instance.submit() for _ in range(in_progress)]
    instance.node.stop()
    assert not instance.node.is_accepting
    if in_progress:
        instance.run_for(400)
        assert not instance.stopped
        sinks.append(instance.submit())
        while instance.port.calls:
            instance.answer_oldest()
    instance.loop.run_until(lambda: bool(instance.stopped), _TICK_S)
    for sink in sinks:
        assert sink.events == [('answer', 200)]


def test_first_request_to_an_engine_queries_its_load():
    instance = SingleInstance(make_figures())
    assert not instance.reports.polled
    instance.submit()
    instance.submit()
    assert instance.reports.polled == ['s1@100']


def test_server_restart_discards_the_state_of_the_old_process():
    instance = SingleInstance(make_figures())
    sink = instance.submit()
    state = instance.node.work_tracker.state('s1@100')
    assert state.works
    instance.list_server(200)
    first_call, second_call = instance.port.calls
    assert first_call.cancelled
    assert second_call.placement.backend.identity == 's1@200'
    assert instance.port.forgotten == ['s1@100']
    assert not instance.node.work_tracker.state('s1@100').works
    assert len(instance.node.work_tracker.state('s1@200').works) == 1
    instance.port.calls.pop(0)
    instance.answer_oldest()
    assert sink.events == [('answer', 200)]
    assert not instance.node.work_tracker.state('s1@200').works


def test_load_report_reveals_an_engine_restart():
    instance = SingleInstance(make_figures())
    load = ReportedLoad(3, born=200)
    instance.reports.loads['s1@100'] = load
    instance.submit()
    assert instance.node.fleet.get('s1@100') is None
    state = instance.node.work_tracker.state('s1@200')
    assert state.count_requests(instance.node.now_ms(), 1000) >= 2
