"""Tests of servers that want rest.

An engine that was overrun turned requests away with a 503 and asked for 3 s of
rest.  It seemed idle, since nothing of ours ran there, so it was chosen again
and again, 14 times in those 3 s:

    6.747 attempt_end server=i-d5aabd95e7 cause=full after_ms=1.4

With two such engines 20 of 62 short prompts were refused while 16 engines had
room.  Whole instances run here, with servers that speak the wire.
"""

import pytest

from crankchute.core.outcomes import Outcome
from crankchute.platform.standin_world import (
    ANSWERED,
    SOUND,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
    list_engine,
)


@pytest.mark.parametrize('is_plain', [False, True])
def test_server_that_wants_rest_gets_nothing_while_others_have_room(is_plain):
    """Nor is anybody refused for it."""
    world = StandinWorld(instances=1, engines=3, is_plain=is_plain)
    engine = world.engines[0]
    engine.rest = '600'
    ask_for_work(world, engine)
    before = engine.arrivals
    assert set(ask_often(world, world.nodes[0])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('is_plain', [False, True])
def test_who_cannot_be_served_for_rest_is_refused_at_once(is_plain):
    """Before it is sent, and is told when the first server is back."""
    world = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    for number, rest in enumerate(('600', '20')):
        world.engines[number].rest = rest
    assert set(ask_often(world, world.nodes[0])) == {'refused'}
    before = [one.arrivals for one in world.engines]
    sink, finish = world.submit(world.nodes[0], SOUND)
    assert finish() == ('refused', Outcome.NOT_RUN)
    assert [one.arrivals for one in world.engines] == before
    assert 15_000 < sink.retry_after_ms <= 20_000 * 1.25


@pytest.mark.parametrize('ask', [ask_for_memory, ask_for_report])
def test_rest_that_is_asked_for_in_other_answers_counts_too(ask):
    world = StandinWorld(instances=1, engines=3)
    engine = world.engines[0]
    engine.rest = '600'
    ask(world, engine)
    before = engine.arrivals
    assert set(ask_often(world, world.nodes[0])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('rest', ['0', 'soon', '-3', ''])
def test_hint_that_asks_for_no_rest_keeps_nobody_away(rest):
    """What is no number is not taken for one."""
    world = StandinWorld(instances=1, engines=1)
    engine = world.engines[0]
    engine.rest = rest
    ask_for_work(world, engine)
    engine.rest = None
    assert world.ask(world.nodes[0], SOUND) == ('end', None)


def test_rest_is_over_with_the_start_that_asked_for_it():
    """Nor does it end with the server's entry, which may lapse and be back."""
    world = StandinWorld(instances=1, engines=2)
    engine = world.engines[0]
    engine.rest = '600'
    ask_for_work(world, engine)
    before = engine.arrivals
    fleet = world.nodes[0].fleet
    fleet.remove(engine.identity, may_have_expired=False)
    fleet.put(list_engine(engine))
    ask_often(world, world.nodes[0])
    assert engine.arrivals == before
    engine.rest = None
    engine.restart()
    fleet.put(list_engine(engine))
    ask_often(world, world.nodes[0])
    assert engine.arrivals > before
