"""Tests of servers that name a limit in their answers.

An engine took 1 request a second from all instances together and said so in each
answer.  Three instances went on as before, while 17 other engines had room; one of
them alone sent ten of the thirteen requests that reached it in 4 s:

    71.512 attempt server=i-d1ccea15a1 number=1 cause=None
    71.739 attempt server=i-d1ccea15a1 number=1 cause=None
    72.420 attempt server=i-d1ccea15a1 number=1 cause=None

Nothing read the header, and nothing that chooses kept what a server takes beyond the
answer that told it, or knew what other instances send there.

Whole instances run here, with servers that speak the wire.
"""

from functools import partial

import pytest

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
    list_engine,
)

#: What the users allow: in any window, one and a half times what the limit allows
#: and five more, from so long after the limit was first named.
_CONTACT_MS = 3000
_WINDOW_MS = 4000
_MS_PER_SECOND = 1000
_FACTOR = 1.5
_SLACK = 5
_LOAD_MS = 9000


def name_limit(engines, *limits):
    """Let engines name limits in all their answers."""
    for engine in engines:
        engine.limits = limits


def count_most(engine, since_ms):
    """Return the most that reached an engine in a window after a moment."""
    moments = [one for one in engine.reached_ms if one >= since_ms]
    return max(
        (
            sum(begin <= one < begin + _WINDOW_MS for one in moments)
            for begin in moments
        ),
        default=0,
    )


def allow(limit):
    """Return how much a limit allows in a window."""
    return _FACTOR * limit * _WINDOW_MS / _MS_PER_SECOND + _SLACK


def find_excess(engines, limit, since_ms):
    """Return the counts of engines that got more than their limit allows."""
    counts = [count_most(one, since_ms) for one in engines]
    return [count for count in counts if count > allow(limit)]


@pytest.mark.parametrize('is_plain', [False, True])
@pytest.mark.parametrize(
    ('instances', 'limit'),
    [(8, '1'), (8, '2'), (8, '1.5'), (3, '0'), (24, '0.5')],
)
def test_limit_binds_all_instances_together(instances, limit, is_plain):
    """Nor is anybody refused or sent on for it while others have room."""
    world = StandinWorld(instances, engines=8, is_plain=is_plain)
    limited = world.engines[:4]
    name_limit(limited, limit)
    begin_ms = world.nodes[0].now_ms()
    ends = world.send_load(world.nodes, 50, _LOAD_MS)
    assert set(ends) <= ANSWERED
    assert not find_excess(limited, float(limit), begin_ms + _CONTACT_MS)


@pytest.mark.parametrize('is_plain', [False, True])
def test_limit_of_a_whole_pool_is_used_in_full(is_plain):
    """And who has no turn is refused before it is sent."""
    world = StandinWorld(instances=6, engines=4, is_plain=is_plain)
    world.wait(_WINDOW_MS + _MS_PER_SECOND)
    name_limit(world.engines, '3')
    begin_ms = world.nodes[0].now_ms()
    world.send_load(world.nodes, 40, _MS_PER_SECOND)
    from_ms = world.nodes[0].now_ms()
    before = sum(one.arrivals for one in world.engines)
    ends = world.send_load(world.nodes, 40, 2 * _WINDOW_MS)
    used_ms = world.nodes[0].now_ms() - from_ms
    assert not find_excess(world.engines, 3, begin_ms + _CONTACT_MS)
    arrived = sum(one.arrivals for one in world.engines) - before
    assert arrived == len(ends) - ends.count('refused')
    allowed = 3 * len(world.engines) * used_ms / _MS_PER_SECOND
    assert arrived > allowed * 0.8


@pytest.mark.parametrize('is_plain', [False, True])
@pytest.mark.parametrize(('limit', 'per_second'), [('1', 1), ('4', 5)])
def test_nobody_is_refused_while_servers_take_more(limit, per_second, is_plain):
    """Whichever instance a caller comes to, and whoever has the turn."""
    world = StandinWorld(instances=8, engines=3, is_plain=is_plain)
    world.wait(_WINDOW_MS + _MS_PER_SECOND)
    name_limit(world.engines, limit)
    begin_ms = world.nodes[0].now_ms()
    world.send_load(world.nodes, 20, _MS_PER_SECOND)
    world.wait(_WINDOW_MS)
    ends = world.send_load(world.nodes, per_second, 2 * _WINDOW_MS)
    assert set(ends) <= ANSWERED
    assert not find_excess(world.engines, float(limit), begin_ms + _CONTACT_MS)


