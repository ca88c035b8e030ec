"""Assignment of models to the engines of a pool.

The plan is a pure function of the configuration, the listed engines, their
loaded models and the demand.  An engine keeps its model unless the pool has
too many engines with it, so small changes of demand cause no reloads.
"""

import math
from collections import Counter

from crankchute.core.hashing import rank_by_hash

#: Engines keep a model up to this multiple of the wanted number.
_KEEP_MARGIN = 1.25
#: The share of a pool that may change its version at the same time.
_MAX_WAVE_SHARE = 0.25


class PoolEngine:
    """An engine of a pool and its loaded models."""

    __slots__ = ('identity', 'loaded')

    def __init__(self, identity, loaded):
        """Create the record.

        Args:
          identity: The engine's id.
          loaded: The names of its loaded models, in any order.
        """
        self.identity = identity
        self.loaded = tuple(loaded)


def plan_models(pool, slots, demand):
    """Assign one model of a pool to each of its engines.

    Args:
      pool: A Pool.
      slots: The PoolEngines of its live engines.
      demand: A map from model name to tokens per second; missing means 0.
    Returns:
      A map from engine id to model name.
    """
    if not pool.models or not slots:
        return {}
    wanted = count_engines(pool, len(slots), demand)
    plan = _keep_loaded(slots, wanted)
    unassigned = {slot.identity for slot in slots if slot.identity not in plan}
    for model in _list_missing_models(pool, wanted, plan)[: len(unassigned)]:
        chosen = rank_by_hash(model, unassigned)[0]
        unassigned.remove(chosen)
        plan[chosen] = model
    most_demanded = max(pool.models, key=lambda name: demand.get(name, 0))
    plan.update(dict.fromkeys(unassigned, most_demanded))
    return plan


def count_engines(pool, total, demand):
    """Divide a pool's engines among its models by demand.

    Args:
      pool: A Pool.
      total: The number of its engines.
      demand: A map from model name to tokens per second.
    Returns:
      A map from model name to a number of engines; at least the pool's
      minimum for each if there are enough engines.
    """
    minimum = min(pool.min_engines, max(total // len(pool.models), 1))
    counts = {model: minimum for model in pool.models}
    spare = total - sum(counts.values())
    total_demand = sum(demand.get(model, 0) for model in pool.models)
    if not total_demand or spare <= 0:
        return counts
    for model in pool.models:
        share = demand.get(model, 0) / total_demand
        counts[model] += math.floor(spare * share)
    return counts


def _keep_loaded(slots, wanted):
    plan = {}
    kept = dict.fromkeys(wanted, 0)
    for slot in sorted(slots, key=lambda slot: slot.identity):
        for model in slot.loaded:
            limit = math.ceil(wanted.get(model, 0) * _KEEP_MARGIN)
            if model in kept and kept[model] < limit:
                plan[slot.identity] = model
                kept[model] += 1
                break
    return plan


def _list_missing_models(pool, wanted, plan):
    loaded = Counter(plan.values())
    missing = Counter(wanted)
    missing.subtract(loaded)
    return [model for model in missing.elements() if model in pool.models]


def may_change_models(identity, loaded, wanted):
    """Return whether an engine may change its models now.

    A version is rolled out in waves, in an order that all instances agree on,
    so that most of the pool keeps serving.

    Args:
      identity: The engine's id.
      loaded: A map from the id of each live engine of the pool to its
        EngineContents.
      wanted: The EngineContents that the engine should have.
    Returns:
      False if it is up to date or must wait for other engines.
    """
    if loaded[identity] == wanted:
        return False
    if not loaded[identity].models:
        return True
    ranked = rank_by_hash(str(wanted.as_document()), loaded)
    wave = max(1, math.floor(len(ranked) * _MAX_WAVE_SHARE))
    predecessors = ranked[: ranked.index(identity)]
    outdated = [
        engine
        for engine in predecessors
        if not _matches_versions(loaded[engine], wanted)
    ]
    return len(outdated) < wave


def _matches_versions(loaded, wanted):
    """Return whether no loaded model differs from its wanted version."""
    return bool(loaded.models) and all(
        loaded.models.get(model, version) == version
        for model, version in wanted.models.items()
    )
