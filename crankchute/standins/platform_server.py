"""The platform stand-in: configuration, instance list and weight store.

The system only reads and watches the configuration; the paths under `/admin/`
write it for operators and tests.  Reads are rate-limited; a long poll counts
once.
"""

import base64
from http import HTTPStatus

from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.routes import Routes, read_json, read_query
from crankchute.errors import RequestRefused
from crankchute.standins.faults import Fault, FaultMode, FaultyReplies

_READS_PER_SECOND = 2000
_MAX_VALUE_BYTES = 1_048_576
_INSTANCE_LIST_LAG_MS = 300
_WINDOW_MS = 1000
_MS_PER_SECOND = 1000
routes = Routes()


class RevisionStore:
    """A key-value store with revisions and watches.

    Attributes:
      revision: The latest revision.
    """

    def __init__(self):
        """Create an empty store at revision 0."""
        self._entries = {}
        self._history = []
        self._watchers = []
        self.revision = 0

    def put(self, key, text):
        """Write a value, or delete it with None, and notify the watchers."""
        self.revision += 1
        self._entries[key] = (self.revision, text)
        self._history.append((key, self.revision, text))
        watchers = self._watchers
        self._watchers = []
        for watcher in watchers:
            watcher()

    def watch(self, watcher):
        """Call a function once, at the next change."""
        self._watchers.append(watcher)

    def changes_since(self, since):
        """Return the changes after a revision as a document."""
        entries = {
            key: [revision, text]
            for key, (revision, text) in self._entries.items()
            if revision > since
        }
        return {'since': since, 'revision': self.revision, 'entries': entries}

    def snapshot_at(self, last_revision):
        """Return the state at a revision as a document.

        Args:
          last_revision: The revision; any later one means the latest.
        """
        last_revision = min(last_revision, self.revision)
        entries = {
            key: [revision, text]
            for key, revision, text in self._history
            if revision <= last_revision
        }
        return {'since': 0, 'revision': last_revision, 'entries': entries}


class RateLimiter:
    """Limits calls to a rate per second, with fixed windows."""

    def __init__(self, clock, limit):
        """Create the limiter.

        Args:
          clock: A Clock.
          limit: Calls per second.
        """
        self._clock = clock
        self._limit = limit
        self._window_start_ms = 0
        self._count_in_window = 0
        self.total = 0
        self.refused = 0
        self.peak = 0

    def try_acquire(self):
        """Count a call; return False if it exceeds the rate."""
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._count_in_window = 0
        self._count_in_window += 1
        self.total += 1
        self.peak = max(self.peak, self._count_in_window)
        if self._count_in_window > self._limit:
            self.refused += 1
            return False
        return True


