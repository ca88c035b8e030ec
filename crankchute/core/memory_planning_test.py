"""Tests of the decisions which engines have memory for a prompt."""

import math
from random import Random

import pytest

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.fakes import ManualClock
from crankchute.core.forward_fakes import make_backends, make_figures, make_job
from crankchute.core.forward_job import PromptSize
from crankchute.core.memory_planning import (
    MAX_PARTS,
    NO_MEMORY,
    TOO_LARGE,
    MemoryPlanner,
)
from crankchute.core.memory_waits import estimate_release_ms
from crankchute.core.retry_hints import RetryHints

MEMORY = 197_200
SHORT = 6_000
LONG = 250_000


class World:
    """A MemoryPlanner and the work that is known at its engines."""

    def __init__(self, engines):
        self.clock = ManualClock()
        self.backends = make_backends(engines)
        self.work_tracker = EngineWorkTracker(self.clock.now_ms)
        self.planner = MemoryPlanner(
            make_figures(memory_tokens=MEMORY), self.work_tracker.state
        )

    def add(self, number, memory, **changes):
        engine = self.backends[number].identity
        work = make_work_item(
            f'work-{len(self.work_tracker.state(engine).works)}',
            engine,
            memory=memory,
            **changes,
        )
        self.work_tracker.add(work)
        return work

    def refuse_order(self, number, tokens):
        state = self.work_tracker.state(self.backends[number].identity)
        state.record_refused(tokens, self.clock.now_ms())
        return state

    def select(self, tokens, max_wait_ms=0):
        chosen = self.planner.select(
            make_prompt(tokens),
            self.backends,
            self.clock.now_ms(),
            max_wait_ms,
        )
        return [self.backends.index(backend) for backend in chosen]

    def refuse(self, tokens, engine_count):
        return self.planner.refuse(
            make_prompt(tokens),
            self.backends,
            RetryHints(Random(1)),
            now_ms=self.clock.now_ms(),
            engine_count=engine_count,
            heard_ms_ago=7,
        )


def make_prompt(tokens):
    return make_job(size=PromptSize(tokens - 1000, 1000))


@pytest.mark.parametrize('tokens', [SHORT, 90_000, LONG, 601_000, 3_000_000])
def test_all_engines_are_eligible_while_memory_is_plentiful(tokens):
    """Guards against a change of placements without a shortage."""
    world = World(engines=60)
    assert world.select(tokens) == list(range(60))


@pytest.mark.parametrize('engine_count', [2, 3, 4, 7, 17, 60])
@pytest.mark.parametrize('tokens', [190_000, 250_000, 600_000, 3_000_000])
def test_no_part_exceeds_an_engine(tokens, engine_count):
    """An order over the memory of an engine is answered with 400."""
    world = World(engine_count)
    job = make_prompt(tokens)
    for parts in world.planner._list_part_counts(job, engine_count):  # noqa: SLF001
        helpers = world.planner.make_helpers(
            job, world.backends[: parts - 1], iter('abcdefghijklmnopq').__next__
        )
        reserved = sum(helper.tokens for helper in helpers)
        assert all(0 < helper.tokens <= MEMORY for helper in helpers)
        # The decoding engine's own part is not larger than the others.
        assert tokens - reserved <= world.planner.part_tokens(job, parts)
        assert world.planner.part_tokens(job, parts) <= MEMORY


@pytest.mark.parametrize(
    ('tokens', 'engine_count', 'code'),
    [
        (600_000, 3, TOO_LARGE),
        (600_000, 4, NO_MEMORY),
        (190_000, 1, NO_MEMORY),
        (260_000, 1, TOO_LARGE),
        (3_000_000, MAX_PARTS, NO_MEMORY),
        (3_200_000, MAX_PARTS, TOO_LARGE),
        # More engines than one prompt can use do not help.
        (3_200_000, 60, TOO_LARGE),
    ],
)
def test_prompt_is_too_large_only_if_idle_engines_could_not_hold_it(
    tokens, engine_count, code
):
    """A caller that is told 'too_large' does not retry."""
    world = World(engine_count)
    assert world.refuse(tokens, engine_count).code == code


def test_hint_is_not_before_memory_is_expected_to_be_free():
    """A retry before that would be refused again."""
    world = World(engines=6)
    for number in range(6):
        world.add(number, 190_000, first_event_at_ms=800 + number * 100)
    refusal = world.refuse(LONG, 6)
    assert refusal.inputs['free_in_ms'] > 800
    assert refusal.retry_after_ms >= refusal.inputs['free_in_ms']
    assert refusal.inputs['needed'] == LONG
    assert refusal.inputs['heard_ms_ago'] == 7


