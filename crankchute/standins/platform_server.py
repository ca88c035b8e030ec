"""The platform stand-in: configuration, instance list and weight store.

Configuration can only be read and watched; operators write through paths that
the system never uses.  Every call counts against a rate, a waiting watch as
one.
"""

import base64
from http import HTTPStatus

from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.routes import Routes, read_json, read_query
from crankchute.errors import RequestRefused
from crankchute.standins.faults import Fault, FaultMode, FaultyReplies

_READS_PER_SECOND = 2000
_LARGEST_VALUE = 1_048_576
_LIST_LAG_MS = 300
_WINDOW_MS = 1000
_MS_PER_SECOND = 1000
routes = Routes()


class Store:
    """Values with the revision that last changed each.

    Attributes:
      revision: The newest revision.
    """

    def __init__(self):
        """Create an empty store at revision 0."""
        self._entries = {}
        self._history = []
        self._watchers = []
        self.revision = 0

    def put(self, key, text):
        """Write a value, or delete it with None, and wake the watchers."""
        self.revision += 1
        self._entries[key] = (self.revision, text)
        self._history.append((key, self.revision, text))
        watchers = self._watchers
        self._watchers = []
        for watcher in watchers:
            watcher()

    def watch(self, watcher):
        """Call a function at the next change."""
        self._watchers.append(watcher)

    def changes(self, since):
        """Return the changes after a revision, as a document."""
        entries = {
            key: [revision, text]
            for key, (revision, text) in self._entries.items()
            if revision > since
        }
        return {'since': since, 'revision': self.revision, 'entries': entries}

    def as_of(self, newest):
        """Return everything as it was at a revision, as a document.

        Args:
          newest: The revision; one above the newest means the newest.
        """
        newest = min(newest, self.revision)
        entries = {
            key: [revision, text]
            for key, revision, text in self._history
            if revision <= newest
        }
        return {'since': 0, 'revision': newest, 'entries': entries}


class RateCount:
    """Counts calls against a rate per second."""

    def __init__(self, clock, limit):
        """Create the count.

        Args:
          clock: A Clock.
          limit: Calls a second.
        """
        self._clock = clock
        self._limit = limit
        self._start_ms = 0
        self._in_window = 0
        self.total = 0
        self.refused = 0
        self.peak = 0

    def take(self):
        """Count a call; return False if it is over the rate."""
        now_ms = self._clock.now_ms()
        if now_ms - self._start_ms >= _WINDOW_MS:
            self._start_ms = now_ms
            self._in_window = 0
        self._in_window += 1
        self.total += 1
        self.peak = max(self.peak, self._in_window)
        if self._in_window > self._limit:
            self.refused += 1
            return False
        return True


class PlatformServer:
    """The platform stand-in on the network."""

    def __init__(self, loop, bind, weights_per_second=4):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP number and port.
          weights_per_second: The weight store's rate.
        """
        self._timers = loop.timers
        self._fault = Fault()
        self._config = Store()
        self._instances = Store()
        self._replies = FaultyReplies(loop.timers, self._fault)
        self._frozen = None
        clock = loop.clock
        self._reads = RateCount(clock, _READS_PER_SECOND)
        self._weights = RateCount(clock, weights_per_second)
        self.http = HttpServer(
            bind,
            self._on_request,
            loop.timers,
            channel=f'platform-{bind[1]}',
        ).register(loop)

    @routes.add('GET', '/v1/config')
    def read_config(self, exchange):
        """Answer changes after a revision, or wait for some."""
        self._read(exchange, self._config)

    @routes.add('GET', '/v1/instances')
    def read_instances(self, exchange):
        """Answer changes of the instance list, or wait for some."""
        self._read(exchange, self._instances)

    @routes.add('GET', '/weights/')
    def read_weights(self, exchange):
        """Answer the weights of a model, within the store's rate."""
        if not self._weights.take():
            raise _busy()
        exchange.reply(HTTPStatus.OK, {'weights': exchange.path})

    @routes.add('PUT', '/admin/config/')
    def write_config(self, exchange):
        """Publish a value, as an operator does."""
        key = exchange.path.removeprefix('/admin/config/')
        if len(exchange.body) > _LARGEST_VALUE:
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
        """Delete a value, as an operator does."""
        self._config.put(exchange.path.removeprefix('/admin/config/'), None)
        exchange.reply(HTTPStatus.OK, {'revision': self._config.revision})

    @routes.add('PUT', '/admin/instances')
    def write_instances(self, exchange):
        """List, change or remove instances, seen after a lag."""
        for record in read_json(exchange)['instances']:
            self._timers.after(_LIST_LAG_MS, _Listing(self, record).apply)
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/admin/fault')
    def arrange_fault(self, exchange):
        """Be down, or stale as of a revision, or neither."""
        document = read_json(exchange)
        self._fault.arrange(document)
        self._frozen = None
        if self._fault.mode == FaultMode.STALE:
            newest = document.get('revision', self._config.revision)
            self._frozen = (
                self._config.as_of(newest),
                self._instances.as_of(self._instances.revision),
            )
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('GET', '/admin/counts')
    def counts(self, exchange):
        """Tell how many calls there were."""
        document = {
            'reads': self._reads.total,
            'refused': self._reads.refused,
            'peak_reads_per_second': self._reads.peak,
            'weight_reads': self._weights.total,
            'revision': self._config.revision,
        }
        exchange.reply(HTTPStatus.OK, document)

    def list_instance(self, record):
        """Put a record into the instance list; None in `state` removes it."""
        gone = record.get('state') is None
        self._instances.put(record['id'], None if gone else record)

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)

    def _read(self, exchange, store):
        if self._fault.mode == FaultMode.DOWN:
            exchange.abort()
            return
        if not self._reads.take():
            raise _busy()
        query = read_query(exchange)
        since = int(query.get('since', '0'))
        wait_ms = float(query.get('wait', '0')) * _MS_PER_SECOND
        if self._frozen is not None:
            index = 0 if store is self._config else 1
            store = _FrozenStore(self._frozen[index])
        watch = _Watch(exchange, store, since, self._send)
        watch.begin(self._timers, wait_ms)

    def _send(self, exchange, document):
        self._replies.send(exchange, document, self._fault.take())


class _FrozenStore:
    """A store whose newest state is an old one."""

    def __init__(self, snapshot):
        self._snapshot = snapshot
        self.revision = snapshot['revision']

    def watch(self, watcher):
        """Take a watcher that is never woken."""

    def changes(self, since):
        return dict(self._snapshot, since=0 if since else since)


class _Watch:
    """A read that waits for a change, up to a time."""

    def __init__(self, exchange, store, since, send):
        self._send = send
        self._exchange = exchange
        self._store = store
        self._since = since
        self._done = False

    def begin(self, timers, wait_ms):
        if self._store.revision > self._since or not wait_ms:
            self._answer()
            return
        timers.after(wait_ms, self._answer)
        self._store.watch(self._answer)

    def _answer(self):
        if self._done or not self._exchange.is_open:
            return
        self._done = True
        since = min(self._since, self._store.revision)
        self._send(self._exchange, self._store.changes(since))


class _Listing:
    """A record on its way into the instance list."""

    def __init__(self, server, record):
        self._server = server
        self._record = record

    def apply(self):
        self._server.list_instance(self._record)


def _busy():
    return RequestRefused(
        HTTPStatus.TOO_MANY_REQUESTS,
        'rate_limited',
        'too many reads a second',
        _MS_PER_SECOND,
    )