@pytest.mark.parametrize('is_plain', [False, True])
def test_who_has_no_turn_is_refused_at_once_and_told_when_one_is_free(is_plain):
    world = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    name_limit(world.engines, '0.1')
    world.send_load(world.nodes, 40, _MS_PER_SECOND)
    before = [len(one.reached_ms) for one in world.engines]
    sink, finish = world.submit(world.nodes[0], SOUND)
    assert finish()[0] == 'refused'
    assert [len(one.reached_ms) for one in world.engines] == before
    assert 1000 < sink.retry_after_ms


def change_nothing(world):
    """Let all instances go on as they are."""


def cut_one_off(world):
    """Cut an instance off from the others; its requests go on."""
    world.cut_off(world.nodes[0])


def replace_half(world):
    """Start four instances in the place of four."""
    for node in world.nodes[:4]:
        world.cut_off(node)
        world.nodes.remove(node)
        world.start_instance()


@pytest.mark.parametrize('change', [change_nothing, cut_one_off, replace_half])
def test_limit_holds_while_instances_change(change):
    """Views of who is there differ meanwhile; the server counts all of it."""
    world = StandinWorld(instances=8, engines=6)
    name_limit(world.engines, '2')
    begin_ms = world.nodes[0].now_ms()
    world.loop.timers.after(_LOAD_MS / 3, partial(change, world))
    world.send_load(world.nodes, 60, _LOAD_MS)
    assert not find_excess(world.engines, 2, begin_ms + _CONTACT_MS)


@pytest.mark.parametrize('ask', [ask_for_work, ask_for_memory, ask_for_report])
@pytest.mark.parametrize('node', [0, 1])
def test_limit_is_heard_in_all_answers_and_told_to_all(ask, node):
    world = StandinWorld(instances=2, engines=3)
    engine = world.engines[0]
    name_limit([engine], '0')
    ask(world, engine)
    world.wait(_MS_PER_SECOND)
    before = engine.arrivals
    assert set(ask_often(world, world.nodes[node])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('limit', ['soon', '', '-1', 'nan', 'inf', '1e9999'])
def test_what_is_no_number_limits_nothing(limit):
    world = StandinWorld(instances=1, engines=2)
    engine = world.engines[0]
    name_limit([engine], limit)
    ask_for_work(world, engine)
    before = engine.arrivals
    ask_often(world, world.nodes[0])
    assert engine.arrivals - before > _SLACK


@pytest.mark.parametrize('limit', ['0', '0.01', '2'])
@pytest.mark.parametrize('is_plain', [False, True])
def test_limit_ends_with_the_first_answer_without_it(limit, is_plain):
    """Also where it is so low that nobody would be sent there any more."""
    world = StandinWorld(instances=3, engines=3, is_plain=is_plain)
    engine = world.engines[0]
    name_limit([engine], limit)
    ask_for_work(world, engine)
    world.wait(_MS_PER_SECOND)
    name_limit([engine])
    world.wait(_WINDOW_MS)
    before = engine.arrivals
    for node in world.nodes:
        assert set(ask_often(world, node)) <= ANSWERED
    assert engine.arrivals - before > _SLACK


def test_limit_ends_with_the_start_that_named_it():
    """But not with the server's entry, which may lapse and be back."""
    world = StandinWorld(instances=1, engines=2)
    engine = world.engines[0]
    name_limit([engine], '0')
    ask_for_work(world, engine)
    before = engine.arrivals
    fleet = world.nodes[0].fleet
    fleet.remove(engine.identity, may_have_expired=False)
    fleet.put(list_engine(engine))
    ask_often(world, world.nodes[0])
    assert engine.arrivals == before
    name_limit([engine])
    engine.restart()
    fleet.put(list_engine(engine))
    ask_often(world, world.nodes[0])
    assert engine.arrivals > before


@pytest.mark.parametrize('word', ['leaving', 'rest'])
@pytest.mark.parametrize('is_plain', [False, True])
def test_server_that_wants_nothing_is_not_asked_about_its_limit(word, is_plain):
    """It leaves, or rests; each question would be one more that it gets."""
    world = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    engine = world.engines[0]
    name_limit([engine], '0')
    engine.is_leaving = word == 'leaving'
    engine.rest = '600' if word == 'rest' else None
    ask_for_work(world, engine)
    before = len(engine.reached_ms)
    world.wait(2 * _WINDOW_MS)
    assert len(engine.reached_ms) == before


def test_orders_and_questions_count():
    """Engines that take little get few orders, whatever prompts need."""
    world = StandinWorld(instances=3, engines=4)
    name_limit(world.engines, '1')
    begin_ms = world.nodes[0].now_ms()
    ask_for_memory(world, world.engines[0])
    world.wait(_CONTACT_MS)
    for node in world.nodes:
        for _ in range(4):
            world.submit(node, SOUND, size=HUGE, **PATIENT)
    world.wait(_WINDOW_MS)
    assert not find_excess(world.engines, 1, begin_ms + _CONTACT_MS)
