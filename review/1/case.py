"""A replica crashes while it answers long requests that it has not read."""

import asyncio
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import stage as st  # noqa: E402

_REPLICA = FOLDER.parent / 'lib/early_replica.py'
#: Three of seven replicas answer early: `garble` allows a share of 0.5.
_REPLICAS = 7
_EARLY = 3
#: One of seven crashes: `srv_crash` allows a share of 0.15.
_ROUNDS = 4
#: How long the replica has answered long requests when it crashes, in seconds.
_KILL_AFTER_S = 0.05
_BEGIN_S = 5
_LONG_REQUESTS = 12
_SHORT_REQUESTS = 400
_SHORT_AT_ONCE = 4
_KEY = 'key-of-the-tenant'
_LONG_BYTES = 1_500_000
#: What a replica answers whole, early or not.
_WHOLE = (6_000_000, 800)


class Round:
    """Seven replicas, of which one crashes during long answers."""

    def __init__(self, stage, number):
        """Prepare the round; start() starts its replicas."""
        self._stage = stage
        self._number = number
        self._loop = asyncio.get_running_loop()
        self.has_begun = asyncio.Event()
        self.replicas = []

    async def start(self):
        """Start the replicas without holding up the store."""
        self.replicas = await asyncio.gather(
            *(
                asyncio.to_thread(self._start, index)
                for index in range(_REPLICAS)
            )
        )
        for identity, _popen, (host, port) in self.replicas:
            entry = st.make_entry('app', f'{host}:{port}')
            self._stage.store.put(f'servers/{identity}', entry)

    def _start(self, index):
        stage = self._stage
        host = f'{stage.network}.{100 + index}'
        identity = f'i-{self._number}-{index}'
        mode = 'early' if index < _EARLY else 'plain'
        popen = subprocess.Popen(
            [sys.executable, str(_REPLICA), host, identity, mode],
            stdout=subprocess.PIPE,
            text=True,
        )
        stage.processes.append(popen)
        port = int(popen.stdout.readline().split()[1])
        thread = threading.Thread(
            target=self._read_runs, args=(popen, identity), daemon=True
        )
        thread.start()
        stage.record.note('replica_started', id=identity, mode=mode)
        return identity, popen, (host, port)

    def _read_runs(self, popen, identity):
        for line in popen.stdout:
            kind, request_id = line.split()
            self._stage.record.note('run', how=kind, id=request_id, at=identity)
            if kind == 'early' and identity == self.replicas[0][0]:
                self._loop.call_soon_threadsafe(self.has_begun.set)

    def crash(self):
        """Kill the first replica, which answers long requests early."""
        identity, popen, _address = self.replicas[0]
        self._stage.record.note('replica_killed', id=identity)
        popen.send_signal(signal.SIGKILL)

    def end(self):
        """Take the replicas out of the store, and end them."""
        for identity, popen, _address in self.replicas:
            self._stage.store.put(f'servers/{identity}', None)
            popen.kill()


async def _ask(stage, size, results):
    request_id = st.make_request_id()
    if size:
        stage.record.note('sent', id=request_id, size=size)
    answer = await st.ask(
        (stage.instances[0].ip, stage.ports['frontend']),
        'POST',
        '/app/read',
        key=_KEY,
        body=request_id.encode() + b'q' * size,
        request_id=request_id,
    )
    results.append(answer)
    if size or answer.status != 200:
        stage.record.note(
            'answered',
            id=request_id,
            status=answer.status,
            signature=answer.headers.get('x-crankchute-response-signature'),
            complete=answer.complete,
            body=len(answer.body),
        )


async def _ask_short(stage, results):
    async def ask_some():
        for _ in range(_SHORT_REQUESTS // _SHORT_AT_ONCE):
            await _ask(stage, 0, results)

    await asyncio.gather(*(ask_some() for _ in range(_SHORT_AT_ONCE)))


def _watch_end(address):
    """Send a long request to the replica itself; return how that ends."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.connect(address)
        head = (
            'POST /app/read HTTP/1.1\r\nHost: x\r\n'
            f'X-Crankchute-Request-Id: {st.make_request_id()}\r\n'
            f'Content-Length: {_LONG_BYTES}\r\n\r\n'
        )
        thread = threading.Thread(
            target=_send_all, args=(sock, head.encode() + b'q' * _LONG_BYTES)
        )
        thread.start()
        received = 0
        try:
            while chunk := sock.recv(16_384):
                received += len(chunk)
                time.sleep(0.002)
        except ConnectionError as exc:
            return f'{type(exc).__name__} after {received} bytes'
        finally:
            thread.join()
        return f'closed after {received} bytes'


def _send_all(sock, request):
    with suppress(OSError):
        sock.sendall(request)


async def _play_round(stage, number, results):
    round_ = Round(stage, number)
    await round_.start()
    await asyncio.sleep(1)
    tasks = [
        asyncio.create_task(_ask(stage, _LONG_BYTES, results))
        for _ in range(_LONG_REQUESTS)
    ]
    tasks.append(asyncio.create_task(_ask_short(stage, results)))
    if stage.has_trouble:
        try:
            await asyncio.wait_for(round_.has_begun.wait(), _BEGIN_S)
        except TimeoutError:
            stage.record.note('no_long_request_there')
        witness = asyncio.create_task(
            asyncio.to_thread(_watch_end, round_.replicas[0][2])
        )
        await asyncio.sleep(_KILL_AFTER_S)
        round_.crash()
        stage.record.note('witness', saw=await witness)
    await asyncio.gather(*tasks)
    round_.end()
    await asyncio.sleep(1)


async def _run(stage):
    config = {
        'version': 7,
        'routes': [st.make_route('/app/', 'app', 'idempotent')],
        'services': [st.make_service('app')],
        'limits': st.LIMITS,
        'tenants': [{'name': 't', 'api-keys': [_KEY], 'priority': 1}],
    }
    await stage.start(1, config, {})
    results = []
    for number in range(_ROUNDS):
        await _play_round(stage, number, results)
    return results


def main():
    """Run the case; return its exit code."""
    with st.Stage(FOLDER) as stage:
        results = asyncio.run(_run(stage))
        served = [one for one in results if one.status == 200 and one.complete]
        broken = [one for one in served if len(one.body) not in _WHOLE]
        summary = {
            'asked': len(results),
            'whole': len(served) - len(broken),
            'cut_short_but_complete': len(broken),
        }
        stage.record.note('result', **summary)
        print(summary)
        if len(served) < len(results) / 2:
            return st.NOT_RUN
        return st.BROKEN if broken else st.HELD


if __name__ == '__main__':
    st.exit_with(main)
