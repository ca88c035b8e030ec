"""Fetches and parses load reports of engines; implements ReportPort."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.adapters.log import log_change
from crankchute.core.initial_load_poll import ReportPort
from crankchute.core.reported_load import ReportedLoad
from crankchute.platform.answer_attribution import RequestIdAttribution
from crankchute.platform.wire import REPORT_PATH, TARGET_INCARNATION
from crankchute.ports.http import WholeResponse

_CONNECT_TIMEOUT_MS = 200
_MAX_IDLE_MS = 8000


class EngineReports(ReportPort):
    """Fetches reports over HTTP."""

    def __init__(self, calls):
        """Create the adapter.

        Args:
          calls: ServerCalls.
        """
        self._calls = calls

    def request_load(self, backend, on_load):
        """See ReportPort."""

        def on_response(body):
            load = parse_report(body)
            if load is not None:
                on_load(load)

        self._get(backend, REPORT_PATH, on_response)

    def check_health(self, backend, path):
        """See ReportPort."""
        self._get(backend, path, _ignore_response)

    def _get(self, backend, path, on_response):
        def on_answer(status, body):
            if status == HTTPStatus.MISDIRECTED_REQUEST:
                self._calls.listener.record_moved(backend)
            else:
                on_response(body)

        self._calls.send(
            backend,
            build_request(
                'GET',
                backend.listed.address,
                path,
                headers=((TARGET_INCARNATION, backend.listed.listed_id),),
            ),
            WholeResponse(on_answer, _log_failure),
            CallOptions(
                idle_ms=_MAX_IDLE_MS,
                connect_ms=_CONNECT_TIMEOUT_MS,
                attribution=RequestIdAttribution(),
            ),
        )


def parse_report(body):
    """Return the ReportedLoad of a report, or None if the report is malformed.

    Args:
      body: The response body, bytes.
    """
    try:
        return _parse_load(orjson.loads(body))
    except (KeyError, TypeError, ValueError) as exc:
        log_change('report_refused', reason=f'{type(exc).__name__}: {exc}')
        return None


def _parse_load(document):
    requests = _parse_count(document, 'running')
    requests += _parse_count(document, 'waiting')
    born = _parse_count(document, 'born') if 'born' in document else None
    return ReportedLoad(requests, born)


def _parse_count(document, name):
    count = document[name]
    if type(count) is not int or count < 0:  # noqa: WPS516  (no bool)
        raise TypeError(f'{name} is not a non-negative integer')
    return count


def parse_load_header(text):
    """Return the ReportedLoad of a response's load header, or None.

    Args:
      text: The header's value "running,waiting,slots", or None if the response
        has no such header.
    """
    if text is None:
        return None
    running, _comma, rest = text.partition(',')
    waiting = rest.partition(',')[0]
    if not (running.strip().isdecimal() and waiting.strip().isdecimal()):
        return None
    return ReportedLoad(int(running) + int(waiting))


def _ignore_response(_body):
    """Discard a response; ServerCalls has read what its head says."""


def _log_failure(exc):
    log_change('report_missed', reason=str(exc))