class PlatformServer:
    """The platform stand-in as an HTTP server."""

    def __init__(self, loop, bind, weights_per_second=4):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP address and port.
          weights_per_second: The rate limit of the weight store.
        """
        self._timers = loop.timers
        self._fault = Fault()
        self._config = RevisionStore()
        self._instances = RevisionStore()
        self._replies = FaultyReplies(loop.timers, self._fault)
        self._stale_snapshots = None
        clock = loop.clock
        self._reads = RateLimiter(clock, _READS_PER_SECOND)
        self._weights = RateLimiter(clock, weights_per_second)
        self.http = HttpServer(
            bind,
            self._on_request,
            loop.timers,
            channel=f'platform-{bind[1]}',
        ).register(loop)

    @routes.add('GET', '/v1/config')
    def read_config(self, exchange):
        """Return configuration changes, with long polling."""
        self._read(exchange, self._config)

    @routes.add('GET', '/v1/instances')
    def read_instances(self, exchange):
        """Return changes of the instance list, with long polling."""
        self._read(exchange, self._instances)

    @routes.add('GET', '/weights/')
    def read_weights(self, exchange):
        """Return the weights of a model, within the rate limit."""
        if not self._weights.try_acquire():
            raise _rate_limited()
        exchange.reply(HTTPStatus.OK, {'weights': exchange.path})

    @routes.add('PUT', '/admin/config/')
    def write_config(self, exchange):
        """Publish a configuration value."""
        key = exchange.path.removeprefix('/admin/config/')
        if len(exchange.body) > _MAX_VALUE_BYTES:
            raise RequestRefused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'value_too_large',
                'a value is at most 1 MB',
            )
        text = base64.b64encode(exchange.body).decode()
        self._config.put(key, text)
        exchange.reply(HTTPStatus.OK, {'revision': self._config.revision})

    @routes.add('DELETE', '/admin/config/')
    def delete_config(self, exchange):
        """Delete a configuration value."""
        self._config.put(exchange.path.removeprefix('/admin/config/'), None)
        exchange.reply(HTTPStatus.OK, {'revision': self._config.revision})

    @routes.add('PUT', '/admin/instances')
    def write_instances(self, exchange):
        """Add, change or remove instances; the list follows with a delay."""
        for record in read_json(exchange)['instances']:
            self._timers.after(
                _INSTANCE_LIST_LAG_MS,
                _DelayedInstanceUpdate(self, record).apply,
            )
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/admin/fault')
    def configure_fault(self, exchange):
        """Set the fault; `stale` serves the state at an old revision."""
        document = read_json(exchange)
        self._fault.configure(document)
        self._stale_snapshots = None
        if self._fault.mode == FaultMode.STALE:
            last_revision = document.get('revision', self._config.revision)
            self._stale_snapshots = (
                self._config.snapshot_at(last_revision),
                self._instances.snapshot_at(self._instances.revision),
            )
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('GET', '/admin/counts')
    def counts(self, exchange):
        """Return call counts, for tests."""
        document = {
            'reads': self._reads.total,
            'refused': self._reads.refused,
            'peak_reads_per_second': self._reads.peak,
            'weight_reads': self._weights.total,
            'revision': self._config.revision,
        }
        exchange.reply(HTTPStatus.OK, document)

    def update_instance(self, record):
        """Write a record to the instance list; a null `state` removes it."""
        is_removed = record.get('state') is None
        self._instances.put(record['id'], None if is_removed else record)

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)

    def _read(self, exchange, store):
        if self._fault.mode == FaultMode.DOWN:
            exchange.abort()
            return
        if not self._reads.try_acquire():
            raise _rate_limited()
        query = read_query(exchange)
        since = int(query.get('since', '0'))
        wait_ms = float(query.get('wait', '0')) * _MS_PER_SECOND
        if self._stale_snapshots is not None:
            index = 0 if store is self._config else 1
            store = _StaleStore(self._stale_snapshots[index])
        poll = _LongPoll(exchange, store, since, self._send)
        poll.start(self._timers, wait_ms)

    def _send(self, exchange, document):
        self._replies.send(exchange, document, self._fault.next_mode())


class _StaleStore:
    """A read-only store that serves an old snapshot."""

    def __init__(self, snapshot):
        self._snapshot = snapshot
        self.revision = snapshot['revision']

    def watch(self, watcher):
        """Ignore the watcher: the snapshot never changes."""

    def changes_since(self, since):
        return dict(self._snapshot, since=0 if since else since)


class _LongPoll:
    """A long poll: replies at the next change or after a timeout."""

    def __init__(self, exchange, store, since, send):
        self._send = send
        self._exchange = exchange
        self._store = store
        self._since = since
        self._has_replied = False

    def start(self, timers, wait_ms):
        if self._store.revision > self._since or not wait_ms:
            self._reply()
            return
        timers.after(wait_ms, self._reply)
        self._store.watch(self._reply)

    def _reply(self):
        if self._has_replied or not self._exchange.is_open:
            return
        self._has_replied = True
        since = min(self._since, self._store.revision)
        self._send(self._exchange, self._store.changes_since(since))


class _DelayedInstanceUpdate:
    """A delayed write to the instance list."""

    def __init__(self, server, record):
        self._server = server
        self._record = record

    def apply(self):
        self._server.update_instance(self._record)


def _rate_limited():
    return RequestRefused(
        HTTPStatus.TOO_MANY_REQUESTS,
        'rate_limited',
        'too many reads a second',
        _MS_PER_SECOND,
    )
