"""Reports of the platform's engines: the adapter of ReportPort."""

import orjson

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.adapters.log import log_change
from crankchute.core.initial_load_poll import ReportPort
from crankchute.core.reported_load import ReportedLoad
from crankchute.platform.wire import REPORT_PATH
from crankchute.ports.http import WholeResponse

_CONNECT_MS = 200
_IDLE_MS = 8000


class EngineReports(ReportPort):
    """Asks for reports over HTTP."""

    def __init__(self, calls):
        """Create the adapter.

        Args:
          calls: ServerCalls.
        """
        self._calls = calls

    def request_load(self, backend, on_load):
        """See ReportPort."""

        def take(_status, body):
            load = read_report(body)
            if load is not None:
                on_load(load)

        self._get(backend, REPORT_PATH, take)

    def check_health(self, backend, path):
        """See ReportPort."""
        self._get(backend, path, _ignore)

    def _get(self, backend, path, take):
        self._calls.send(
            backend,
            build_request('GET', backend.listed.address, path),
            WholeResponse(take, _log_failure),
            CallOptions(idle_ms=_IDLE_MS, connect_ms=_CONNECT_MS),
        )


def read_report(body):
    """Return the ReportedLoad of a report, or None if it is none.

    Args:
      body: The bytes of the answer.
    """
    try:
        return _read_load(orjson.loads(body))
    except (KeyError, TypeError, ValueError) as exc:
        log_change('report_refused', reason=f'{type(exc).__name__}: {exc}')
        return None


def _read_load(document):
    requests = _read_count(document, 'running')
    requests += _read_count(document, 'waiting')
    born = _read_count(document, 'born') if 'born' in document else None
    return ReportedLoad(requests, born)


def _read_count(document, name):
    found = document[name]
    if type(found) is not int or found < 0:  # noqa: WPS516  (no bool)
        raise TypeError(f'{name} is no whole number')
    return found


def read_told_load(text):
    """Return the ReportedLoad that an answer's header tells, or None.

    Args:
      text: Requests running, requests waiting and slots, joined by commas, or
        None where the server does not tell.
    """
    if text is None:
        return None
    running, _comma, rest = text.partition(',')
    waiting = rest.partition(',')[0]
    if not (running.strip().isdecimal() and waiting.strip().isdecimal()):
        return None
    return ReportedLoad(int(running) + int(waiting))


def _ignore(_status, _body):
    """Take an answer of which only the head counts, which others read."""


def _log_failure(exc):
    log_change('report_missed', reason=str(exc))
