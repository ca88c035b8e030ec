"""Tests of servers at whose addresses other servers have started.

The store lists a server that failed until its entry expires; another one, also
of another pool, may answer at its address before.
"""

from collections import UserDict

import pytest

from crankchute.core.forward_fakes import POOL
from crankchute.core.forward_job import PrefillHelper
from crankchute.platform.backend_calls_test import BackendHarness
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.late_answers_test import make_answer
from crankchute.platform.standin_world import (
    ANSWERED,
    HUGE,
    PATIENT,
    StandinWorld,
    ask_often,
)


class RecordedTickets(UserDict):
    """The memory reservations of an engine, and whether there was any."""

    def __init__(self):
        self.was_used = False
        super().__init__()

    def __setitem__(self, ticket, tokens):
        super().__setitem__(ticket, tokens)
        self.was_used = True


def reuse_address(world):
    """Return an engine that answers at the address of the first one listed."""
    engine = world.engines[0]
    engine.identity = 'another'
    engine.tickets = RecordedTickets()
    return engine


def list_members(world):
    fleet = world.nodes[0].fleet
    return {one.listed.listed_id for one in fleet.members_of(POOL)}


def send_orders(world):
    end = world.ask(world.nodes[0], b'', size=HUGE, **PATIENT)
    assert end[0] in ANSWERED


def send_requests(world):
    assert set(ask_often(world, world.nodes[0])) <= ANSWERED


def query_reports(world):
    node = world.nodes[0]
    for backend in tuple(node.fleet):
        world.reports(node).request_load(backend, lambda _load: None)


class RecordingNotices:
    """Records the servers whose addresses others use."""

    def __init__(self):
        self.moved = []

    def record_sent(self, _backend):
        """Ignore calls."""

    def take(self, _backend, _notice, _sent_ms):
        """Ignore notices."""

    def record_moved(self, backend):
        """See ServerNotices."""
        self.moved.append(backend)


@pytest.mark.parametrize('order', ['reserve', 'release'])
def test_order_names_its_server_and_heeds_that_another_one_answers(order):
    """Another server set memory aside, and read a part of a prompt."""
    harness = BackendHarness()
    notices = RecordingNotices()
    harness.server_calls.listener = notices
    orders = EngineOrders(harness.server_calls, harness.loop.timers)
    outcomes = []
    send = getattr(orders, order)
    helper = PrefillHelper(harness.backend, 't', 10)
    send(helper, 1000, outcomes.append)
    head = harness.receive(b'}').lower()
    assert b'x-crankchute-target-instance: i-1\r\n' in head
    harness.connections[-1].sendall(make_answer(421, b'', (b'{}',)))
    harness.loop.run_until(lambda: outcomes, 0.001)
    # A release that reached another server leaves nothing to be released.
    assert outcomes == [order == 'release']
    assert notices.moved == [harness.backend]


@pytest.mark.parametrize('call', [send_orders, send_requests, query_reports])
def test_server_is_avoided_when_another_one_answers_at_its_address(call):
    """The listed server looked idle, since the other one was."""
    world = StandinWorld(instances=1, engines=3)
    engine = reuse_address(world)
    others = list_members(world) - {'i-0'}
    call(world)
    world.loop.run_until(lambda: engine.reached_ms, 0.001)
    world.wait(100)
    assert list_members(world) == others
    assert not engine.tickets.was_used
    assert not engine.runs
