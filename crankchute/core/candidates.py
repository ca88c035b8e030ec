"""Which engines may serve a request at all, before any is preferred."""

import math

from crankchute.core.hashing import rank_by_hash
from crankchute.core.labels import match_labels

#: An engine whose load report is older than this is not believed alive.
SILENT_MS = 5000
_LONG_KEY = 'long'


def select_pools(config, workload, model):
    """Return the names of the pools that serve a class and a model.

    Args:
      config: The Config in force.
      workload: A WorkloadClass.
      model: A model's name, or None for plain services.
    Returns:
      A tuple of names.
    """
    return tuple(
        pool.name
        for pool in config.pools.values()
        if match_labels(workload.pools, pool.labels) and _serves(pool, model)
    )


def list_members(config, fleet, pool_name):
    """Return the backends that a pool's selector chooses.

    Args:
      config: The Config in force.
      fleet: The Fleet.
      pool_name: The pool's name.
    Returns:
      A list of Backend, leaving ones included.
    """
    pool = config.pools.get(pool_name)
    return [] if pool is None else fleet.members_of(pool)


def list_candidates(config, fleet, job, now_ms):
    """Return the engines that may get a request now.

    An engine takes no new work when it is leaving, does not hold the model,
    has been silent, or its breaker is open.

    Args:
      config: The Config in force.
      fleet: The Fleet.
      job: The Job.
      now_ms: The time in milliseconds.
    Returns:
      A list of Backend in the order of their ids.
    """
    usable = {}
    for pool_name in job.pools:
        members = list_usable(config, fleet, job, pool_name, now_ms)
        pool = config.pools.get(pool_name)
        if job.is_long and pool is not None and pool.long_share < 1:
            members = restrict_long(pool, members)
        usable.update({backend.identity: backend for backend in members})
    return [usable[identity] for identity in sorted(usable)]


def list_group_candidates(config, fleet, job, now_ms, size):
    """Return the engines that a group for one prompt may be chosen from.

    The long share does not bind groups: they need much memory for a long
    time, and a few engines could hold one group at a time.  One data centre
    is enough if it has as many engines as are needed.

    Args:
      config: The Config in force.
      fleet: The Fleet.
      job: The Job.
      now_ms: The time in milliseconds.
      size: How many engines the prompt needs.
    Returns:
      A list of Backend, shorter than the size if there are too few.
    """
    everyone = {}
    for pool_name in job.pools:
        for one in list_usable(config, fleet, job, pool_name, now_ms):
            everyone[one.identity] = one
    members = list(everyone.values())
    by_centre = {}
    for one in members:
        by_centre.setdefault(one.listed.data_centre, []).append(one)
    largest = max(by_centre.values(), key=len, default=[])
    return largest if len(largest) >= size else members


def list_usable(config, fleet, job, pool_name, now_ms):
    """Return the engines of a pool that may get new work for a model.

    Args:
      config: The Config in force.
      fleet: The Fleet.
      job: The Job.
      pool_name: The pool's name.
      now_ms: The time in milliseconds.
    Returns:
      A list of Backend.
    """
    pool = config.pools.get(pool_name)
    reporting = [] if pool is None else fleet.reporting_of(pool)
    return [one for one in reporting if is_usable(one, job.model, now_ms)]


def restrict_long(pool, members):
    """Return the engines of a pool that carry long prompts.

    Every instance comes to the same ones, so that the others keep free for
    short prompts whoever asks.

    Args:
      pool: The Pool.
      members: Its usable engines.
    Returns:
      A list of at least one engine if there is any.
    """
    share = max(1, math.ceil(pool.long_share * len(members)))
    by_id = {backend.identity: backend for backend in members}
    chosen = rank_by_hash(_LONG_KEY, by_id)[:share]
    return [by_id[identity] for identity in chosen]


def is_usable(backend, model, now_ms):
    """Tell whether an engine may get new work for a model.

    Args:
      backend: A Backend.
      model: The model's name.
      now_ms: The time in milliseconds.
    Returns:
      A bool.
    """
    load = backend.load
    if load is None or backend.is_leaving:
        return False
    if now_ms - load.at_ms > SILENT_MS or now_ms < backend.refused_until_ms:
        return False
    return model in backend.models and backend.breaker.allows(now_ms)


def _serves(pool, model):
    if model is None:
        return pool.kind == 'service'
    return model in pool.models
