"""A simulated store of the platform whose keys change and can be watched."""

import asyncio
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

import orjson

from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import RANGE_PATH, WATCH_PATH

_PAGE = 50
_MS_PER_SECOND = 1000


class WatchedStore:
    """A store in one process; put() and remove() change it."""

    def __init__(self):
        """Create an empty store."""
        self._entries = {}
        self._log = []
        self._revision = 0
        self._changed = asyncio.Condition()
        self._writers = set()

    async def listen(self, host, port):
        """Accept connections.

        Args:
          host: An IP address.
          port: A port number.
        """
        await asyncio.start_server(self._serve, host, port)

    async def put(self, key, document):
        """Write a key.

        Args:
          key: A string.
          document: The value to encode, or None to remove the key.
        """
        async with self._changed:
            self._revision += 1
            event = {'tls-key': key, 'revision': self._revision}
            if document is None:
                self._entries.pop(key, None)
                event['gone'] = True
            else:
                payload = b64encode(orjson.dumps(document)).decode()
                event['value'] = payload
                self._entries[key] = event
            self._log.append(event)
            self._changed.notify_all()

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
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_all(self, reader, writer):
        message = await read_message(reader)
        while message is not None:
            document = await self._answer(message.target)
            status = '404 Not Found' if document is None else '200 OK'
            body = orjson.dumps(document)
            headers = [('content-type', 'application/json')]
            writer.write(format_message(f'HTTP/1.1 {status}', headers, body))
            await writer.drain()
            message = await read_message(reader)

    async def _answer(self, target):
        parts = urlsplit(target)
        fields = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        if parts.path == RANGE_PATH:
            return self._list(fields['path-prefix'], fields.get('after', ''))
        if parts.path == WATCH_PATH:
            return await self._watch(fields)
        return None

    def _list(self, prefix, after):
        keys = sorted(
            key
            for key in self._entries
            if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._entries[key] for key in keys[:_PAGE]],
            'more': len(keys) > _PAGE,
            'at': self._revision,
        }

    async def _watch(self, fields):
        prefix, after = fields['path-prefix'], int(fields['after'])

        def find():
            return [
                event
                for event in self._log[after:]
                if event['tls-key'].startswith(prefix)
            ]

        wait_s = int(fields['wait-ms']) / _MS_PER_SECOND
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(find), wait_s)
            except asyncio.TimeoutError:
                return {'events': [], 'at': self._revision}
            return {'events': find(), 'at': self._revision}
