"""Streams that are sent just over 3 s after a SIGTERM are accepted and cut."""

import asyncio
import os
import signal
import socket
import sys
import threading
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

import http11
from documents import SERVICE, make_config, make_headers, make_route
from fleet import Fleet
from record import Record
from store import Store

HAS_TROUBLE = os.environ.get('TROUBLE') != '0'
INSTANCES = 3
#: Requests in progress on kept connections when the signal comes.
BURST = 100
#: Routes that the configuration grows by at the same time.
NEW_ROUTES = 350
#: The rule excuses streams that were sent until then, in seconds.
EXCUSED_S = 3.0
FIRST_SENT_S = 2.99
STEP_S = 0.0005
STREAMS = 120
LONG_EVENTS = 10
LONG_GAP_S = 0.5
SHORT_EVENTS = 2
SHORT_GAP_S = 0.01
LONG_PATH = '/long/'
SHORT_PATH = '/short/'
KEY = 'key-1'


class StreamingReplica:
    """A replica of streams, long ones and short ones.

    Attributes:
      begun: A map from request ids to when the replica began to run them.
    """

    def __init__(self, identity):
        self.identity = identity
        self.address = None
        self.begun = {}

    async def listen(self):
        server = await http11.serve('127.0.0.1', 0, self._respond)
        self.address = server.sockets[0].getsockname()[:2]

    def entry(self):
        return {
            'service': SERVICE,
            'address': '{0}:{1}'.format(*self.address),
            'zone': 'cubao',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 0,
        }

    async def _respond(self, request, writer):
        request_id = request.headers['x-crankchute-request-id']
        self.begun[request_id] = time.time()
        count, gap_s = SHORT_EVENTS, SHORT_GAP_S
        if request.target.startswith(LONG_PATH):
            count, gap_s = LONG_EVENTS, LONG_GAP_S
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            f'X-Crankchute-Request-Id: {request_id}',
            f'X-Crankchute-Response-Signature: {self.identity}.{request_id}',
            'Transfer-Encoding: chunked',
            '\r\n',
        ]
        writer.write('\r\n'.join(lines).encode())
        for number in range(1, count + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        return b'0\r\n\r\n'


class Client:
    """A client of one stream, on a connection that it opens before."""

    def __init__(self, instance, request_id, path):
        self.request_id = request_id
        self.sent = None
        self.end = None
        self.ended = None
        self._request = http11.render(
            f'GET {path}1 HTTP/1.1', make_headers(request_id, KEY, 15_000), b''
        )
        self._sock = socket.create_connection(instance.front)
        self._sock.settimeout(20)

    def send(self):
        self.sent = time.time()
        self._sock.sendall(self._request)

    def read(self):
        """Read until the stream ends, whole or not, or until a refusal."""
        received = b''
        try:
            while True:
                chunk = self._sock.recv(65_536)
                received += chunk
                status = received[9:12].decode()
                if status == '200' and received.endswith(b'0\r\n\r\n'):
                    self.end = 'whole'
                elif not chunk:
                    self.end = 'cut'
                elif status not in ('', '200'):
                    self.end = status
                if self.end is not None:
                    break
        except OSError as exc:
            self.end = repr(exc)
        self.ended = time.time()
        self._sock.close()


async def play(record):
    store = Store()
    address = await store.listen('127.0.0.1')
    replicas = [StreamingReplica(f'i-{number:04x}') for number in range(3)]
    for replica in replicas:
        await replica.listen()
        store.put(f'servers/{replica.identity}', replica.entry())
    routes = [
        make_route(
            path, kind='streaming', gap_aim_ms=1000, **{'timeout-ms': 15_000}
        )
        for path in (LONG_PATH, SHORT_PATH)
    ]
    store.put('op/config', make_config(7, routes, {'hule': [KEY]}))
    fleet = Fleet(INSTANCES, address)
    try:
        await fleet.start()
        record.write(f'{INSTANCES} instances are ready')
        await asyncio.sleep(3.5)
        clients, signalled = await stop_one(record, store, fleet, routes)
    finally:
        fleet.stop()
    lost = 0
    for client in clients:
        after_s = client.sent - signalled
        has_run = any(client.request_id in one.begun for one in replicas)
        is_lost = has_run and after_s > EXCUSED_S and client.end == 'cut'
        lost += is_lost
        record.write(
            f'{client.request_id} sent {after_s:.4f} s after the signal: '
            f'{client.end} {client.ended - signalled:.2f} s after it'
            f'{", LOST" if is_lost else ""}'
        )
    record.write(f'{lost} streams were accepted, run and cut')
    return bool(lost)


async def stop_one(record, store, fleet, routes):
    """Stop a busy instance; return the clients of long streams and when."""
    instance = fleet.instances[0]
    loop = asyncio.get_running_loop()
    for number in range(30):
        await loop.run_in_executor(
            None, use_once, Client(instance, f'early-{number}', SHORT_PATH)
        )
    burst = [
        Client(instance, f'burst-{number}', SHORT_PATH)
        for number in range(BURST)
    ]
    clients = [
        Client(instance, f'long-{number}', LONG_PATH)
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1)
    added = [make_route(f'/added-{number}/') for number in range(NEW_ROUTES)]
    store.put('op/config', make_config(8, routes + added, {'hule': [KEY]}))
    for client in burst:
        client.send()
    signalled = time.time()
    if HAS_TROUBLE:
        instance.send_signal(signal.SIGTERM)
        record.write(f'{instance.name} gets SIGTERM', signalled)
    sender = threading.Thread(target=send_all, args=(clients, signalled))
    sender.start()
    readers = [
        threading.Thread(target=client.read) for client in burst + clients
    ]
    for reader in readers:
        reader.start()
    while any(one.is_alive() for one in (sender, *readers)):
        await asyncio.sleep(0.05)
    record.write('all streams have ended')
    return clients, signalled


def use_once(client):
    client.send()
    client.read()


def send_all(clients, signalled):
    """Send the streams, one each half millisecond."""
    for number, client in enumerate(clients):
        due = signalled + FIRST_SENT_S + number * STEP_S
        time.sleep(max(due - time.time() - 0.002, 0))
        while time.time() < due:
            pass
        client.send()


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
