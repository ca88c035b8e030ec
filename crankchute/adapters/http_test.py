"""Tests of the HTTP client, server and platform watch over loopback sockets."""

from http import HTTPStatus

import pytest

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.loop import Loop
from crankchute.adapters.platform_http import PlatformWatch
from crankchute.core.replica import ChangeSet
from crankchute.ports.http import WholeResponse

_LOOPBACK = '127.0.0.1'


class _RecordingSource:
    """Records the changes that a watch offers."""

    def __init__(self):
        self.seen_revision = 0
        self.offered = []

    def offer(self, changes):
        self.offered.append(changes)
        self.seen_revision = changes.revision


class _Harness:
    """A loop with a client and a server with a configurable handler."""

    def __init__(self, answer):
        self.loop = Loop()
        self.server = HttpServer(
            (_LOOPBACK, 0),
            answer,
            self.loop.timers,
        ).register(self.loop)
        self.client = HttpClient().register(self.loop)
        self.address = (_LOOPBACK, self.server.port)

    def get(self, path='/'):
        """Return the status and body of a response, or the error."""
        outcomes = []
        sink = WholeResponse(
            lambda status, body: outcomes.append((status, body)),
            outcomes.append,
        )
        payload = build_request('GET', self.address, path)
        self.client.send(self.address, payload, sink)
        self.loop.run_until(lambda: bool(outcomes))
        return outcomes[0]


def _fail(_exchange):
    raise ZeroDivisionError


def test_exception_in_a_handler_yields_an_error_response():
    """The caller gets an unknown outcome, and no exchange stays open."""
    harness = _Harness(_fail)
    status, body = harness.get()
    assert status == HTTPStatus.INTERNAL_SERVER_ERROR
    assert b'"unknown"' in body
    assert not harness.server.open_exchanges
    assert harness.get()[0] == HTTPStatus.INTERNAL_SERVER_ERROR


def test_refused_connection_reports_that_nothing_was_sent():
    """The error says that no byte was sent."""
    harness = _Harness(_fail)
    harness.address = (_LOOPBACK, 1)
    assert harness.get().sent is False


def test_aborted_response_reports_that_the_request_was_sent():
    """The connection is closed after the request was sent."""
    harness = _Harness(lambda exchange: exchange.abort())
    error = harness.get()
    assert error.sent is True
    assert error.connection_lost


@pytest.mark.parametrize('is_listening', [True, False])
def test_probe_tells_whether_a_process_listens(is_listening):
    """The probe connects without sending a request."""
    harness = _Harness(_fail)
    if not is_listening:
        harness.address = (_LOOPBACK, 1)
    outcomes = []
    harness.client.ask_listening(harness.address, outcomes.append)
    harness.loop.run_until(lambda: bool(outcomes))
    assert outcomes == [is_listening]
    assert not harness.server.open_exchanges


def test_probe_of_an_unresponsive_network_times_out(monkeypatch):
    """The network drops the connection attempt."""
    harness = _Harness(_fail)
    client = HttpClient('other', timers=harness.loop.timers).register(
        harness.loop
    )
    cancelled = []

    def connect_to(_host, _port, _on_done):
        return 'socket'

    def cancel_connect(sock):
        cancelled.append(sock)
        return True

    monkeypatch.setattr(client.hub, 'connect_to', connect_to)
    monkeypatch.setattr(client.hub, 'cancel_connect', cancel_connect)
    monkeypatch.setattr('crankchute.adapters.http_client._PROBE_TIMEOUT_MS', 5)
    outcomes = []
    client.ask_listening(harness.address, outcomes.append)
    harness.loop.run_until(lambda: bool(outcomes))
    assert outcomes == [None]
    assert cancelled == ['socket']


@pytest.mark.parametrize(
    'body',
    [
        b'not JSON',
        b'[]',
        b'{"since": 0}',
        b'{"since": 0, "revision": 3, "entries": {"models": 5}}',
    ],
)
def test_watch_retries_after_an_invalid_response(body):
    """After an invalid response, the watch reads again."""
    answers = [body, b'{"since": 0, "revision": 3, "entries": {}}']
    requested = []

    def answer(exchange):
        requested.append(exchange.path)
        if len(requested) <= len(answers):
            exchange.reply(HTTPStatus.OK, answers[len(requested) - 1])

    harness = _Harness(answer)
    source = _RecordingSource()
    watch = PlatformWatch(
        harness.client,
        harness.loop.timers,
        harness.address,
        'config',
    )
    watch.switch_on(source)
    harness.loop.run_until(lambda: bool(source.offered))
    assert isinstance(source.offered[0], ChangeSet)
    assert source.seen_revision == 3
    assert watch.failing_since_ms is None


def test_idle_connections_to_a_stopped_server_are_closed():
    """The next call opens a new connection."""
    harness = _Harness(_fail)
    first = harness.get()
    assert harness.get() == first
    assert harness.client.opened == 1
    assert harness.client.rests_at(harness.address)
    harness.client.close_idle(harness.address)
    assert not harness.client.rests_at(harness.address)
    assert harness.get() == first
    assert harness.client.opened == 2
