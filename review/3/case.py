"""More clients than usual send long requests at the same time."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import replica  # noqa: E402
import stage as st  # noqa: E402

_KEY = 'key-of-the-tenant'
_REPLICAS = 5
#: Bookings are in progress all the time, and take so long.
_BOOKINGS = 12
_WORK_S = 1.0
_LONG_USUAL = 10
#: The traffic of a kind of request in a `burst`, which allows up to 2.9.
_BURST = 2.9
#: Within max-body-bytes, 4,194,304.
_LONG_BYTES = 4_190_000
_LONG_WORK_S = 2.0
#: The platform kills a process over memory-mb.
_MEMORY_KB = 300 * 1024
_CHECK_S = 0.01
#: LOST allows three.
_ALLOWED = 3


class WorkingReplica(replica.Replica):
    """A replica that works on each request for a while."""

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = replica.parse_fields(head)
                length = int(fields.get('content-length', 0))
                answer = self._answer(head, fields)
                while length:
                    chunk = await reader.read(min(length, 65_536))
                    if not chunk:
                        raise ConnectionError
                    length -= len(chunk)
                is_long = head.split(b' ')[1] == b'/app/long'
                await asyncio.sleep(_LONG_WORK_S if is_long else _WORK_S)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


class Platform:
    """Kills the process if it uses more memory than its settings allow.

    Attributes:
      highest: The highest memory that was seen, in kB.
      kills: How often the process was killed.
    """

    def __init__(self, stage):
        """Create the platform's watch of the first instance."""
        self._stage = stage
        self.highest = 0
        self.kills = 0

    async def watch(self):
        """Check the memory until this is cancelled."""
        instance = self._stage.instances[0]
        while True:
            used = st.read_memory(instance.popen.pid, 'VmRSS') or 0
            self.highest = max(self.highest, used)
            if used > _MEMORY_KB and instance.popen.poll() is None:
                self.kills += 1
                self._stage.record.note('over_memory', kb=used)
                instance.send(signal.SIGKILL)
                await asyncio.to_thread(instance.popen.wait)
                await asyncio.sleep(0.5)
                instance.start()
            await asyncio.sleep(_CHECK_S)


class Client:
    """A client that keeps its connection.

    Attributes:
      asked: The ids of the requests sent on a connection that had served others
        before, and their answers.
    """

    def __init__(self, stage):
        """Create a client without a connection."""
        self._stage = stage
        self._connection = None
        self._served = 0
        self.asked = []
        self.statuses = []

    async def ask(self, path, size):
        """Send a request and read its answer.

        Args:
          path: The path.
          size: The bytes of the body.
        """
        instance = self._stage.instances[0]
        if self._connection is None:
            self._served = 0
            try:
                self._connection = await asyncio.open_connection(
                    instance.ip, self._stage.ports['frontend']
                )
            except OSError:
                return
        answer = st.Answer()
        request_id = st.make_request_id()
        head = (
            f'POST {path} HTTP/1.1\r\n'
            f'Host: {st.HOST}\r\n'
            f'X-Crankchute-Request-Id: {request_id}\r\n'
            'X-Crankchute-Deadline-Ms: 10000\r\n'
            f'Authorization: Bearer {_KEY}\r\n'
            f'Content-Length: {size}\r\n\r\n'
        )
        note = self._stage.record.note
        note('sent', id=request_id, path=path, size=size, earlier=self._served)
        reader, writer = self._connection
        try:
            writer.write(head.encode() + b'q' * size)
            await writer.drain()
            await asyncio.wait_for(st.read_answer(reader, answer), 12)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        note('answered', id=request_id, status=answer.status)
        if self._served:
            self.asked.append((request_id, answer))
        self.statuses.append(answer.status)
        self._served += 1
        if not answer.complete:
            writer.close()
            self._connection = None

    async def book(self):
        """Book until this is cancelled."""
        while True:
            await self.ask('/app/booking', 0)
            await asyncio.sleep(0.05)


async def _run(stage):
    config = {
        'version': 7,
        'routes': [st.make_route('/app/', 'app', 'non_idempotent')],
        'services': [st.make_service('app')],
        'limits': st.LIMITS,
        'tenants': [{'name': 't', 'api-keys': [_KEY], 'priority': 1}],
    }
    replicas = [
        WorkingReplica(stage, f'i-{number}') for number in range(_REPLICAS)
    ]
    servers = {}
    for number, one in enumerate(replicas):
        await one.start(f'{stage.network}.{100 + number}')
        servers[one.identity] = st.make_entry('app', one.address)
    await stage.start(1, config, servers)
    await asyncio.sleep(1)
    platform = Platform(stage)
    bookers = [Client(stage) for _ in range(_BOOKINGS)]
    tasks = [asyncio.create_task(one.book()) for one in bookers]
    tasks.append(asyncio.create_task(platform.watch()))
    await asyncio.sleep(3)
    count = round(_LONG_USUAL * _BURST) if stage.has_trouble else _LONG_USUAL
    await asyncio.gather(
        *(Client(stage).ask('/app/long', _LONG_BYTES) for _ in range(count))
    )
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    ran = {request_id for one in replicas for request_id in one.runs}
    return platform, bookers, ran


def main():
    """Run the case; return its exit code."""
    with st.Stage(FOLDER) as stage:
        platform, bookers, ran = asyncio.run(_run(stage))
        lost = [
            request_id
            for one in bookers
            for request_id, answer in one.asked
            if request_id in ran and answer.status is None
        ]
        served = sum(one.statuses.count(200) for one in bookers)
        summary = {
            'highest_memory_kb': platform.highest,
            'kills': platform.kills,
            'bookings_served': served,
            'bookings_run_and_lost': len(lost),
        }
        stage.record.note('result', **summary)
        print(summary)
        if not served:
            return st.NOT_RUN
        return st.BROKEN if len(lost) > _ALLOWED else st.HELD


if __name__ == '__main__':
    st.exit_with(main)
