"""Tests of cold servers with real instances.

All instances together must keep to a cold server's rate, and use other servers
meanwhile.
"""

import itertools

import pytest

from crankchute.entry.forward_state import dump_forward_node
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

_MS_PER_SECOND = 1000
#: An instance has no share of a rate for this long after it started.
_START_MS = 4500
_LOAD_MS = 4000
_RATE = 6
_ALLOWED = _RATE * COLD_BOUNDS.overage + COLD_BOUNDS.slack
_COLD_MS = 60_000
_REVISIONS = itertools.count(1)


def put_entries(world, engines, remaining_ms):
    """Let all instances read new entries of engines."""
    for engine in engines:
        listed = list_engine(engine)
        listed.cold_remaining_ms = remaining_ms
        listed.revision = next(_REVISIONS)
        for node in world.nodes:
            node.fleet.put(listed)


def find_cold(world, engine):
    """Return the cold time of an engine at the first instance."""
    identity = list_engine(engine).identity
    limits = world.nodes[0].peers.limits
    return limits.cold.remaining_ms(identity)


def max_per_second(engine, since_ms):
    """Return the most calls that reached an engine within a second."""
    times = [at_ms for at_ms in engine.reached_ms if at_ms >= since_ms]
    return max(
        (
            sum(start <= at_ms < start + _MS_PER_SECOND for at_ms in times)
            for start in times
        ),
        default=0,
    )


def make_world(**fields):
    """Return a world in which instances have their shares."""
    world = StandinWorld(**{'cold_per_second': _RATE, **fields})
    world.wait(_START_MS)
    return world


@pytest.mark.parametrize('is_plain', [False, True])
def test_rate_applies_to_all_instances_together(is_plain):
    """The rate is used, and requests above it are refused without a call."""
    world = make_world(
        instances=5, engines=3, is_plain=is_plain, peer_delay_ms=10
    )
    since_ms = world.nodes[0].now_ms()
    put_entries(world, world.engines, _COLD_MS)
    ends = world.send_load(world.nodes, 50, _LOAD_MS)
    elapsed_s = (world.nodes[0].now_ms() - since_ms) / _MS_PER_SECOND
    for engine in world.engines:
        assert max_per_second(engine, since_ms) <= _ALLOWED
    arrived = sum(len(one.reached_ms) for one in world.engines)
    assert arrived == len(ends) - ends.count('refused')
    assert arrived > _RATE * len(world.engines) * elapsed_s * 0.6


@pytest.mark.parametrize('is_plain', [False, True])
def test_other_servers_get_the_rest(is_plain):
    """This includes an instance that has just started and has no share."""
    world = make_world(instances=3, engines=4, is_plain=is_plain)
    cold = world.engines[:2]
    since_ms = world.nodes[0].now_ms()
    put_entries(world, cold, _COLD_MS)
    world.start_instance()
    put_entries(world, cold, _COLD_MS)
    assert set(world.send_load(world.nodes, 50, _LOAD_MS / 2)) <= ANSWERED
    for engine in cold:
        assert max_per_second(engine, since_ms) <= _ALLOWED


def test_orders_count_towards_the_rate():
    """Prompts over several engines send orders to each of them."""
    world = make_world(instances=3, engines=4)
    since_ms = world.nodes[0].now_ms()
    put_entries(world, world.engines, _COLD_MS)
    world.wait(_MS_PER_SECOND)
    for node in world.nodes * 3:
        world.submit(node, SOUND, size=HUGE, **PATIENT)
    world.wait(2 * _MS_PER_SECOND)
    for engine in world.engines:
        assert max_per_second(engine, since_ms) <= _ALLOWED


def test_header_of_an_answer_starts_and_ends_the_cold_time():
    """The entry of a server that becomes cold comes later."""
    world = make_world(instances=1, engines=1)
    engine = world.engines[0]
    engine.cold_ms = '30000'
    assert set(ask_often(world, world.nodes[0], 1)) <= ANSWERED
    assert 25_000 < find_cold(world, engine) <= 30_000
    engine.cold_ms = '0'
    world.wait(_MS_PER_SECOND)
    assert set(ask_often(world, world.nodes[0], 1)) <= ANSWERED
    assert not find_cold(world, engine)


@pytest.mark.parametrize('text', ['soon', '', '-1', 'nan', '1e9'])
def test_invalid_header_is_ignored(text):
    """A broken server must neither be limited nor lose its limit."""
    world = make_world(instances=1, engines=1)
    engine = world.engines[0]
    engine.cold_ms = text
    ask_often(world, world.nodes[0], 1)
    assert not find_cold(world, engine)
    put_entries(world, [engine], _COLD_MS)
    world.wait(_MS_PER_SECOND)
    ask_often(world, world.nodes[0], 1)
    assert find_cold(world, engine)


def test_restart_that_only_a_report_shows_makes_a_server_cold():
    """The entry of the new start may come seconds later."""
    world = make_world(instances=1, engines=1)
    node = world.nodes[0]
    engine = world.engines[0]
    backend = node.fleet.get(list_engine(engine).identity)
    engine.restart()
    node.fleet.resolve_reporter(backend, engine.born)
    assert find_cold(world, engine)
    put_entries(world, [engine], 0)
    assert not find_cold(world, engine)


def test_state_dump_and_metric_show_cold_servers():
    """Operators must see why a server gets few requests."""
    world = make_world(instances=1, engines=2)
    node = world.nodes[0]
    put_entries(world, world.engines[:1], _COLD_MS)
    dumped = [one['cold'] for one in dump_forward_node(node)['servers']]
    assert dumped[0]['rate'] == _RATE
    assert dumped[0]['source'] == 'entry'
    assert dumped[1] is None
    assert 'crankchute_cold_servers 1.0' in node.metrics.render().decode()


def test_nothing_changes_without_the_settings():
    """Other deployments must not lose capacity."""
    world = make_world(instances=2, engines=2, cold_per_second=0)
    put_entries(world, world.engines, _COLD_MS)
    world.engines[0].cold_ms = '30000'
    assert set(world.send_load(world.nodes, 60, _LOAD_MS / 4)) <= ANSWERED
    assert not find_cold(world, world.engines[0])
    limits = world.nodes[0].peers.limits
    assert not limits.cold._states
