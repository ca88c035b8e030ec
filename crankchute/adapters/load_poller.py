"""Polling of engines for their load and cache events."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.core.fleet import KIND_ENGINE, LoadReport
from crankchute.core.hashing import rank_by_hash
from crankchute.ports.http import WholeResponse

_TICK_MS = 250
_MAX_POLLS_PER_SECOND = 12
_MS_PER_SECOND = 1000
_MAX_SUBSET = 24
_TIMEOUT_MS = 1500


class LoadPoller:
    """Polls a limited subset of the engines, local ones first.

    Attributes:
      on_report: A function without arguments, called after each report.
      polls: The number of load requests sent, an int.
    """

    def __init__(self, client, timers, fleet, local_member):
        """Start polling.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          fleet: The Fleet.
          local_member: The Member of this process.
        """
        self._client = client
        self._timers = timers
        self._fleet = fleet
        self._local_member = local_member
        self._pending = {}
        self._due_ms = {}
        self._subset = []
        self._version = None
        self.on_report = None
        self.polls = 0
        timers.every(_TICK_MS, self.poll)

    def poll(self):
        """Send load requests to the engines that are due.

        Each engine is polled four times a second, or less often if the subset
        would exceed the limit on load requests per second.
        """
        now_ms = self._timers.clock.now_ms()
        subset = self.choose_subset()
        interval_ms = len(subset) * _MS_PER_SECOND / _MAX_POLLS_PER_SECOND
        for backend in subset:
            if now_ms >= self._due_ms.get(backend.identity, 0):
                due_ms = now_ms + interval_ms - _TICK_MS / 2
                self._due_ms[backend.identity] = due_ms
                self._poll_backend(backend, now_ms)

    def choose_subset(self):
        """Return the engines that this process may use, a list of Backend.

        Engines of the local data centre come first, then others, up to the
        limit.  Each process ranks them by a hash that includes its own id, which
        spreads the processes evenly over the engines.
        """
        if self._version != self._fleet.version:
            self._version = self._fleet.version
            self._subset = self._rank_engines()
        return self._subset

    def _poll_backend(self, backend, now_ms):
        previous = self._pending.get(backend.identity)
        if previous is not None:
            if now_ms - previous.sent_ms < _TIMEOUT_MS:
                return
            previous.call.cancel()
        load_request = _LoadRequest(now_ms)
        self._pending[backend.identity] = load_request
        self.polls += 1
        load_request.call = self._send_request(backend, load_request)

    def _rank_engines(self):
        engines = {
            one.identity: one
            for one in self._fleet
            if one.listed.kind == KIND_ENGINE
        }
        ranked = rank_by_hash(self._local_member.identity, engines)
        ranked.sort(key=lambda identity: self._is_remote(engines[identity]))
        return [engines[identity] for identity in ranked[:_MAX_SUBSET]]

    def _is_remote(self, backend):
        return backend.listed.data_centre != self._local_member.data_centre

    def _send_request(self, backend, load_request):
        since = backend.prefix.sequence or 0
        address = backend.listed.address
        payload = build_request('GET', address, f'/v1/load?since={since}')

        def on_response(status, body):
            self._finish(backend, load_request)
            if status == HTTPStatus.OK:
                self._record_report(backend, orjson.loads(body))

        def on_error(_exc):
            self._finish(backend, load_request)

        return self._client.send(
            address, payload, WholeResponse(on_response, on_error)
        )

    def _finish(self, backend, load_request):
        if self._pending.get(backend.identity) is load_request:
            self._pending.pop(backend.identity)

    def _record_report(self, backend, report):
        now_ms = self._timers.clock.now_ms()
        self._fleet.record_load(backend, LoadReport(now_ms, report))
        for sequence, stored, evicted in report['events']:
            backend.prefix.record_event(sequence, stored, evicted, now_ms)
        backend.prefix.record_up_to_date(now_ms)
        if self.on_report is not None:
            self.on_report()


class _LoadRequest:
    """A load request that awaits its response."""

    __slots__ = ('call', 'sent_ms')

    def __init__(self, sent_ms):
        self.sent_ms = sent_ms
        self.call = None
