"""Watches of the platform's stores, by HTTP long polling."""

import base64
from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.core.replica import ChangeSet, Entry
from crankchute.ports.http import WholeResponse

_LONG_POLL_S = 20
_RESPONSE_SLACK_MS = 3000
_INITIAL_RETRY_MS = 250
_MAX_RETRY_MS = 5000
_MS_PER_SECOND = 1000


class PlatformWatch:
    """Watches one store of the platform while switched on.

    Attributes:
      failing_since_ms: The time of the first of the current failures, or
        None.
      reads: The number of reads, an int.
    """

    def __init__(self, client, timers, address, store):
        """Create an inactive watch.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          address: The platform's pair of IP number and port.
          store: "config" or "instances".
        """
        self._client = client
        self._timers = timers
        self._address = address
        self._path = f'/v1/{store}'
        self._call = None
        self._retry_timer = None
        self._timeout = None
        self._retry_delay_ms = _INITIAL_RETRY_MS
        self._source = None
        self.failing_since_ms = None
        self.reads = 0

    @property
    def is_on(self):
        """Whether the watch is switched on."""
        return self._source is not None

    def switch_on(self, source):
        """Start watching.

        Args:
          source: An object with `seen_revision` and `offer(ChangeSet)`.
        """
        if self._source is None:
            self._source = source
            self._read()

    def switch_off(self):
        """Stop watching."""
        self._source = None
        for pending in (self._call, self._retry_timer, self._timeout):
            if pending is not None:
                pending.cancel()

    def _read(self):
        if self._source is None:
            return
        since = self._source.seen_revision
        wait_s = _LONG_POLL_S if since else 0
        path = f'{self._path}?since={since}&wait={wait_s}'
        payload = build_request('GET', self._address, path)
        self.reads += 1
        timeout_ms = wait_s * _MS_PER_SECOND + _RESPONSE_SLACK_MS
        self._timeout = self._timers.after(timeout_ms, self._on_timeout)
        sink = WholeResponse(self._on_response, self._on_error)
        self._call = self._client.send(self._address, payload, sink)

    def _on_timeout(self):
        self._call.cancel()
        self._retry()

    def _on_error(self, _exc):
        self._timeout.cancel()
        self._retry()

    def _on_response(self, status, body):
        self._timeout.cancel()
        if self._source is None:
            return
        changes = _parse_response(status, body)
        if changes is None:
            self._retry()
            return
        self.failing_since_ms = None
        self._retry_delay_ms = _INITIAL_RETRY_MS
        was_empty = not self._source.seen_revision
        self._source.offer(changes)
        if was_empty and not self._source.seen_revision:
            self._retry_timer = self._timers.after(
                self._retry_delay_ms, self._read
            )
            return
        self._read()

    def _retry(self):
        if self.failing_since_ms is None:
            self.failing_since_ms = self._timers.clock.now_ms()
        self._retry_timer = self._timers.after(self._retry_delay_ms, self._read)
        self._retry_delay_ms = min(self._retry_delay_ms * 2, _MAX_RETRY_MS)


def read_changes(document):
    """Return the ChangeSet in a response of the platform.

    Values of the configuration are base64 text and records of the instance
    list are maps; the ChangeSet holds both as bytes.

    Args:
      document: A map with `since`, `revision` and `entries`.
    """
    entries = {
        key: Entry(revision, _decode_payload(payload))
        for key, (revision, payload) in dict(document['entries']).items()
    }
    return ChangeSet(document['since'], document['revision'], entries)


def _parse_response(status, body):
    """Return the changes in a response, or None if it is invalid."""
    if status != HTTPStatus.OK:
        return None
    try:
        return read_changes(orjson.loads(body))
    except (KeyError, TypeError, ValueError):
        return None


def _decode_payload(payload):
    if payload is None:
        return None
    if isinstance(payload, str):
        return base64.b64decode(payload)
    return orjson.dumps(payload)
