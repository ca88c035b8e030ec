"""Compares ways to reserve memory under competition, on a model.

Run it with `python -m bench.memory_ways`.  docs/design/memory-competition.md
has the figures.
"""

import contextlib
from unittest import mock

from crankchute.core import reservations
from crankchute.core.memory_callers import ModelCallers, count_served
from crankchute.core.memory_model import ModelWorld
from crankchute.core.memory_planning import MemoryPlanner

_ENGINES = 60
_INSTANCES = 4
_NEWS_MS = 5
_SEEDS = range(1, 6)
_SETTLE_MS = 40_000
_SHORT_PER_S = 37
#: Ten times the long prompts of the first deployment.
_LONG_PER_S = 16
_LOAD_MS = 4000
_BURST = 60


def _ignore_known_work(planner, engine, tokens, now_ms):
    state = planner._find_state(engine)  # noqa: SLF001
    return state.refused_tokens(now_ms) is None


#: The patches of each way.
WAYS = (
    (
        'engines decide, without regard to known work',
        (mock.patch.object(MemoryPlanner, 'may_reserve', _ignore_known_work),),
    ),
    (
        'known work, all engines asked at once',
        (mock.patch.object(reservations, '_CONTENTION_MS', 0),),
    ),
    ('known work, in order after a refusal (built)', ()),
)


def run_load(seed):
    """Replay ten times the demand; return the world and its callers."""
    world = ModelWorld(_ENGINES, _INSTANCES, _NEWS_MS)
    callers = ModelCallers(world, seed)
    callers.replay(_LOAD_MS, _LONG_PER_S, _SHORT_PER_S)
    world.timers.advance(_SETTLE_MS)
    return world, callers


def run_burst(seed):
    """Replay a burst of long prompts; return the world and its callers."""
    world = ModelWorld(_ENGINES, _INSTANCES, _NEWS_MS)
    callers = ModelCallers(world, seed)
    callers.send_long_burst(_BURST)
    callers.replay(_LOAD_MS, 1 / _LOAD_MS, _SHORT_PER_S)
    world.timers.advance(_SETTLE_MS)
    return world, callers


def summarize(runs):
    """Return the sums over runs, a dict.

    Args:
      runs: Pairs of a ModelWorld and its ModelCallers.
    """
    totals = {
        outcome: sum(world.count_reservations(outcome) for world, _ in runs)
        for outcome in ('granted', 'refused', 'unused')
    }
    totals['longest_wait_ms'] = round(
        max(
            engine.longest_wait_ms
            for world, _ in runs
            for engine in world.engines.values()
        )
    )
    for kind in ('long', 'short'):
        sinks = [
            sink
            for _, callers in runs
            for sink in getattr(callers, f'{kind}_sinks').values()
        ]
        totals[f'{kind}_served'] = count_served(sinks)
        totals[f'{kind}_sent'] = len(sinks)
    return totals


def main():
    """Print the sums of each load and way."""
    for load in (run_load, run_burst):
        for title, patches in WAYS:
            with contextlib.ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(patch)
                totals = summarize([load(seed) for seed in _SEEDS])
            print(load.__name__, title, totals)


if __name__ == '__main__':
    main()
