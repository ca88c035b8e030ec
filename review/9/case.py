"""Replicas leave while the store forgets its history; who sends to them?"""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from documents import PATH, SERVICE, make_config, make_headers, make_route
from fleet import Fleet
from record import Record
from replica import Replica
from store import Store

HAS_TROUBLE = os.environ.get('TROUBLE') != '0'
INSTANCES = 76
LEAVERS = 3
STABLE = 2
#: Between two leaves, in seconds: the store is stable again 3 s after it forgot
#: its history.
ROUND_S = 3.45
#: Clients ask each instance this many rounds after a replica left, 3.25 s after
#: the latest disruption of the store.
ASKED_AFTER_ROUNDS = 3
MARGIN_S = 0.2
REQUESTS = 8
DRAIN_S = 2.0
#: How long a replica serves on after its entry is gone.
SERVES_ON_S = 15
KEY = 'key-1'


async def play(record):
    store = Store()
    address = await store.listen('127.0.0.1')
    replicas = []
    for number in range(STABLE + LEAVERS):
        replica = Replica(f'i-{number:04x}', SERVICE, 'cubao')
        await replica.listen('127.0.0.1')
        replicas.append(replica)
        store.put(f'servers/{replica.identity}', replica.entry())
    store.put('op/config', make_config(7, [make_route()], {'hule': [KEY]}))
    fleet = Fleet(INSTANCES, address)
    gone = {}
    try:
        await fleet.start()
        record.write(f'{INSTANCES} instances are ready')
        await asyncio.sleep(4)
        for number in range(LEAVERS + ASKED_AFTER_ROUNDS):
            begun = time.time()
            if number < LEAVERS:
                leaver = replicas[STABLE + number]
                await let_leave(record, store, leaver, replicas, gone)
            rest_s = begun + ROUND_S - MARGIN_S - time.time()
            await asyncio.sleep(rest_s)
            if number >= ASKED_AFTER_ROUNDS - 1:
                await ask_all(record, fleet, number)
            await asyncio.sleep(max(begun + ROUND_S - time.time(), 0))
    finally:
        fleet.stop()
    late = list_late(replicas, gone)
    for line in late:
        record.write(line)
    record.write(f'{len(late)} requests ran at a replica that had left')
    return bool(late)


async def let_leave(record, store, leaver, replicas, gone):
    """Let a replica leave just after another has come."""
    comer = Replica(f'i-{len(replicas):04x}', SERVICE, 'pasay')
    await comer.listen('127.0.0.1')
    replicas.append(comer)
    store.put(f'servers/{comer.identity}', comer.entry())
    await asyncio.sleep(0.05)
    store.delete(f'servers/{leaver.identity}')
    gone[leaver.identity] = time.time()
    record.write(f'the entry of {leaver.identity} is gone')
    if HAS_TROUBLE:
        await asyncio.sleep(0.02)
        store.forget_history()
        record.write('the store forgets its history')


async def ask_all(record, fleet, number):
    """Send a few requests to each instance."""
    answers = await asyncio.gather(
        *(
            instance.request(
                'GET',
                f'{PATH}{step}',
                make_headers(f'{instance.name}-{number}-{step}', KEY),
            )
            for instance in fleet.instances
            for step in range(REQUESTS)
        )
    )
    statuses = {}
    for answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record.write(f'{len(answers)} requests to all instances: {statuses}')


def list_late(replicas, gone):
    """Return what ran at replicas that had left for over drain-ms."""
    late = []
    for replica in replicas:
        if replica.identity not in gone:
            continue
        for at, request in replica.runs:
            after_s = at - gone[replica.identity]
            if DRAIN_S < after_s < SERVES_ON_S:
                request_id = request.headers['x-crankchute-request-id']
                late.append(
                    f'{request_id} ran at {replica.identity} {after_s:.1f} s '
                    f'after its entry was gone'
                )
    return late


def main():
    record = Record('record.txt')
    try:
        is_broken = asyncio.run(play(record))
    except Exception:
        traceback.print_exc()
        return 2
    return 1 if is_broken else 0


if __name__ == '__main__':
    sys.exit(main())
