"""Tests that goodput does not collapse under overload, in virtual time.

On an engine full of decoding requests, each prefill delays all of them.  A pool
that admits everything misses most latency targets.
"""

import pytest

from bench.overload import (
    ADMITS_ALL,
    URGENT_MIX,
    World,
    measure_goodput,
)
from crankchute.core.engine_chooser import PREDICTED

_SHORT_MS = 12_000
_SEEDS = (1, 2, 3)


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


def play_urgent(load, seed=1, length_ms=_SHORT_MS):
    """Play the mix with priorities at 12 engines, twice those of load 1."""
    world = World(PREDICTED, engines=12, seed=seed)
    world.play(load * 2, length_ms, URGENT_MIX)
    return world


def measure_served(world):
    """Return the share of served callers by priority."""
    served = {}
    for caller in world.callers:
        served.setdefault(caller.kind.priority, []).append(caller.earned > 0)
    return {
        priority: sum(flags) / len(flags) for priority, flags in served.items()
    }


def measure_timely(world):
    """Return the utility of answers in time from the submission served."""
    return sum(
        caller.kind.utility for caller in world.callers if caller.is_timely
    )


@pytest.mark.parametrize('load', [4, 10])
def test_urgent_goodput_holds_beyond_the_capacity(load):
    """Long prompts took the engines that urgent ones needed."""
    peak = sum(measure_timely(play_urgent(2, seed)) for seed in _SEEDS)
    goodput = sum(measure_timely(play_urgent(load, seed)) for seed in _SEEDS)
    assert goodput >= 0.9 * peak


@pytest.mark.parametrize('load', [1, 2, 4, 10])
def test_less_urgent_prompts_are_not_served_more_often(load):
    served = measure_served(play_urgent(load))
    assert served[1] <= served[0] + 0.05
    assert served[2] <= served[1] + 0.05


def test_first_half_second_of_a_burst_is_served():
    """A division that follows demand late loses the start of a burst."""
    world = World(PREDICTED, engines=12, seed=1)
    short, _medium, long = URGENT_MIX
    world.add_arrivals(long, 6, 0, 6000)
    world.add_arrivals(short, 10, 0, 3000)
    world.add_arrivals(short, 50, 3000, 6000)
    world.timers.advance(60_000)
    early = [
        caller
        for caller in world.callers
        if caller.kind is short and 3000 <= caller.start_ms < 3500
    ]
    assert sum(caller.earned > 0 for caller in early) >= 0.9 * len(early)
    assert sum(caller.is_timely for caller in early) >= 0.7 * len(early)
