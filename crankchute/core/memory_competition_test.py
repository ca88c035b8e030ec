"""Replays of long prompts that compete for the memory of engines.

The instances share the engines' memory and hear of each other's work late.
"""

import pytest

from crankchute.core.memory_callers import ModelCallers, count_served
from crankchute.core.memory_fakes import MEMORY_TOKENS
from crankchute.core.memory_model import ModelWorld

ENGINES = 60
#: The rates of the first deployment, and ten times its rate of long prompts.
LONG_PER_S = 1.6
SHORT_PER_S = 37
OVERLOAD_FACTOR = 10
#: How long all requests take to end after the last has arrived.
SETTLE_MS = 40_000
#: How often a request is placed if all of its reservations are refused.
MAX_PLACEMENTS = 3
#: The time after which unused reservations are released.
MAX_UNUSED_MS = 7500


def replay(seed, *, factor=OVERLOAD_FACTOR, duration_ms=4000, news_ms=5):
    world = ModelWorld(ENGINES, 4, news_ms)
    callers = ModelCallers(world, seed)
    callers.replay(duration_ms, LONG_PER_S * factor, SHORT_PER_S)
    return world, callers


def assert_nothing_held(world):
    assert not sum(engine.used_tokens() for engine in world.engines.values())


def find_longest_wait_ms(world):
    return max(engine.longest_wait_ms for engine in world.engines.values())


def assert_orders_are_bounded(world):
    """Check that orders fit engines, and how often requests were placed."""
    for engine in world.engines.values():
        assert max(engine.orders, default=0) <= MEMORY_TOKENS
        assert engine.max_used <= MEMORY_TOKENS
    for instance in world.instances:
        assert max(instance.journal.refusals.values(), default=0) <= (
            MAX_PLACEMENTS
        )


def test_no_reservation_fails_at_the_usual_demand():
    """Guards against refusals without a shortage."""
    world, callers = replay(1, factor=1)
    world.timers.advance(SETTLE_MS)
    assert not world.count_reservations('refused')
    assert not world.count_reservations('unused')
    assert count_served(callers.long_sinks.values()) == len(callers.long_sinks)
    assert_nothing_held(world)


@pytest.mark.parametrize('seed', range(1, 5))
@pytest.mark.parametrize('news_ms', [5, 20])
def test_reservations_are_used_at_ten_times_the_demand(seed, news_ms):
    """Guards against storms of refused orders and reservations in vain."""
    world, callers = replay(seed, news_ms=news_ms)
    world.timers.advance(SETTLE_MS)
    granted = world.count_reservations('granted')
    unused = world.count_reservations('unused')
    assert granted == world.count_reservations('used') + unused
    assert unused < granted / 10
    assert_orders_are_bounded(world)
    assert_nothing_held(world)
    # Of the short prompts, most are served.
    short = count_served(callers.short_sinks.values())
    assert short > len(callers.short_sinks) / 2


@pytest.mark.parametrize('seed', range(1, 4))
def test_burst_of_long_prompts_ends_without_a_circular_wait(seed):
    """Prompts that hold parts must not wait for each other's memory.

    All prompts arrive within the delay of news between instances.
    """
    world = ModelWorld(ENGINES, 4, 20)
    callers = ModelCallers(world, seed)
    callers.send_long_burst(60)
    world.timers.advance(SETTLE_MS)
    assert_orders_are_bounded(world)
    assert find_longest_wait_ms(world) < MAX_UNUSED_MS
    assert count_served(callers.long_sinks.values()) > 20
    assert_nothing_held(world)


@pytest.mark.parametrize('news_ms', [5, 20])
def test_memory_of_a_dead_instance_lapses(news_ms):
    """Guards against memory that stays reserved for requests that are gone."""
    world, _callers = replay(1, duration_ms=2000, news_ms=news_ms)
    world.instances[0].die()
    callers = ModelCallers(world, 2)
    callers.replay(1000, LONG_PER_S * OVERLOAD_FACTOR, SHORT_PER_S)
    world.timers.advance(SETTLE_MS)
    assert_nothing_held(world)
    assert_orders_are_bounded(world)
    # Instances that remain use the memory.
    callers = ModelCallers(world, 3)
    callers.replay(1000, LONG_PER_S, SHORT_PER_S)
    world.timers.advance(SETTLE_MS)
    assert count_served(callers.long_sinks.values()) == len(callers.long_sinks)
