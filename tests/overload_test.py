"""Tests that replay too much load on engines in virtual time.

Engines that are full of writers make all of them late with each read.  A pool
that took everything served a tenth of its best at three times the load: nearly
every stream was paused, or came after its caller had left.
"""

import pytest

from bench.overload import ADMITS_ALL, World, measure_goodput
from crankchute.core.engine_chooser import PREDICTED

_SHORT_MS = 12_000


@pytest.mark.parametrize('seed', [1, 2])
def test_goodput_stays_when_load_grows(seed):
    """Up to four times what the engines can bear, nine tenths of the best."""
    best = measure_goodput(PREDICTED, 1.5, seed=seed)
    assert measure_goodput(PREDICTED, 4, seed=seed) >= 0.85 * best


@pytest.mark.parametrize(('load', 'factor'), [(1.5, 1.3), (3, 3)])
def test_more_is_served_in_time_than_by_sending_all(load, factor):
    refusing = measure_goodput(PREDICTED, load, length_ms=_SHORT_MS)
    sending = measure_goodput(ADMITS_ALL, load, length_ms=_SHORT_MS)
    assert refusing >= factor * sending


def test_nothing_is_refused_where_there_is_room():
    world = World(PREDICTED, engines=18, seed=1)
    world.play(1, _SHORT_MS)
    assert world.callers
    assert not any(caller.refused for caller in world.callers)


def test_no_length_is_refused_for_good():
    """Prompts forty times the usual length are served half as often at least."""
    world = World(PREDICTED, engines=6, seed=1)
    world.play(3)
    served = {}
    for caller in world.callers:
        earned = caller.earned > 0
        served.setdefault(caller.kind.size.prompt, []).append(earned)
    shares = [sum(kind) / len(kind) for kind in served.values()]
    everybody = sum(map(sum, served.values())) / len(world.callers)
    assert min(shares) >= everybody / 2


def test_refused_callers_are_told_when_to_come_back_and_apart():
    world = World(PREDICTED, engines=2, seed=1)
    world.play(3, _SHORT_MS)
    hints = {one.hint_ms for one in world.callers} - {None}

    assert min(hints) >= 100
    assert len(hints) > len(world.callers) / 4
