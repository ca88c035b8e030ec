"""A process of simulated servers, and the store, driven by lines on stdin."""

import asyncio
import sys
import time

import orjson

from crankchute.platform.standin_server import SimulatedServer
from crankchute.platform.standin_watched_store import WatchedStore


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
        name = command.pop('do')
        if name == 'store':
            await self._store.listen(**command)
        elif name == 'serve':
            server = SimulatedServer(command, self._record)
            self._servers[server.identity] = server
            await server.listen()
        else:
            target = self._servers.get(command.pop('server', None), self._store)
            getattr(target, name)(**command)
        if name == 'put':
            self._record_put(**command)

    def _record_put(self, key, document):
        state = None if document is None else document.get('state')
        self._record('put', key=key, state=state)

    def _record(self, event, **details):
        document = {'t': time.time(), 'event': event, **details}
        line = orjson.dumps(document, option=orjson.OPT_APPEND_NEWLINE)
        self._record_file.write(line)


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
