"""Eligibility of engines for a request, before routing policies rank them."""

import math

from crankchute.core.hashing import rank_by_hash
from crankchute.core.labels import match_labels

#: An engine whose latest load report is older than this gets no new work.
MAX_LOAD_AGE_MS = 5000
_LONG_PROMPT_HASH_KEY = 'long'


def select_pools(config, workload, model):
    """Return the names of the pools that serve a workload class and a model.

    Args:
      config: The active Config.
      workload: A WorkloadClass.
      model: The model's name, or None for a plain service.
    Returns:
      A tuple of names.
    """
    return tuple(
        pool.name
        for pool in config.pools.values()
        if match_labels(workload.pools, pool.labels)
        and _pool_serves(pool, model)
    )


def list_members(config, fleet, pool_name):
    """Return the backends that match a pool's selector.

    Args:
      config: The active Config.
      fleet: The Fleet.
      pool_name: The pool's name.
    Returns:
      A list of Backend, including those that are leaving.
    """
    pool = config.pools.get(pool_name)
    return [] if pool is None else fleet.members_of(pool)


def list_candidates(config, fleet, job, now_ms):
    """Return the engines that may be sent a request now.

    An engine is excluded while it is leaving, lacks the model, has a stale
    load report, or has an open circuit breaker.

    Args:
      config: The active Config.
      fleet: The Fleet.
      job: The Job.
      now_ms: The time in milliseconds.
    Returns:
      A list of Backend, sorted by id.
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
    """Return the engines from which a group for one prompt may be chosen.

    Groups are exempt from the pool's long_share: they hold much memory for a
    long time, so a few engines could serve only one group at a time.  The
    result is limited to one data centre if it has enough engines.

    Args:
      config: The active Config.
      fleet: The Fleet.
      job: The Job.
      now_ms: The time in milliseconds.
      size: The number of engines that the prompt needs.
    Returns:
      A list of Backend, shorter than size if there are too few.
    """
    by_id = {}
    for pool_name in job.pools:
        for backend in list_usable(config, fleet, job, pool_name, now_ms):
            by_id[backend.identity] = backend
    members = list(by_id.values())
    by_data_centre = {}
    for backend in members:
        by_data_centre.setdefault(backend.listed.data_centre, []).append(
            backend
        )
    largest = max(by_data_centre.values(), key=len, default=[])
    return largest if len(largest) >= size else members


def list_usable(config, fleet, job, pool_name, now_ms):
    """Return the engines of a pool that accept new work for a job's model.

    Args:
      config: The active Config.
      fleet: The Fleet.
      job: The Job.
      pool_name: The pool's name.
      now_ms: The time in milliseconds.
    Returns:
      A list of Backend.
    """
    pool = config.pools.get(pool_name)
    reporting = [] if pool is None else fleet.reporting_of(pool)
    return [
        backend
        for backend in reporting
        if is_usable(backend, job.model, now_ms)
    ]


def restrict_long(pool, members):
    """Return the engines of a pool that serve long prompts.

    Every instance selects the same engines, which leaves the others to short
    prompts across the fleet.

    Args:
      pool: The Pool.
      members: Its usable engines.
    Returns:
      A list of Backend; empty only if members is empty.
    """
    share = max(1, math.ceil(pool.long_share * len(members)))
    by_id = {backend.identity: backend for backend in members}
    chosen = rank_by_hash(_LONG_PROMPT_HASH_KEY, by_id)[:share]
    return [by_id[identity] for identity in chosen]


def is_usable(backend, model, now_ms):
    """Return whether an engine accepts new work for a model.

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
    if (
        now_ms - load.at_ms > MAX_LOAD_AGE_MS
        or now_ms < backend.paused_until_ms
    ):
        return False
    return model in backend.models and backend.breaker.allows(now_ms)


def _pool_serves(pool, model):
    if model is None:
        return pool.kind == 'service'
    return model in pool.models
