"""Tests of the work to judge the parts of prompts by crashes and answers."""

import random

import pytest

from crankchute.core.crash_chance import Chances, Observations
from crankchute.core.crash_evidence import Evidence, is_likely_cause
from crankchute.core.crash_log import CrashLog
from crankchute.core.crash_report import Crash
from crankchute.core.recent_answers import RecentAnswers

_POOL = 'pool'
_CRASHES = 64
_CRASHES_OF_PART = 3
_CULPRIT = 0
_INTERVAL_MS = 300


def _choose_parts(rng, count, shared):
    """Return different parts, the first ones more often."""
    chosen = set()
    while len(chosen) < count:
        chosen.add(1 + int(rng.random() ** 2 * shared))
    return chosen


def _make_evidence(shared, interval_ms, seed):
    """Return a CrashLog and Evidence at the bounds of what is recorded."""
    rng = random.Random(seed)
    answers = RecentAnswers()
    log = CrashLog()
    for number in range(128):
        answers.record(_POOL, number, _choose_parts(rng, 32, shared))
    for number in range(_CRASHES):
        crash = Crash(
            f's{number}',
            1000 + number * interval_ms,
            range(10_000 + number * 10, 10_000 + number * 10 + 4),
            parts=_choose_parts(rng, 96, shared) | {_CULPRIT},
            pool=_POOL,
        )
        log.merge(crash, {})
    log.discard_expired(1000 + _CRASHES * interval_ms)
    return log, Evidence(log.crashes, set(), answers)


@pytest.mark.parametrize('shared', [150, 300])
@pytest.mark.parametrize('interval_ms', [5, _INTERVAL_MS])
@pytest.mark.parametrize('seed', [1, 2])
def test_many_shared_parts_block_the_loop(shared, interval_ms, seed):
    """Judging all parts costs less than one distribution for each would."""
    log, evidence = _make_evidence(shared, interval_ms, seed)
    frequent = [
        part
        for part, count in log.counts.items()
        if count >= _CRASHES_OF_PART and part <= shared
    ]
    likely = [
        part
        for part in frequent
        if is_likely_cause(frozenset((part,)), evidence)
    ]
    assert len(frequent) > shared / 2
    assert _CULPRIT in likely or interval_ms != _INTERVAL_MS
    assert evidence.chances.operations < 60_000


@pytest.mark.parametrize('earlier_with', [0, 1, 30])
@pytest.mark.parametrize('later', [0, 20])
@pytest.mark.parametrize('crashes_with', [3, 6, 10])
@pytest.mark.parametrize('limit', [1e-2, 1e-4, 1e-6])
def test_lower_bound_decides_otherwise(
    earlier_with, later, crashes_with, limit
):
    """Stopping early tells the same as the whole probability."""
    observed = Observations(
        60, earlier_with, later, crashes_with, (4, 2, 6, 1, 3) * 2
    )
    whole = Chances().estimate(observed, 1)
    bound = Chances().estimate(observed, limit)
    assert bound <= whole
    assert (bound > limit) == (whole > limit)
