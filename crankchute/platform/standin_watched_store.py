"""A simulated store of the platform whose keys change and can be watched."""

import asyncio
import time
from base64 import b64encode
from urllib.parse import parse_qsl, urlsplit

import orjson

from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import RANGE_PATH

_MS_PER_SECOND = 1000
_POLL_S = 0.02


class WatchedStore:
    """A store in one process."""

    def __init__(self):
        """Create an empty store; listen() starts it."""
        self._log = []
        self._writers = set()

    async def listen(self, host, port):
        """Accept connections.

        Args:
          host: An IP address.
          port: A port number.
        """
        await asyncio.start_server(self._serve, host, port)

    def put(self, key, document):
        """Write a key.

        Args:
          key: A string.
          document: The value to encode, or None to remove the key.
        """
        event = {'tls-key': key, 'revision': len(self._log) + 1, 'gone': True}
        if document is not None:
            payload = b64encode(orjson.dumps(document)).decode()
            event.update(value=payload, gone=False)
        self._log.append(event)

    def cut(self):
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._answer_all(reader, writer)
        except (ConnectionError, ValueError):
            writer.transport.abort()
        self._writers.discard(writer)
        writer.close()

    async def _answer_all(self, reader, writer):
        request = await read_message(reader)
        while request is not None:
            body = orjson.dumps(await self._answer(urlsplit(request.target)))
            writer.write(format_message('HTTP/1.1 200 OK', [], body))
            await writer.drain()
            request = await read_message(reader)

    async def _answer(self, target):
        """Return the document that answers a read or a watch."""
        fields = dict(parse_qsl(target.query))
        prefix = fields['path-prefix']
        if target.path == RANGE_PATH:
            newest = {one['tls-key']: one for one in self._find(prefix, 0)}
            entries = [one for one in newest.values() if not one['gone']]
            return {'items': entries, 'more': False, 'at': len(self._log)}
        after = int(fields['after'])
        wait_s = int(fields['wait-ms']) / _MS_PER_SECOND
        end = time.monotonic() + wait_s
        while not self._find(prefix, after) and time.monotonic() < end:
            await asyncio.sleep(_POLL_S)
        return {'events': self._find(prefix, after), 'at': len(self._log)}

    def _find(self, prefix, after):
        return [
            event
            for event in self._log[after:]
            if event['tls-key'].startswith(prefix)
        ]
