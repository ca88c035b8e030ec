"""Tests of the HTTP adapters on one loop, over loopback sockets."""

from http import HTTPStatus

import pytest

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.loop import Loop
from crankchute.adapters.platform_http import PlatformWatch
from crankchute.core.replica import ChangeSet
from crankchute.ports.http import WholeResponse

_LOOPBACK = '127.0.0.1'


class _Source:
    """Takes what a watch offers."""

    def __init__(self):
        self.seen_revision = 0
        self.offered = []

    def offer(self, changes):
        self.offered.append(changes)
        self.seen_revision = changes.revision


class _Bench:
    """A loop with a server, whose answers a test decides, and a client."""

    def __init__(self, answer):
        self.loop = Loop()
        self.server = HttpServer(
            (_LOOPBACK, 0),
            answer,
            self.loop.timers,
        ).register(self.loop)
        self.client = HttpClient().register(self.loop)
        self.address = (_LOOPBACK, self.server.port)

    def ask(self, path='/'):
        """Return the status and body of an answer, or the error."""
        ends = []
        sink = WholeResponse(
            lambda status, body: ends.append((status, body)),
            ends.append,
        )
        payload = build_request('GET', self.address, path)
        self.client.send(self.address, payload, sink)
        self.loop.run_until(lambda: bool(ends))
        return ends[0]


def _fail(_exchange):
    raise ZeroDivisionError


def test_fault_of_a_handler_ends_the_request():
    """The caller gets an unknown outcome, and nothing stays open."""
    bench = _Bench(_fail)
    status, body = bench.ask()
    assert status == HTTPStatus.INTERNAL_SERVER_ERROR
    assert b'"unknown"' in body
    assert not bench.server.open_exchanges
    assert bench.ask()[0] == HTTPStatus.INTERNAL_SERVER_ERROR


def test_refused_connection_proves_that_nothing_was_sent():
    """The error says that no byte left."""
    bench = _Bench(_fail)
    bench.address = (_LOOPBACK, 1)
    assert bench.ask().sent is False


def test_lost_answer_does_not():
    """A connection that is closed after the request may have arrived."""
    bench = _Bench(lambda exchange: exchange.abort())
    lost = bench.ask()
    assert lost.sent is True
    assert lost.connection_lost


@pytest.mark.parametrize('is_listening', [True, False])
def test_who_listens_at_an_address(is_listening):
    """A process that has ended listens no more; nothing is sent to find out."""
    bench = _Bench(_fail)
    if not is_listening:
        bench.address = (_LOOPBACK, 1)
    known = []
    bench.client.ask_listening(bench.address, known.append)
    bench.loop.run_until(lambda: bool(known))
    assert known == [is_listening]
    assert not bench.server.open_exchanges


def test_nobody_says_whether_anybody_listens(monkeypatch):
    """The network answers nothing at all."""
    bench = _Bench(_fail)
    client = HttpClient('other', timers=bench.loop.timers).register(bench.loop)
    given_up = []

    def connect_to(_host, _port, _on_done):
        return 'socket'

    def give_up(sock):
        given_up.append(sock)
        return True

    monkeypatch.setattr(client.hub, 'connect_to', connect_to)
    monkeypatch.setattr(client.hub, 'give_up_connect', give_up)
    monkeypatch.setattr('crankchute.adapters.http_client._LISTENING_MS', 5)
    known = []
    client.ask_listening(bench.address, known.append)
    bench.loop.run_until(lambda: bool(known))
    assert known == [None]
    assert given_up == ['socket']


@pytest.mark.parametrize(
    'body',
    [
        b'not JSON',
        b'[]',
        b'{"since": 0}',
        b'{"since": 0, "revision": 3, "entries": {"models": 5}}',
    ],
)
def test_watch_survives_a_bad_answer(body):
    """What the platform says wrongly is asked again, not lost."""
    answers = [body, b'{"since": 0, "revision": 3, "entries": {}}']
    asked = []

    def answer(exchange):
        asked.append(exchange.path)
        if len(asked) <= len(answers):
            exchange.reply(HTTPStatus.OK, answers[len(asked) - 1])

    bench = _Bench(answer)
    source = _Source()
    watch = PlatformWatch(
        bench.client,
        bench.loop.timers,
        bench.address,
        'config',
    )
    watch.switch_on(source)
    bench.loop.run_until(lambda: bool(source.offered))
    assert isinstance(source.offered[0], ChangeSet)
    assert source.seen_revision == 3
    assert watch.failing_since_ms is None


def test_resting_connections_to_a_server_that_is_no_more_are_closed():
    """The next call opens one of its own."""
    bench = _Bench(_fail)
    first = bench.ask()
    assert bench.ask() == first
    assert bench.client.opened == 1
    assert bench.client.rests_at(bench.address)
    bench.client.close_idle(bench.address)
    assert not bench.client.rests_at(bench.address)
    assert bench.ask() == first
    assert bench.client.opened == 2
