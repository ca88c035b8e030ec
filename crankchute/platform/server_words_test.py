"""Tests of what servers say of themselves in their answers.

While the store was away for 13 s, a server that left could tell nobody but in its
answers, and no instance read that.  One passed such an answer on at 35.687 s, and
sent that server seven more requests from 42.390 s on, the other instances 17:

    35.680 attempt server=i-e597473ad4 cause=None
    42.390 attempt server=i-e597473ad4 cause=None

Whole instances run here on one loop, with servers that speak the wire.
"""

from types import MappingProxyType

import pytest

from crankchute.core.forward_job import PromptSize
from crankchute.platform.standin_world import StandinWorld, list_engine

#: Within this time all instances know what one of them learnt (the users' rule).
_CONTACT_MS = 3000
#: Far beyond what an answer takes between two parts of one process.
_ARRIVAL_MS = 200
_BODY = b'sound'
#: Nobody is harmed by another prompt, so none is refused for a crowd.
_PATIENT = MappingProxyType({'goal_ms': 60_000, 'gap_ms': 60_000})
_ANSWERED = ('end', 'answer')
#: More than one engine's memory, so that orders go to others.
_HUGE = PromptSize(prompt=150_000, answer=100)


def ask_often(world, node, count=24):
    """Submit requests at the same time, and return their ends, a list."""
    waiting = [world.submit(node, _BODY, **_PATIENT)[1] for _ in range(count)]
    return [finish()[0] for finish in waiting]


def ask_for_work(world, engine):
    """Let a request be answered by an engine, or turned away by it."""
    while not engine.arrivals:
        ask_often(world, world.nodes[0])


def ask_for_memory(world, engine):
    """Let memory be set aside at all engines; the prompt needs them."""
    world.ask(world.nodes[0], _BODY, size=_HUGE, goal_ms=60_000)


def ask_for_report(world, engine):
    """Let an engine be asked for its report."""
    node = world.nodes[0]
    backend = node.fleet.get(list_engine(engine).identity)
    world.reports(node).ask(backend, lambda _load: None)
    world.loop.run_until(lambda: engine.questions, 0.001)
    world.wait(_ARRIVAL_MS)


@pytest.mark.parametrize(
    ('is_plain', 'ask'),
    [
        (False, ask_for_work),
        (True, ask_for_work),
        (False, ask_for_memory),
        (False, ask_for_report),
    ],
)
def test_server_that_said_that_it_leaves_gets_nothing_more(is_plain, ask):
    """Whatever was asked, at no instance, and whatever the store has of it."""
    world = StandinWorld(instances=2, engines=3, is_plain=is_plain)
    engine = world.engines[0]
    engine.is_leaving = True
    ask(world, engine)
    before = engine.arrivals
    assert set(ask_often(world, world.nodes[0])) <= set(_ANSWERED)
    world.wait(_CONTACT_MS)
    for node in world.nodes:
        node.fleet.put(list_engine(engine))
        assert set(ask_often(world, node)) <= set(_ANSWERED)
    assert engine.arrivals == before


def test_server_that_left_and_started_again_is_asked_again():
    """What it said before it started again says nothing of it now."""
    world = StandinWorld(instances=1, engines=2)
    engine = world.engines[0]
    engine.is_leaving = True
    ask_for_work(world, engine)
    before = engine.arrivals
    ask_often(world, world.nodes[0])
    engine.is_leaving = False
    engine.restart()
    world.nodes[0].fleet.put(list_engine(engine))
    ask_often(world, world.nodes[0])
    assert engine.arrivals > before


def test_server_that_leaves_as_it_turns_away_is_left_alone():
    """Its rejection says that it leaves; the request runs elsewhere."""
    world = StandinWorld(instances=1, engines=3)
    engine = world.engines[0]
    engine.is_leaving = True
    engine.rest = '0'
    ask_for_work(world, engine)
    before = engine.arrivals
    assert set(ask_often(world, world.nodes[0])) <= set(_ANSWERED)
    assert engine.arrivals == before
