"""Tests that a shortlist of engines chooses as well as comparing all."""

import random

import pytest

from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_fakes import make_work
from crankchute.core.engine_shortlist import Shortlist
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import make_backends, make_job, make_parts
from crankchute.core.forward_job import PromptSize

ALL = 10_000
BOUNDS = 'crankchute.core.engine_shortlist'
CHANCE_STARTED = 7
OF_TEN = 10


def make_chooser(engines, seed, busy):
    """Return a chooser over engines of which some read and some write."""
    backends = make_backends(engines)
    parts = make_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(seed)
    for number in range(round(engines * busy * 3)):
        engine = parts.random.choice(backends).identity
        read_ms = parts.random.choice((5, 30, 300))
        work = make_work(f'work-{number}', engine, read_ms=read_ms)
        parts.board.add(work)
        if parts.random.randrange(OF_TEN) < CHANCE_STARTED:
            parts.board.start(engine, work.key)
    return EngineChooser(parts)


def compare_costs(engines, size, busy, monkeypatch):
    """Return by how many thousandths of worth shortlists cost more.

    It is a mean over random boards.
    """
    job = make_job(size=size, goal_ms=2500, gap_ms=250)
    extra = 0
    for seed in range(30):
        few = make_chooser(engines, seed, busy).choose(job, set())
        with monkeypatch.context() as patch:
            for name in ('_SHORT', '_LONG', '_MOST_ORDERED'):
                patch.setattr(f'{BOUNDS}.{name}', ALL)
            every = make_chooser(engines, seed, busy).choose(job, set())
        extra += few.beliefs.cost - every.beliefs.cost
    return round(extra / 30 * 1000)


@pytest.mark.parametrize('engines', [60, 150])
@pytest.mark.parametrize('busy', [0.3, 0.7, 1.5])
@pytest.mark.parametrize('tokens', [5_000, 45_000, 200_000])
def test_choices_are_as_good_as_by_comparing_all(
    engines, busy, tokens, monkeypatch
):
    size = PromptSize(tokens, 1000)
    assert compare_costs(engines, size, busy, monkeypatch) < 10


@pytest.mark.parametrize(
    ('engines', 'is_long', 'most'),
    [
        (18, False, 18),
        (18, True, 18),
        (150, False, 24),
        (150, True, 48),
        (2900, False, 24),
        (2900, True, 48),
    ],
)
def test_number_that_is_compared_does_not_grow(engines, is_long, most):
    backends = make_backends(engines)
    parts = make_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    shortlist = Shortlist(parts)
    shortlist.take(backends)
    shortlist.divide(0)
    stretch = shortlist.draw_stretch()
    assert len({one.identity for one in stretch}) == min(engines, 192)
    drawn = shortlist.draw(stretch, 0, is_long=is_long)
    assert len({one.identity for one in drawn}) == most


def test_every_engine_is_looked_at_sooner_or_later():
    backends = make_backends(600)
    parts = make_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    shortlist = Shortlist(parts)
    shortlist.take(backends)
    seen = set()
    for _ in range(40):
        seen.update(one.identity for one in shortlist.draw_stretch())
    assert len(seen) == 600
