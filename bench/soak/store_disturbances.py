"""Disturbances of the store in a soak."""

import asyncio

from bench.soak.disturbances import leave
from bench.soak.plan import disturbance
from crankchute.platform.wire import SERVERS_PREFIX

_COPY_AGE_S = (1, 8)
#: How long after a change the history is forgotten.
_FORGOTTEN_S = (0, 0.1)
#: How long a server takes to write an entry that was lost.
_REWRITE_S = 0.5
#: How long an entry stays that nobody writes any more.
_EXPIRY_S = 3


@disturbance(1)
async def cut_store(plan):
    """Close the connections to the store."""
    plan.note('cut_store')
    plan.fleet.store.tell('cut')


@disturbance(2)
async def forget_history(plan):
    """Let the store forget its history, just after a server has left."""
    leaving = asyncio.create_task(leave(plan))
    await asyncio.sleep(plan.random.uniform(*_FORGOTTEN_S))
    plan.note('forget')
    plan.fleet.store.tell('forget')
    await leaving


@disturbance(1)
async def restore_store(plan):
    """Restore the store from an older copy; servers write their entries."""
    age_s = plan.random.uniform(*_COPY_AGE_S)
    plan.note('restore', age_s=age_s)
    plan.fleet.store.tell('restore', age_s=age_s)
    await asyncio.sleep(_REWRITE_S)
    plan.fleet.publish(plan.config.document)
    for identity, entry in plan.fleet.servers.items():
        plan.fleet.list_server(identity, entry)
    await asyncio.sleep(_EXPIRY_S)
    plan.fleet.store.tell('expire_restored', prefix=SERVERS_PREFIX)
