"""Which engine holds which model, from labels and demand, with few moves.

The plan is a pure function of the configuration, the listed engines, what
they hold now and the demand.  An engine keeps its model as long as its pool
has enough of each; so small changes of demand move nothing.
"""

import math
from collections import Counter

from crankchute.core.hashing import rank_by_hash

_SLACK = 1.25
_WAVE_SHARE = 0.25


class EngineSlot:
    """One engine of a pool, and the models that it holds now."""

    __slots__ = ('held', 'identity')

    def __init__(self, identity, held):
        """Create the record.

        Args:
          identity: The engine's id.
          held: The names of the models that it holds, in any order.
        """
        self.identity = identity
        self.held = tuple(held)


def plan_models(pool, slots, demand):
    """Assign one model of a pool to each of its engines.

    Args:
      pool: A Pool.
      slots: The EngineSlots of its live engines.
      demand: A map from model name to tokens a second; missing means 0.
    Returns:
      A map from engine id to model name.
    """
    if not pool.models or not slots:
        return {}
    wanted = count_engines(pool, len(slots), demand)
    plan = _keep_held(slots, wanted)
    free = {one.identity for one in slots if one.identity not in plan}
    for model in _short_models(pool, wanted, plan)[: len(free)]:
        chosen = rank_by_hash(model, free)[0]
        free.remove(chosen)
        plan[chosen] = model
    busiest = max(pool.models, key=lambda one: demand.get(one, 0))
    plan.update(dict.fromkeys(free, busiest))
    return plan


def count_engines(pool, total, demand):
    """Share a pool's engines among its models by demand.

    Args:
      pool: A Pool.
      total: How many engines it has.
      demand: A map from model name to tokens a second.
    Returns:
      A map from model name to a number of engines; at least the pool's
      minimum each as far as there are engines.
    """
    floor = min(pool.min_engines, max(total // len(pool.models), 1))
    counts = {model: floor for model in pool.models}
    spare = total - sum(counts.values())
    whole = sum(demand.get(model, 0) for model in pool.models)
    if not whole or spare <= 0:
        return counts
    for model in pool.models:
        share = demand.get(model, 0) / whole
        counts[model] += math.floor(spare * share)
    return counts


def _keep_held(slots, wanted):
    plan = {}
    kept = dict.fromkeys(wanted, 0)
    for slot in sorted(slots, key=lambda one: one.identity):
        for model in slot.held:
            allowed = math.ceil(wanted.get(model, 0) * _SLACK)
            if model in kept and kept[model] < allowed:
                plan[slot.identity] = model
                kept[model] += 1
                break
    return plan


def _short_models(pool, wanted, plan):
    held = Counter(plan.values())
    missing = Counter(wanted)
    missing.subtract(held)
    return [model for model in missing.elements() if model in pool.models]


def may_switch(identity, held, wanted):
    """Tell whether an engine may change what it holds now.

    Engines of a pool change in waves, in an order that every instance ranks
    alike, so that most of the pool serves while a version is rolled out.

    Args:
      identity: The engine's id.
      held: A map from the id of each live engine of the pool to its Holding.
      wanted: The Holding that the engine shall have.
    Returns:
      False if it holds that already, or must wait for others.
    """
    if held[identity] == wanted:
        return False
    if not held[identity].models:
        return True
    ranked = rank_by_hash(str(wanted.as_document()), held)
    wave = max(1, math.floor(len(ranked) * _WAVE_SHARE))
    before = ranked[: ranked.index(identity)]
    behind = [one for one in before if not _agrees(held[one], wanted)]
    return len(behind) < wave


def _agrees(held, wanted):
    """Tell whether no model is held at another version than wanted."""
    return bool(held.models) and all(
        held.models.get(model, version) == version
        for model, version in wanted.models.items()
    )
