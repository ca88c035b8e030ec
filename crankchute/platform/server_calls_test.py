"""Tests of the notices that servers send in response headers."""

import pytest

from crankchute.core.fakes import ManualClock
from crankchute.platform.server_calls import ServerCalls, parse_notice
from crankchute.ports.http import WholeResponse


def describe(notice):
    """Return is_leaving and pause_ms, or None for an empty notice."""
    if not notice.has_content:
        return None
    return notice.is_leaving, notice.pause_ms


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
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
        # Retry-After applies to the server only with a 503.
        (429, {'retry-after': '3'}, None),
        (301, {'retry-after': '3'}, None),
    ],
)
def test_notice_is_parsed_from_response_head(status, headers, expected):
    assert describe(parse_notice(status, headers)) == expected


@pytest.mark.parametrize(
    ('status', 'headers', 'cold_ms'),
    [
        (200, {}, None),
        (200, {'x-crankchute-cold-ms': '1500'}, 1500),
        (200, {'x-crankchute-cold-ms': '0'}, 0),
        (503, {'x-crankchute-cold-ms': '20.5'}, 20.5),
        # Of two values, the longer time counts.
        (200, {'x-crankchute-cold-ms': '0, 900'}, 900),
        (200, {'x-crankchute-cold-ms': '-1'}, None),
        (200, {'x-crankchute-cold-ms': 'soon'}, None),
        # Another server answers; its cold time is not this server's.
        (421, {'x-crankchute-cold-ms': '0'}, None),
    ],
)
def test_cold_time_is_parsed_from_response_head(status, headers, cold_ms):
    """An invalid time must not end that of a cold server."""
    assert parse_notice(status, headers).cold_ms == cold_ms


class FakeClient:
    """Records the sink of the last call."""

    def __init__(self):
        self.sink = None

    def send(self, _address, _request, sink, _options):
        self.sink = sink


class FakeBackend:
    """A Backend with an address only."""

    def __init__(self):
        self.listed = self
        self.address = ('127.0.0.1', 1)


class FakeListener:
    """Records calls and notices."""

    def __init__(self, events):
        self._events = events

    def record_sent(self, backend):
        self._events.append((backend, 'sent'))

    def take(self, backend, notice, _sent_ms):
        self._events.append((backend, describe(notice)))


def test_notice_is_reported_before_the_response():
    """A retry after a rejection must already know the notice."""
    events = []
    client = FakeClient()
    calls = ServerCalls(client, ManualClock())
    calls.listener = FakeListener(events)
    sink = WholeResponse(
        lambda *_answer: events.append('response'), events.append
    )
    backend = FakeBackend()
    calls.send(backend, b'', sink, None)
    client.sink.on_head(503, {'retry-after': '2'})
    client.sink.on_body(b'')
    client.sink.on_done()
    assert events == [(backend, 'sent'), (backend, (False, 2000)), 'response']
