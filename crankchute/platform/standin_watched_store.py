"""A simulated store of the platform whose keys change and can be watched.

Its lists have several pages, and those after the first may be read stale.  It
may forget its history, and be restored from an older copy.
"""

import asyncio
import time
from base64 import b64encode
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import orjson

from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import RANGE_PATH, STORE_ERA

_MS_PER_SECOND = 1000
_POLL_S = 0.02
_PAGE_ITEMS = 4
_STALE_S = 5
_GONE = {'error': 'history is gone'}  # noqa: WPS407  (a constant)


class _State:
    """The entries at some time.

    Attributes:
      at_s: The time.
      revision: The revision then.
      entries: A map from key to entry.
    """

    __slots__ = ('at_s', 'entries', 'revision')

    def __init__(self, revision, entries):
        self.at_s = time.monotonic()
        self.revision = revision
        self.entries = entries


class WatchedStore:
    """A store in one process."""

    def __init__(self):
        """Create an empty store; listen() starts it."""
        self._events = []
        self._states = [_State(0, {})]
        self._oldest = 0
        self._era = 0
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
        revision = self._newest.revision + 1
        event = {'tls-key': key, 'revision': revision, 'gone': True}
        entries = {**self._newest.entries}
        entries.pop(key, None)
        if document is not None:
            payload = b64encode(orjson.dumps(document)).decode()
            event.update(value=payload, gone=False)
            entries[key] = event
        self._events.append(event)
        self._states.append(_State(revision, entries))

    def cut(self):
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def forget(self):
        """Forget all changes; watches must read everything again."""
        self._oldest = self._newest.revision

    def restore(self, age_s):
        """Return to the contents of some seconds ago.

        Args:
          age_s: How old they are.
        """
        state = self._find_past(age_s)
        self._era += 1
        self._events = []
        self._oldest = state.revision
        self._states = [_State(state.revision, state.entries)]

    def expire_restored(self, prefix):
        """Remove entries that were not written since the last restore.

        Args:
          prefix: The prefix of their keys.
        """
        for key, entry in self._newest.entries.items():
            is_old = entry['revision'] <= self._states[0].revision
            if is_old and key.startswith(prefix):
                self.put(key, None)

    @property
    def _newest(self):
        return self._states[-1]

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
            status, document = await self._answer(urlsplit(request.target))
            line = f'HTTP/1.1 {status.value} {status.phrase}'
            headers = [(STORE_ERA, str(self._era))]
            body = orjson.dumps(document)
            writer.write(format_message(line, headers, body))
            await writer.drain()
            request = await read_message(reader)

    async def _answer(self, target):
        """Return the status and document that answer a read or a watch."""
        fields = dict(parse_qsl(target.query))
        if target.path == RANGE_PATH:
            state = self._newest
            if 'stale' in fields:
                state = self._find_past(_STALE_S)
            return HTTPStatus.OK, _list_page(state, fields)
        after = int(fields['after'])
        era = self._era
        end = time.monotonic() + int(fields['wait-ms']) / _MS_PER_SECOND
        while True:
            if after < self._oldest or after > self._newest.revision:
                return HTTPStatus.GONE, _GONE
            events = self._find_events(fields['path-prefix'], after)
            if events or time.monotonic() >= end or era != self._era:
                at = self._newest.revision
                return HTTPStatus.OK, {'events': events, 'at': at}
            await asyncio.sleep(_POLL_S)

    def _find_past(self, age_s):
        """Return the state of some seconds ago, or the oldest one."""
        at_s = time.monotonic() - age_s
        past = [state for state in self._states if state.at_s <= at_s]
        return past[-1] if past else self._states[0]

    def _find_events(self, prefix, after):
        return [
            event
            for event in self._events
            if event['revision'] > after and event['tls-key'].startswith(prefix)
        ]


def _list_page(state, fields):
    prefix, after = fields['path-prefix'], fields.get('after', '')
    listed = [
        state.entries[key]
        for key in sorted(state.entries)
        if key.startswith(prefix) and key > after
    ]
    return {
        'items': listed[:_PAGE_ITEMS],
        'more': len(listed) > _PAGE_ITEMS,
        'at': state.revision,
    }
