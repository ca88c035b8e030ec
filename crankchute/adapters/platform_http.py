"""Reading and watching the platform over HTTP."""

import base64
from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.core.replica import ChangeSet, Entry
from crankchute.ports.http import WholeResponse

_WAIT_S = 20
_SLACK_MS = 3000
_FIRST_RETRY_MS = 250
_LONGEST_RETRY_MS = 5000
_MS_PER_SECOND = 1000


class PlatformWatch:
    """Watches one store of the platform while it is told to.

    Attributes:
      failing_since_ms: Since when reads have failed, or None.
      reads: How many reads were made, an int.
    """

    def __init__(self, client, timers, address, store):
        """Create a watch that is switched off.

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
        self._pause = None
        self._guard = None
        self._retry_ms = _FIRST_RETRY_MS
        self._source = None
        self.failing_since_ms = None
        self.reads = 0

    @property
    def is_on(self):
        """Whether the watch is switched on."""
        return self._source is not None

    def switch_on(self, source):
        """Watch for changes.

        Args:
          source: An object with `seen_revision` and `offer(ChangeSet)`.
        """
        if self._source is None:
            self._source = source
            self._read()

    def switch_off(self):
        """Stop watching."""
        self._source = None
        for waiting in (self._call, self._pause, self._guard):
            if waiting is not None:
                waiting.cancel()

    def _read(self):
        if self._source is None:
            return
        since = self._source.seen_revision
        wait_s = _WAIT_S if since else 0
        path = f'{self._path}?since={since}&wait={wait_s}'
        payload = build_request('GET', self._address, path)
        self.reads += 1
        allowed_ms = wait_s * _MS_PER_SECOND + _SLACK_MS
        self._guard = self._timers.after(allowed_ms, self._on_silence)
        sink = WholeResponse(self._on_response, self._on_error)
        self._call = self._client.send(self._address, payload, sink)

    def _on_silence(self):
        self._call.cancel()
        self._retry()

    def _on_error(self, _exc):
        self._guard.cancel()
        self._retry()

    def _on_response(self, status, body):
        self._guard.cancel()
        if self._source is None:
            return
        changes = _try_changes(status, body)
        if changes is None:
            self._retry()
            return
        self.failing_since_ms = None
        self._retry_ms = _FIRST_RETRY_MS
        is_behind = not self._source.seen_revision
        self._source.offer(changes)
        if is_behind and not self._source.seen_revision:
            self._pause = self._timers.after(self._retry_ms, self._read)
            return
        self._read()

    def _retry(self):
        if self.failing_since_ms is None:
            self.failing_since_ms = self._timers.clock.now_ms()
        self._pause = self._timers.after(self._retry_ms, self._read)
        self._retry_ms = min(self._retry_ms * 2, _LONGEST_RETRY_MS)


def read_changes(document):
    """Return the ChangeSet that a platform's answer holds.

    Values of the configuration come as base64 text, records of the instance
    list as maps; both are kept as bytes.

    Args:
      document: A map with `since`, `revision` and `entries`.
    """
    entries = {
        key: Entry(revision, _read_payload(payload))
        for key, (revision, payload) in dict(document['entries']).items()
    }
    return ChangeSet(document['since'], document['revision'], entries)


def _try_changes(status, body):
    """Return the changes of an answer, or None if it is not one."""
    if status != HTTPStatus.OK:
        return None
    try:
        return read_changes(orjson.loads(body))
    except (KeyError, TypeError, ValueError):
        return None


def _read_payload(payload):
    if payload is None:
        return None
    if isinstance(payload, str):
        return base64.b64decode(payload)
    return orjson.dumps(payload)
