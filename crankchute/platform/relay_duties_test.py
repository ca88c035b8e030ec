"""Tests that rules bind relayed requests at the instance that serves them."""

import pytest

from crankchute.core.evacuations import Evacuation
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.platform.cold_servers_test import (
    make_world,
    max_per_second,
    put_entries,
)
from crankchute.platform.limited_servers_test import (
    announce_limit,
    find_excess_counts,
)
from crankchute.platform.lost_paths_test import wait_until_lost
from crankchute.platform.standin_engine import Behaviour
from crankchute.platform.standin_paths import PathFault
from crankchute.platform.standin_world import (
    ANSWERED,
    COLD_BOUNDS,
    HUGE,
    PATIENT,
    SOUND,
    StandinWorld,
    ask_often,
    list_engine,
)

_TICK_S = 0.001
_LIMIT = 2
_RATE = 6
_SETTLED_MS = 5000
_LOAD_MS = 6000
_COLD_MS = 60_000
#: Within this time a server must hear that a caller has left.
_CANCELLED_MS = 500


def lose_first(world):
    """Lose all paths of the first instance, and wait until it knows."""
    node = world.nodes[0]
    world.lose_paths(node, PathFault.RESET)
    ask_often(world, node)
    wait_until_lost(world, node)
    return node


def count_open(world):
    """Return the requests that servers are still answering."""
    return sum(engine.open_requests for engine in world.engines)


def list_tickets(world):
    return [ticket for engine in world.engines for ticket in engine.tickets]


def set_behaviour(world, behaviour):
    """Let the next request at each server fail in a given way."""
    for engine in world.engines:
        engine.next_behaviours.append(behaviour)


@pytest.mark.parametrize('is_plain', [False, True])
def test_relayed_requests_exceed_the_limit_of_a_server(is_plain):
    world = StandinWorld(instances=4, engines=3, is_plain=is_plain)
    node = lose_first(world)
    announce_limit(world.engines, str(_LIMIT))
    ask_often(world, world.nodes[1])
    world.wait(_SETTLED_MS)
    since_ms = node.now_ms()
    before = sum(engine.arrivals for engine in world.engines)
    ends = world.send_load([node], 30, _LOAD_MS)
    arrived = sum(engine.arrivals for engine in world.engines) - before
    assert arrived > 0
    assert arrived == len(ends) - ends.count('refused')
    assert not find_excess_counts(world.engines, _LIMIT, since_ms)


def test_relayed_requests_exceed_the_rate_of_a_cold_server():
    world = make_world(instances=4, engines=3, is_plain=True)
    node = lose_first(world)
    since_ms = node.now_ms()
    put_entries(world, world.engines, _COLD_MS)
    ends = world.send_load([node], 40, _LOAD_MS)
    assert ends.count('answer') > 0
    allowed = _RATE * COLD_BOUNDS.overage + COLD_BOUNDS.slack
    for engine in world.engines:
        assert max_per_second(engine, since_ms) <= allowed


def test_relayed_request_reaches_an_evacuated_data_centre():
    """The instance that relays need not know of the evacuation."""
    world = StandinWorld(evacuates=True)
    for instance in world.nodes:
        instance.peers.evacuations.replace_all([], 1, is_current=True)
    node = lose_first(world)
    record = Evacuation('here', 2, is_evacuated=True)
    for proxy in world.nodes[1:]:
        proxy.fleet.evacuations.merge([record], proxy.now_ms())
    before = [engine.arrivals for engine in world.engines]
    final = world.ask(node, SOUND, **PATIENT)
    assert final == ('refused', Outcome.NOT_RUN)
    assert [engine.arrivals for engine in world.engines] == before


def test_server_hears_late_that_the_caller_of_a_relay_left():
    world = StandinWorld(is_plain=True)
    node = lose_first(world)
    set_behaviour(world, Behaviour.SILENT)
    world.submit(node, SOUND, repeat=RetryMode.ONCE)
    world.loop.run_until(lambda: count_open(world) == 1, _TICK_S)
    next(iter(node.desk.flows)).cancel()
    world.wait(_CANCELLED_MS)
    assert count_open(world) == 0


@pytest.mark.parametrize('behaviour', [None, Behaviour.SILENT])
def test_memory_for_a_relayed_prompt_is_kept(behaviour):
    """It is released at the end, and when the caller leaves halfway."""
    world = StandinWorld()
    node = lose_first(world)
    if behaviour is not None:
        set_behaviour(world, behaviour)
    _sink, finish = world.submit(node, SOUND, size=HUGE, goal_ms=60_000)
    if behaviour is None:
        assert finish()[0] in ANSWERED
    else:
        world.loop.run_until(lambda: count_open(world) == 1, _TICK_S)
        assert list_tickets(world)
        next(iter(node.desk.flows)).cancel()
    world.loop.run_until(lambda: not list_tickets(world), _TICK_S)


@pytest.mark.parametrize(
    ('repeat', 'runs'), [(RetryMode.AGAIN, 2), (RetryMode.ONCE, 1)]
)
def test_killed_proxy_runs_a_request_twice_or_loses_it(repeat, runs):
    """The process is gone halfway, with all its connections."""
    world = StandinWorld(is_plain=True)
    node = lose_first(world)
    before = sum(len(engine.runs) for engine in world.engines)
    set_behaviour(world, Behaviour.SILENT)
    _sink, finish = world.submit(node, SOUND, repeat=repeat)
    world.loop.run_until(lambda: count_open(world) == 1, _TICK_S)
    for other in world.engines:
        other.next_behaviours.clear()
    proxy = next(one for one in world.nodes[1:] if one.desk.in_progress)
    world.kill(proxy)
    final = finish()
    ran = sum(len(engine.runs) for engine in world.engines) - before
    assert ran == runs
    if repeat == RetryMode.AGAIN:
        assert final[0] in ANSWERED
    else:
        assert final == ('refused', Outcome.UNKNOWN)


def test_relay_in_progress_ends_with_the_loss():
    """An answer that is on its way is delivered after the paths are back."""
    world = StandinWorld(is_plain=True)
    node = lose_first(world)
    set_behaviour(world, Behaviour.DELAYED)
    _sink, finish = world.submit(node, SOUND, repeat=RetryMode.ONCE)
    world.loop.run_until(lambda: count_open(world) == 1, _TICK_S)
    world.restore_paths(node)
    world.loop.run_until(lambda: not node.desk.paths.lost_pools, _TICK_S)
    for engine in world.engines:
        engine.answer_delayed()
    assert finish()[0] in ANSWERED


@pytest.mark.parametrize('is_plain', [False, True])
def test_silent_server_counts_as_a_lost_path(is_plain):
    """A sound server may be silent for a while, and its path is sound."""
    world = StandinWorld(is_plain=is_plain)
    node = world.nodes[0]
    set_behaviour(world, Behaviour.SILENT)
    for _ in world.engines:
        world.submit(node, SOUND, goal_ms=300)
    world.wait(_SETTLED_MS)
    assert not node.desk.paths.lost_pools
    assert not node.metrics.counts.get('requests_relayed')


def test_draining_server_gets_a_request_by_a_relay():
    """The instance that serves it heard of the drain, the other one did not."""
    world = StandinWorld(is_plain=True)
    node = lose_first(world)
    draining = world.engines[:11]
    for proxy in world.nodes[1:]:
        for leaving in draining:
            proxy.fleet.record_drained(list_engine(leaving).identity)
    before = [engine.arrivals for engine in draining]
    assert set(ask_often(world, node)) <= ANSWERED
    assert [engine.arrivals for engine in draining] == before