@pytest.mark.parametrize(
    ('free', 'chosen'),
    [
        # Three parts of 87,500 tokens, as many as the prompt prefers.
        ([0, 90_000, 90_000, 90_000, 0, 0], [1, 2, 3]),
        # Five smaller parts.
        ([54_000, 54_000, 54_000, 54_000, 54_000, 0], [0, 1, 2, 3, 4]),
        # Two larger ones.
        ([135_000, 0, 135_000, 0, 0, 0], [0, 2]),
        ([135_000, 0, 0, 0, 0, 0], []),
        ([40_000, 40_000, 40_000, 40_000, 40_000, 40_000], []),
    ],
)
def test_joint_prefill_uses_engines_with_room_only(free, chosen):
    """Orders that known work contradicts are refused for certain."""
    world = World(engines=6)
    usable = int(MEMORY * 0.97)
    for number, tokens in enumerate(free):
        world.add(number, usable - tokens)
    assert world.select(LONG) == chosen


@pytest.mark.parametrize(
    ('refused_tokens', 'needed', 'chosen'),
    [(50_000, SHORT, [0, 1]), (50_000, 60_000, [1]), (50_000, LONG, [])],
)
def test_refusing_engine_is_left_out(refused_tokens, needed, chosen):
    """Prompts that need less than was refused may still be placed there."""
    world = World(engines=2)
    world.refuse_order(0, refused_tokens)
    assert world.select(needed) == chosen


@pytest.mark.parametrize(
    ('wait_ms', 'ends', 'is_started', 'is_left_out'),
    [
        (499, False, True, True),
        (501, False, True, False),
        (10, True, True, False),
        # This may be a reservation that was refused as well.
        (10, True, False, True),
    ],
)
def test_refusal_counts_until_work_ends(wait_ms, ends, is_started, is_left_out):
    """Guards against storms of orders, and against idle engines."""
    world = World(engines=1)
    work = world.add(0, 1000)
    if is_started:
        world.work_tracker.start(work.engine, work.key)
    state = world.refuse_order(0, 50_000)
    world.clock.time_ms += wait_ms
    if ends:
        world.work_tracker.end(work.engine, work.key)
    refused = state.refused_tokens(world.clock.now_ms())
    assert (refused is not None) == is_left_out


def test_refusal_is_forgotten_with_its_engine():
    """State must not outlast the engines that it is about."""
    world = World(engines=1)
    world.refuse_order(0, 50_000)
    engine = world.backends[0].identity
    world.work_tracker.forget(engine)
    state = world.work_tracker.state(engine)
    assert state.refused_tokens(world.clock.now_ms()) is None


def test_single_prompt_avoids_engines_without_room():
    world = World(engines=3)
    world.add(0, 188_000)
    world.add(2, 188_000)
    assert world.select(SHORT) == [1]


@pytest.mark.parametrize(
    ('max_wait_ms', 'chosen'), [(10, []), (1600, [1]), (60_000, [0, 1])]
)
def test_single_prompt_waits_for_memory_only_within_its_goal(
    max_wait_ms, chosen
):
    world = World(engines=2)
    world.add(0, 188_000, first_event_at_ms=5000)
    world.add(1, 188_000, first_event_at_ms=50)
    assert world.select(SHORT, max_wait_ms) == chosen


@pytest.mark.parametrize(
    ('lacking', 'expected_ms'),
    [
        (0, 0),
        (900, 100),
        (1100, 1300),
        # No known work holds that much.
        (9000, math.inf),
    ],
)
def test_release_time_follows_the_known_work(lacking, expected_ms):
    world = World(engines=1)
    # This answer takes longer than usual already.
    world.add(0, 1000, first_event_at_ms=-5000)
    world.add(0, 1000, first_event_at_ms=300)
    state = world.work_tracker.state(world.backends[0].identity)
    assert estimate_release_ms(state, lacking, 1000, 0) == expected_ms


@pytest.mark.parametrize(
    ('memories', 'yielding'),
    [((100_000, 100_000), 1), ((90_000, 90_000), 0), ((190_000, 10_000), 1)],
)
def test_one_of_two_instances_gives_way_at_the_decoding_engine(
    memories, yielding
):
    """If both did, both would retry; if neither, they could wait in a circle."""
    fitting = []
    for own in (0, 1):
        world = World(engines=1)
        engine = world.backends[0].identity
        works = [
            make_work_item(f'key-{number}', engine, memory=memory)
            for number, memory in enumerate(memories)
        ]
        # Each instance knows its own work first.
        for number in (own, 1 - own):
            world.work_tracker.add(works[number])
            world.clock.time_ms += 1
        fitting.append(world.planner.still_fits(works[own]))
    assert fitting.count(False) == yielding
