"""A stand-in of the platform's store: range, watch, history and eras.

It follows the page on the platform's metadata store: linearizable reads, one
counter of revisions, watches that answer as soon as there is an event, and 410
where the history is gone.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http11


class Store:
    """The store.

    Attributes:
      page_items: How many items a page has at most.
      stale_s: How old stale reads are, in seconds.
      era: How often it came back from an older copy.
      is_away: While true, calls are read and not answered.
      calls: How many calls were answered.
    """

    def __init__(self):
        self.era = 0
        self.is_away = False
        self.calls = 0
        self.page_items = 500
        self.stale_s = 0
        self._items = {}
        self._past = []
        self._events = []
        self._revision = 100
        self._oldest = 100
        self._changed = asyncio.Event()

    async def listen(self, host):
        """Start to listen; return the pair of host and port."""
        server = await http11.serve(host, 0, self._respond)
        return server.sockets[0].getsockname()[:2]

    def put(self, key, document):
        """Write an item and return its revision."""
        return self._write(key, json.dumps(document).encode())

    def delete(self, key):
        """Delete an item and return the revision of that change."""
        return self._write(key, None)

    def get(self, key):
        """Return the document of an item, or None."""
        item = self._items.get(key)
        return None if item is None else json.loads(item['value'])

    def forget_history(self):
        """Forget all changes; a watch from an earlier revision gets 410."""
        self._events = []
        self._oldest = self._revision
        self._wake()

    def copy(self):
        """Return a copy of the contents, to come back from."""
        return dict(self._items), list(self._events), self._revision

    def come_back_from(self, copy):
        """Replace the contents by those of a copy; the era rises."""
        self._items, self._events, self._revision = copy
        self._items = dict(self._items)
        self._events = list(self._events)
        self.era += 1
        self.is_away = False
        self._wake()

    def _write(self, key, payload):
        self._revision += 1
        revision = self._revision
        if payload is None:
            self._items.pop(key, None)
        else:
            made = self._items.get(key, {}).get('made', revision)
            self._items[key] = {
                'value': payload,
                'revision': revision,
                'made': made,
            }
        self._events.append((revision, key, payload, self._items.get(key)))
        self._past.append((time.time(), dict(self._items), revision))
        self._wake()
        return revision

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, request, _writer):
        while self.is_away:
            await asyncio.sleep(0.02)
        parts = urlsplit(request.target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        self.calls += 1
        if parts.path == '/api/kv-range':
            return self._render(200, self._read_range(query))
        if parts.path == '/api/kv-watch':
            return await self._watch(query)
        return self._render(404, {})

    def _read_range(self, query):
        prefix = query['path-prefix']
        after = query.get('after', '')
        items, revision = self._items, self._revision
        if query.get('stale') == '1':
            items, revision = self._find_past()
        keys = sorted(
            key for key in items if key.startswith(prefix) and key > after
        )
        return {
            'items': [
                _encode(key, items[key]) for key in keys[: self.page_items]
            ],
            'more': len(keys) > self.page_items,
            'at': revision,
        }

    def _find_past(self):
        """Return the items and the revision that stale reads show."""
        newest_at = time.time() - self.stale_s
        known = [one for one in self._past if one[0] <= newest_at]
        at, items, revision = known[-1] if known else self._past[0]
        return items, revision

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query['path-prefix']
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait-ms', 0)) / 1000
        while True:
            if after < self._oldest or after > self._revision:
                return self._render(410, {})
            events = [
                _encode_event(*event)
                for event in self._events
                if event[0] > after and event[1].startswith(prefix)
            ]
            remaining = until - loop.time()
            if events or remaining <= 0:
                return self._render(
                    200, {'events': events, 'at': self._revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except asyncio.TimeoutError:
                continue
            while self.is_away:
                await asyncio.sleep(0.02)

    def _render(self, status, document):
        return http11.render(
            f'HTTP/1.1 {status} Status',
            [
                ('Content-Type', 'application/json'),
                ('Store-Era', str(self.era)),
            ],
            json.dumps(document).encode(),
        )


def _encode(key, item):
    return {
        'tls-key': key,
        'value': base64.b64encode(item['value']).decode(),
        'revision': item['revision'],
        'made': item['made'],
        'lease': 0,
    }


def _encode_event(revision, key, payload, item):
    if payload is None:
        return {'tls-key': key, 'revision': revision, 'gone': True}
    return _encode(key, {**item, 'value': payload, 'revision': revision})
