"""Tests that shortlists hardly affect the quality of placements."""

import random

import pytest

from crankchute.core.candidate_filter import CandidateFilter
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import PromptSize

NO_LIMIT = 10_000
MODULE = 'crankchute.core.candidate_filter'
STARTED_OF_TEN = 7
TEN = 10


def make_chooser(engines, seed, busy):
    """Return an EngineChooser whose engines have random work."""
    backends = make_backends(engines)
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(seed)
    for number in range(round(engines * busy * 3)):
        engine = parts.random.choice(backends).identity
        prefill_ms = parts.random.choice((5, 30, 300))
        work = make_work_item(f'work-{number}', engine, prefill_ms=prefill_ms)
        parts.work_tracker.add(work)
        if parts.random.randrange(TEN) < STARTED_OF_TEN:
            parts.work_tracker.start(engine, work.key)
    return EngineChooser(parts)


def measure_extra_cost(engines, size, busy, monkeypatch):
    """Return the mean extra cost of shortlists, in thousandths of worth."""
    job = make_job(size=size, goal_ms=2500, gap_ms=250)
    extra = 0
    for seed in range(30):
        shortlisted = make_chooser(engines, seed, busy).choose(job, set())
        with monkeypatch.context() as patch:
            for name in ('_SHORT_LIMIT', '_LONG_LIMIT', '_MAX_RANKED'):
                patch.setattr(f'{MODULE}.{name}', NO_LIMIT)
            exhaustive = make_chooser(engines, seed, busy).choose(job, set())
        extra += shortlisted.estimate.cost - exhaustive.estimate.cost
    return round(extra / 30 * 1000)


@pytest.mark.parametrize('engines', [60, 150])
@pytest.mark.parametrize('busy', [0.3, 0.7, 1.5])
@pytest.mark.parametrize('tokens', [5_000, 45_000, 200_000])
def test_shortlist_costs_little_more_than_full_comparison(
    engines, busy, tokens, monkeypatch
):
    size = PromptSize(tokens, 1000)
    assert measure_extra_cost(engines, size, busy, monkeypatch) < 10


@pytest.mark.parametrize(
    ('engines', 'is_long', 'expected'),
    [
        (18, False, 18),
        (18, True, 18),
        (150, False, 24),
        (150, True, 48),
        (2900, False, 24),
        (2900, True, 48),
    ],
)
def test_shortlist_size_is_bounded(engines, is_long, expected):
    backends = make_backends(engines)
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    shortlist = CandidateFilter(parts)
    shortlist.update_members(backends)
    shortlist.update_reserved(0)
    window = shortlist.sample_window()
    assert len({backend.identity for backend in window}) == min(engines, 192)
    selected = shortlist.select(window, 0, is_long=is_long)
    assert len({backend.identity for backend in selected}) == expected


def test_every_engine_is_sampled_eventually():
    backends = make_backends(600)
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    shortlist = CandidateFilter(parts)
    shortlist.update_members(backends)
    seen = set()
    for _ in range(40):
        seen.update(backend.identity for backend in shortlist.sample_window())
    assert len(seen) == 600
