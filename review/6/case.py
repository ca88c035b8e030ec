"""A replica drains and the store forgets its history; the list has two pages."""

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
INSTANCES = 6
#: Replicas of another service, so that the list has two pages of 500.  They get
#: no requests, so nothing listens at their addresses.
OTHERS = 520
#: How old stale reads are, in seconds.
STALE_S = 5.5
DRAIN_S = 2.0
#: The store counts as stable again after this time, in seconds.
CONTACT_S = 3.0
REQUESTS = 6
KEY = 'key-1'


async def play(record):
    store = Store()
    store.stale_s = STALE_S
    address = await store.listen('127.0.0.1')
    for number in range(OTHERS):
        other = Replica(f'i-a{number:03x}', 'chute-llm', 'pasay')
        other.address = f'127.9.{number // 250}.{number % 250 + 1}', 8080
        store.put(f'servers/{other.identity}', other.entry())
    replicas = []
    for number in range(4):
        replica = Replica(f'i-b{number:03x}', SERVICE, 'cubao')
        await replica.listen('127.0.0.1')
        replicas.append(replica)
        if number < 3:
            store.put(f'servers/{replica.identity}', replica.entry())
    leaver, comer = replicas[0], replicas[3]
    store.put('op/config', make_config(7, [make_route()], {'hule': [KEY]}))
    fleet = Fleet(INSTANCES, address)
    try:
        # Stale reads show nothing that is newer than STALE_S.
        await asyncio.sleep(STALE_S)
        await fleet.start()
        record.write(f'{INSTANCES} instances are ready')
        await asyncio.sleep(STALE_S + 1)
        store.put(f'servers/{comer.identity}', comer.entry())
        await asyncio.sleep(0.05)
        store.put(f'servers/{leaver.identity}', leaver.entry('draining'))
        drained = time.time()
        record.write(f'{leaver.identity} is draining')
        await asyncio.sleep(0.02)
        calls = store.calls
        if HAS_TROUBLE:
            store.forget_history()
            record.write('the store forgets its history')
        while time.time() < drained + 8:
            await asyncio.sleep(0.5)
            await ask_all(record, fleet, f'{time.time() - drained:.1f}')
        record.write(f'{store.calls - calls} calls of the store since')
    finally:
        fleet.stop()
    late = []
    for at, request in leaver.runs:
        after_s = at - drained
        if after_s > max(DRAIN_S, CONTACT_S + 0.1):
            request_id = request.headers['x-crankchute-request-id']
            late.append(
                f'{request_id} ran at {leaver.identity} {after_s:.1f} s '
                f'after it had declared that it drains'
            )
    for line in late:
        record.write(line)
    record.write(f'{len(late)} requests ran at a draining replica')
    return bool(late)


async def ask_all(record, fleet, label):
    """Send a few requests to each instance."""
    answers = await asyncio.gather(
        *(
            instance.request(
                'GET',
                f'{PATH}{step}',
                make_headers(f'{instance.name}-{label}-{step}', KEY),
            )
            for instance in fleet.instances
            for step in range(REQUESTS)
        )
    )
    statuses = {}
    for answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record.write(f'{len(answers)} requests to all instances: {statuses}')


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
