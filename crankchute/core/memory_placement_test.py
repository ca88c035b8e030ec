"""Tests of placements by a chooser while memory is short."""

import pytest

from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import Placement, PromptSize

SHORT = PromptSize(5_000, 1_000)
LONG = PromptSize(100_000, 500)
HUGE = PromptSize(500_000, 500)
#: A short prompt whose answer needs more than one engine's memory.
WORDY = PromptSize(5_000, 300_000)
#: The memory of an engine that work may fill, in tokens.
USABLE = 225_040


class World:
    """A chooser and engines with some memory left."""

    def __init__(self, free):
        self.timers = ManualTimers()
        self.backends = make_backends(len(free))
        parts = make_chooser_parts(self.timers, lambda: self.backends)
        self.work_tracker = parts.work_tracker
        self.chooser = EngineChooser(parts)
        for backend, tokens in zip(self.backends, free, strict=True):
            self.fill(backend.identity, USABLE - tokens)

    def fill(self, engine, memory):
        # The long gap keeps admission control from refusing prompts.
        work = make_work_item(
            'filler', engine, memory=memory, gap_ms=60_000, due_ms=60_000
        )
        self.work_tracker.add(work)
        self.work_tracker.start(engine, work.key)

    def choose(self, size, avoided=(), **changes):
        return self.chooser.choose(make_job(size=size, **changes), avoided)


@pytest.mark.parametrize(
    ('size', 'free', 'code'),
    [
        (HUGE, [USABLE, USABLE], 'too_large'),
        (HUGE, [USABLE, USABLE, 1000, 1000, 1000], 'no_memory'),
        (WORDY, [USABLE], 'too_large'),
        (SHORT, [1000, 1000], 'no_memory'),
        (LONG, [50_000, 50_000], 'no_memory'),
    ],
)
def test_prompt_without_memory_is_refused_at_once(size, free, code):
    """A prompt that waits for memory is late and delays others."""
    refusal = World(free).choose(size)
    assert refusal.code == code
    assert refusal.retry_after_ms >= 100


@pytest.mark.parametrize('size', [HUGE, WORDY])
def test_prompt_over_one_engine_is_never_sent_to_a_single_one(size):
    """Its engine would answer that it can never run it."""
    placement = World([USABLE, USABLE, USABLE, USABLE]).choose(size)
    assert placement.helpers
    assert placement.tickets == list(placement.helpers)


def test_only_engines_with_room_take_part_in_a_joint_prefill():
    free = [USABLE, 1000, USABLE, 1000, USABLE, USABLE, 1000, USABLE]
    world = World(free)
    placement = world.choose(HUGE)
    servers = {placement.backend.identity} | {
        helper.backend.identity for helper in placement.helpers
    }
    assert servers <= {f'server-0{number}' for number in (0, 2, 4, 5, 7)}
    assert max(helper.tokens for helper in placement.helpers) < USABLE


def test_joint_prefill_leaves_out_an_engine_that_refused():
    world = World([USABLE] * 6)  # noqa: WPS435
    first = world.choose(HUGE).helpers[0]
    world.chooser.record_memory_refused(first)
    placement = world.choose(HUGE)
    assert not placement.uses(first.backend)
    world.timers.advance(501)
    assert any(
        world.choose(HUGE).uses(backend)
        for backend in world.backends
        if backend is first.backend
    )


@pytest.mark.parametrize(
    ('size', 'chosen'), [(SHORT, 'server-02'), (LONG, 'server-02')]
)
def test_engine_without_room_is_excluded_if_another_has_room(size, chosen):
    """A cost alone let many short prompts outweigh a shortage."""
    world = World([1000, 1000, USABLE, 1000])
    for number in range(5):
        work = make_work_item(
            f'decode-{number}', chosen, gap_ms=60_000, prefill_ms=100
        )
        world.work_tracker.add(work)
    placement = world.choose(size, goal_ms=3000)
    assert placement.backend.identity == chosen


def test_short_prompt_is_sent_if_memory_is_free_in_time():
    world = World([1000, 1000])
    placement = world.choose(SHORT, goal_ms=5000)
    assert isinstance(placement, Placement)


def test_repeated_prompt_may_wait_until_its_deadline():
    """Its work so far would be lost by a refusal."""
    world = World([1000, 1000, 1000])
    avoided = {world.backends[0].identity}
    assert isinstance(world.choose(SHORT, avoided), Placement)
    refusal = world.choose(SHORT, avoided, deadline_ms=10)
    assert refusal.code == 'no_memory'
