"""Tests of what answers say of the servers that send them."""

import pytest

from crankchute.core.fakes import ManualClock
from crankchute.platform.server_calls import ServerCalls, read_notice
from crankchute.ports.http import WholeResponse


def describe(notice):
    """Return what a notice says, a pair, or None if it says nothing."""
    if not notice.has_content:
        return None
    return notice.is_leaving, notice.pause_ms


@pytest.mark.parametrize(
    ('status', 'headers', 'said'),
    [
        (200, {}, None),
        (200, {'server-leaving': '1'}, (True, 0)),
        (200, {'server-leaving': ' 1 '}, (True, 0)),
        (404, {'server-leaving': '1'}, (True, 0)),
        (500, {'server-leaving': '1'}, (True, 0)),
        (200, {'server-leaving': '0'}, None),
        (200, {'server-leaving': ''}, None),
        (503, {}, None),
        (503, {'retry-after': '3'}, (False, 3000)),
        (503, {'retry-after': '0.5'}, (False, 500)),
        (503, {'retry-after': '0'}, None),
        (503, {'retry-after': 'soon'}, None),
        (503, {'retry-after': '3', 'server-leaving': '1'}, (True, 3000)),
        # Only with a 503 does it mean the server itself.
        (429, {'retry-after': '3'}, None),
        (301, {'retry-after': '3'}, None),
    ],
)
def test_notice_is_read_from_a_head(status, headers, said):
    assert describe(read_notice(status, headers)) == said


class FakeClient:
    """Keeps the sink of the last call."""

    def __init__(self):
        self.sink = None

    def send(self, _address, _payload, sink, _options):
        self.sink = sink


class FakeBackend:
    """Stands for a Backend; only its address is read."""

    def __init__(self):
        self.listed = self
        self.address = ('127.0.0.1', 1)


class FakeListener:
    """Keeps what it is told."""

    def __init__(self, told):
        self._told = told

    def record_sent(self, backend):
        self._told.append((backend, 'sent'))

    def take(self, backend, notice, _sent_ms):
        self._told.append((backend, describe(notice)))


def test_notice_is_told_before_the_answer():
    """Whoever chooses another server after a rejection must know it."""
    told = []
    client = FakeClient()
    calls = ServerCalls(client, ManualClock())
    calls.listener = FakeListener(told)
    sink = WholeResponse(lambda *_answer: told.append('whole'), told.append)
    backend = FakeBackend()
    calls.send(backend, b'', sink, None)
    client.sink.on_head(503, {'retry-after': '2'})
    client.sink.on_body(b'')
    client.sink.on_done()
    assert told == [(backend, 'sent'), (backend, (False, 2000)), 'whole']
