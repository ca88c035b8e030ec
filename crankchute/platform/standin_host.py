"""A process of simulated servers, and the store, driven by lines on stdin."""

import asyncio
import sys
import time

import orjson

from crankchute.platform.standin_server import SimulatedServer
from crankchute.platform.standin_watched_store import WatchedStore

_LINE = orjson.OPT_APPEND_NEWLINE


class StandinHost:
    """Executes commands; each is a JSON document with its name in `do`."""

    def __init__(self, record_file):
        """Create a host without servers.

        Args:
          record_file: A binary file for the record of events.
        """
        self._record_file = record_file
        self._servers = {}
        self._store = WatchedStore()

    async def execute(self, command):
        """Execute a command.

        Args:
          command: A map.
        """
        await getattr(self, f'_do_{command.pop("do")}')(**command)

    def _record(self, event, **details):
        document = {'t': time.time(), 'event': event, **details}
        self._record_file.write(orjson.dumps(document, option=_LINE))

    async def _do_store(self, host, port):
        await self._store.listen(host, port)

    async def _do_put(self, key, document):
        await self._store.put(key, document)

    async def _do_cut(self):
        self._store.cut()

    async def _do_serve(self, **fields):
        server = SimulatedServer(fields, self._record)
        await server.listen()
        self._servers[server.identity] = server

    async def _do_silence(self, server, seconds):
        self._servers[server].fall_silent(seconds)

    async def _do_fill(self, server, seconds):
        self._servers[server].fill(seconds)

    async def _do_leave(self, server):
        self._servers[server].is_leaving = True

    async def _do_crash(self, server):
        self._servers[server].crash()


async def _main(record_path):
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    with open(record_path, 'ab', buffering=0) as record_file:
        host = StandinHost(record_file)
        line = await reader.readline()
        while line:
            await host.execute(orjson.loads(line))
            line = await reader.readline()


if __name__ == '__main__':
    asyncio.run(_main(sys.argv[1]))
