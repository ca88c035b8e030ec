"""Tests of all that servers and the store state, a row for each cell of a table.

The table is in docs/design/what-servers-state.md.  Four times a server had said
something that was gone with its answer; so each statement is looked at in each kind
of answer, at each instance that must know of it, and before each decision.
"""

import re
from itertools import repeat
from pathlib import Path

import pytest

from crankchute.platform import wire
from crankchute.platform.standin_engine import Behaviour
from crankchute.platform.standin_world import (
    ANSWERED,
    HUGE,
    PATIENT,
    SOUND,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
)

_TABLE = Path(__file__).parents[2] / 'docs/design/what-servers-state.md'
_TOLD_MS = 1000
_REQUESTS = 12


def leave(engine):
    """Let a server say that it leaves."""
    engine.is_leaving = True


def limit(engine):
    """Let a server name a limit of nothing."""
    engine.limits = ('0',)


def rest(engine):
    """Let a server turn everything away, and want rest."""
    engine.rest = '600'


def leave_and_turn_away(engine):
    """Let a server say that it leaves as it turns everything away."""
    engine.is_leaving = True
    engine.rest = '0'


def limit_and_turn_away(engine):
    """Let a server name a limit as it turns everything away."""
    engine.limits = ('0',)
    engine.rest = '0'


STATEMENTS = (leave, leave_and_turn_away, limit, limit_and_turn_away, rest)
#: Those that are meant for all instances; a rest is for the one that asked.
FOR_ALL = STATEMENTS[:-1]


def list_reached(engine):
    """Return what has reached an engine: each request, and memory in use there."""
    return {*range(engine.arrivals), *engine.tickets}


def make_world(statement, **fields):
    """Return a world, and its first server, which states something."""
    world = StandinWorld(**fields)
    statement(world.engines[0])
    return world, world.engines[0]


@pytest.mark.parametrize('statement', STATEMENTS)
@pytest.mark.parametrize('ask', [ask_for_work, ask_for_memory, ask_for_report])
def test_statement_is_heard_in_each_kind_of_answer(statement, ask):
    world, engine = make_world(statement, instances=1, engines=3)
    ask(world, engine)
    before = list_reached(engine)
    assert set(ask_often(world, world.nodes[0], _REQUESTS)) <= ANSWERED
    assert list_reached(engine) <= before


@pytest.mark.parametrize('statement', FOR_ALL)
@pytest.mark.parametrize('is_plain', [False, True])
def test_statement_for_all_reaches_all_instances(statement, is_plain):
    """Also one that starts later, with messages that are sent anyway."""
    world, engine = make_world(
        statement,
        instances=5,
        engines=3,
        is_plain=is_plain,
    )
    ask_for_work(world, engine)
    world.start_instance()
    world.wait(_TOLD_MS)
    before = list_reached(engine)
    for node in world.nodes:
        assert set(ask_often(world, node, _REQUESTS)) <= ANSWERED
    assert list_reached(engine) <= before


def test_rest_is_for_the_instance_that_asked():
    """Servers may limit each caller; others have what they have."""
    world, engine = make_world(rest, instances=2, engines=3, is_plain=True)
    ask_for_work(world, engine)
    world.wait(_TOLD_MS)
    before = engine.arrivals
    ask_often(world, world.nodes[0], _REQUESTS)
    assert engine.arrivals == before
    ask_often(world, world.nodes[1], _REQUESTS)
    assert engine.arrivals > before


def choose_first(world):
    """Send requests."""
    ask_often(world, world.nodes[0], _REQUESTS)


def choose_second(world):
    """Send requests on that others turn away."""
    for engine in world.engines[1:]:
        engine.next_behaviours.extend(repeat(Behaviour.FULL, _REQUESTS))
    ask_often(world, world.nodes[0], _REQUESTS)


def choose_alone(world):
    """Send requests on under which connections were cut."""
    for engine in world.engines[1:]:
        engine.next_behaviours.extend(repeat(Behaviour.CLOSE, _REQUESTS))
    ask_often(world, world.nodes[0], _REQUESTS)


def take_up(world):
    """Take up streams elsewhere that were broken off."""
    for engine in world.engines[1:]:
        engine.next_behaviours.extend(repeat(Behaviour.BREAK_OFF, _REQUESTS))
    ask_often(world, world.nodes[0], _REQUESTS)


def choose_helpers(world):
    """Let several engines read prompts, and set memory aside for them."""
    for _ in range(3):
        world.ask(world.nodes[0], SOUND, size=HUGE, **PATIENT)


def choose_anew(world):
    """Send requests after the configuration has changed."""
    node = world.nodes[0]
    config = node.holder.config
    config.version += 1
    node.holder.offer(config, b'')
    ask_often(world, node, _REQUESTS)


@pytest.mark.parametrize('statement', STATEMENTS)
@pytest.mark.parametrize(
    'decide',
    [
        choose_first,
        choose_second,
        choose_alone,
        take_up,
        choose_helpers,
        choose_anew,
    ],
)
def test_statement_is_heeded_by_each_decision(statement, decide):
    world, engine = make_world(statement, instances=1, engines=3)
    ask_for_work(world, engine)
    before = list_reached(engine)
    decide(world)
    assert list_reached(engine) <= before


def list_headers():
    """Return the names of all headers of the wire."""
    return sorted(
        text
        for name, text in wire.__dict__.items()
        if name.isupper()
        and isinstance(text, str)
        and not name.endswith(('_PATH', '_KEY', '_PREFIX'))
    )


@pytest.mark.parametrize('header', list_headers())
def test_each_header_has_a_row_in_the_table(header):
    """So that whatever is read next is thought through first."""
    rows = [
        line.lower()
        for line in _TABLE.read_text(encoding='utf-8').splitlines()
        if line.startswith('|')
    ]
    named = re.compile(rf'`{re.escape(header)}`')
    assert any(named.search(row.split('|')[1]) for row in rows)


def test_no_cell_of_the_table_is_empty():
    """An empty one is a fault, or wants its reason."""
    rows = [
        line.strip().strip('|').split('|')
        for line in _TABLE.read_text(encoding='utf-8').splitlines()
        if line.startswith('|')
    ]
    assert len(rows) > 10
    assert all(cell.strip() for row in rows for cell in row)
