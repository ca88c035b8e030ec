"""Tests of what servers say of themselves in their answers.

While the store was away for 13 s, a server that left could tell nobody but in its
answers, and no instance read that.  One passed such an answer on at 35.687 s, and
sent that server seven more requests from 42.390 s on, the other instances 17:

    35.680 attempt server=i-e597473ad4 cause=None
    42.390 attempt server=i-e597473ad4 cause=None

Whole instances run here on one loop, with servers that speak the wire.
"""

import pytest

from crankchute.platform.standin_world import (
    ANSWERED,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
    list_engine,
)

#: Within this time all instances know what one of them learnt (the users' rule).
_CONTACT_MS = 3000


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
    assert set(ask_often(world, world.nodes[0])) <= ANSWERED
    world.wait(_CONTACT_MS)
    for node in world.nodes:
        node.fleet.put(list_engine(engine))
        assert set(ask_often(world, node)) <= ANSWERED
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
    assert set(ask_often(world, world.nodes[0])) <= ANSWERED
    assert engine.arrivals == before
