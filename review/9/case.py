"""A key is taken away just before an outage of the store."""

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
INSTANCES = 3
REVOKE_S = 5.0
#: The longest outage of the store in the site file, in seconds.
DOWN_S = 8.0
OPEN_PATH = '/open/'
KEY = 'key-1'
REVOKED_KEY = 'key-2'


async def play(record):
    store = Store()
    address = await store.listen('127.0.0.1')
    replicas = []
    for number in range(3):
        replica = Replica(f'i-{number:04x}', SERVICE, 'cubao')
        await replica.listen('127.0.0.1')
        replicas.append(replica)
        store.put(f'servers/{replica.identity}', replica.entry())
    routes = [
        make_route(),
        make_route(OPEN_PATH, **{'allow-anonymous': True}),
    ]
    store.put('op/config', make_config(7, routes, {'hule': [KEY, REVOKED_KEY]}))
    fleet = Fleet(INSTANCES, address)
    sent = {}
    try:
        await fleet.start()
        record.write(f'{INSTANCES} instances are ready')
        await asyncio.sleep(4)
        store.put('op/config', make_config(8, routes, {'hule': [KEY]}))
        revoked = time.time()
        if HAS_TROUBLE:
            store.is_away = True
        record.write('version 8, which takes key-2 away, is acknowledged')
        if HAS_TROUBLE:
            record.write('the store is down')
        await ask_until(record, fleet, sent, revoked + DOWN_S)
        store.is_away = False
        record.write('the store is back')
        await asyncio.sleep(1)
    finally:
        fleet.stop()
    late = []
    for replica in replicas:
        for _at, request in replica.runs:
            request_id = request.headers['x-crankchute-request-id']
            tenant = request.headers.get('x-crankchute-tenant')
            after_s = sent[request_id][0] - revoked
            is_revoked = sent[request_id][1] == REVOKED_KEY
            if is_revoked and tenant is not None and after_s > REVOKE_S:
                late.append(
                    f'{request_id} with the revoked key, sent {after_s:.2f} s '
                    f'after the acknowledgement, ran at {replica.identity} as '
                    f'{tenant}'
                )
    for line in late:
        record.write(line)
    record.write(f'{len(late)} requests ran with a revoked key')
    return bool(late)


async def ask_until(record, fleet, sent, until):
    """Ask all instances, on both routes and with both keys."""
    statuses = {}

    async def ask(instance, path, key):
        number = 0
        while time.time() < until:
            number += 1
            request_id = f'{instance.name}-{path.strip("/")}-{key}-{number}'
            sent[request_id] = time.time(), key
            answer = await instance.request(
                'GET', f'{path}{number}', make_headers(request_id, key)
            )
            name = f'{path} {key} {answer.status}'
            statuses[name] = statuses.get(name, 0) + 1
            await asyncio.sleep(0.2)

    await asyncio.gather(
        *(
            ask(instance, path, key)
            for instance in fleet.instances
            for path in (PATH, OPEN_PATH)
            for key in (KEY, REVOKED_KEY)
        )
    )
    record.write(f'answers by route, key and status: {statuses}')


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
