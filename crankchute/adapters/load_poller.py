"""Asks the engines of a process's subset for their load and cache events."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.core.fleet import KIND_ENGINE, LoadReport
from crankchute.core.hashing import rank_by_hash
from crankchute.ports.http import WholeResponse

_TICK_MS = 250
_POLLS_PER_SECOND = 12
_MS_PER_SECOND = 1000
_SUBSET = 24
_GIVE_UP_MS = 1500


class LoadPoller:
    """Polls a bounded subset of the engines, those of the own place first.

    Attributes:
      on_report: A function without arguments, called after each report.
      polls: How many questions were asked, an int.
    """

    def __init__(self, client, timers, fleet, own):
        """Start to poll.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          fleet: The Fleet.
          own: The Member that this process is.
        """
        self._client = client
        self._timers = timers
        self._fleet = fleet
        self._own = own
        self._pending = {}
        self._due_ms = {}
        self._subset = []
        self._version = None
        self.on_report = None
        self.polls = 0
        timers.every(_TICK_MS, self.poll)

    def poll(self):
        """Ask the engines of the subset whose turn it is.

        Each engine is asked four times a second, or less often if the whole
        subset would go over the rate that control may cost.
        """
        now_ms = self._timers.clock.now_ms()
        subset = self.choose_subset()
        gap_ms = len(subset) * _MS_PER_SECOND / _POLLS_PER_SECOND
        for backend in subset:
            if now_ms >= self._due_ms.get(backend.identity, 0):
                due_ms = now_ms + gap_ms - _TICK_MS / 2
                self._due_ms[backend.identity] = due_ms
                self._ask_again(backend, now_ms)

    def choose_subset(self):
        """Return the engines that this process may use, a list of Backend.

        All engines of the own data centre up to the bound, then others; each
        process ranks by its own id, so engines are spread evenly.
        """
        if self._version != self._fleet.version:
            self._version = self._fleet.version
            self._subset = self._rank_engines()
        return self._subset

    def _ask_again(self, backend, now_ms):
        asked = self._pending.get(backend.identity)
        if asked is not None:
            if now_ms - asked.at_ms < _GIVE_UP_MS:
                return
            asked.call.cancel()
        question = _Question(now_ms)
        self._pending[backend.identity] = question
        self.polls += 1
        question.call = self._ask(backend, question)

    def _rank_engines(self):
        engines = {
            one.identity: one
            for one in self._fleet
            if one.listed.kind == KIND_ENGINE
        }
        ranked = rank_by_hash(self._own.identity, engines)
        ranked.sort(key=lambda identity: self._is_far(engines[identity]))
        return [engines[identity] for identity in ranked[:_SUBSET]]

    def _is_far(self, backend):
        return backend.listed.data_centre != self._own.data_centre

    def _ask(self, backend, question):
        since = backend.prefix.sequence or 0
        address = backend.listed.address
        payload = build_request('GET', address, f'/v1/load?since={since}')

        def take(status, body):
            self._finish(backend, question)
            if status == HTTPStatus.OK:
                self._note(backend, orjson.loads(body))

        def fail(_exc):
            self._finish(backend, question)

        return self._client.send(address, payload, WholeResponse(take, fail))

    def _finish(self, backend, question):
        if self._pending.get(backend.identity) is question:
            self._pending.pop(backend.identity)

    def _note(self, backend, document):
        now_ms = self._timers.clock.now_ms()
        self._fleet.record_load(backend, LoadReport(now_ms, document))
        for sequence, stored, evicted in document['events']:
            backend.prefix.record_event(sequence, stored, evicted, now_ms)
        backend.prefix.record_up_to_date(now_ms)
        if self.on_report is not None:
            self.on_report()


class _Question:
    """A load request on its way."""

    __slots__ = ('at_ms', 'call')

    def __init__(self, at_ms):
        self.at_ms = at_ms
        self.call = None
