"""Tests that goodput does not collapse under overload, in virtual time.

On an engine full of decoding requests, each prefill delays all of them.  A pool
that admits everything misses most latency targets.
"""

import pytest

from bench.overload import ADMITS_ALL, World, measure_goodput
from crankchute.core.engine_chooser import PREDICTED

_SHORT_MS = 12_000


@pytest.mark.parametrize('seed', [1, 2])
def test_goodput_holds_under_overload(seed):
    """At four times the capacity, goodput stays close to its maximum."""
    max_goodput = measure_goodput(PREDICTED, 1.5, seed=seed)
    assert measure_goodput(PREDICTED, 4, seed=seed) >= 0.85 * max_goodput


@pytest.mark.parametrize(('load', 'factor'), [(1.5, 1.3), (3, 3)])
def test_goodput_exceeds_that_without_admission_control(load, factor):
    with_admission = measure_goodput(PREDICTED, load, length_ms=_SHORT_MS)
    without_admission = measure_goodput(ADMITS_ALL, load, length_ms=_SHORT_MS)
    assert with_admission >= factor * without_admission


def test_no_rejections_below_capacity():
    world = World(PREDICTED, engines=18, seed=1)
    world.play(1, _SHORT_MS)
    assert world.callers
    assert not any(caller.refused for caller in world.callers)


def test_no_prompt_length_is_starved():
    """Long prompts are served at least half as often as the average."""
    world = World(PREDICTED, engines=6, seed=1)
    world.play(3)
    served = {}
    for caller in world.callers:
        is_served = caller.earned > 0
        served.setdefault(caller.kind.size.prompt, []).append(is_served)
    shares = [
        sum(served_flags) / len(served_flags)
        for served_flags in served.values()
    ]
    average = sum(map(sum, served.values())) / len(world.callers)
    assert min(shares) >= average / 2


def test_retry_hints_are_spread_out():
    world = World(PREDICTED, engines=2, seed=1)
    world.play(3, _SHORT_MS)
    hints = {caller.hint_ms for caller in world.callers} - {None}

    assert min(hints) >= 100
    assert len(hints) > len(world.callers) / 4
