"""Tests of the stand-ins' own faults and rates."""

from http import HTTPStatus

import orjson
import pytest

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.loop import Loop
from crankchute.core.fakes import ManualClock
from crankchute.ports.http import WholeResponse
from crankchute.standins.engine_loading import ModelLoader
from crankchute.standins.platform_server import PlatformServer, RateCount
from crankchute.standins.service_server import ServiceServer

_LOOPBACK = '127.0.0.1'


def _ask(loop, client, port, method, path, document=None):
    """Return the status and document of an answer, or the error."""
    ends = []
    address = (_LOOPBACK, port)
    sink = WholeResponse(
        lambda status, body: ends.append((status, orjson.loads(body))),
        ends.append,
    )
    body = orjson.dumps(document or {})
    client.send(address, build_request(method, address, path, body), sink)
    loop.run_until(lambda: bool(ends))
    return ends[0]


def _start(factory):
    loop = Loop()
    server = factory(loop, (_LOOPBACK, 0))
    client = HttpClient().register(loop)
    port = server.http.port

    def ask(method, path, document=None):
        return _ask(loop, client, port, method, path, document)

    return ask


@pytest.mark.parametrize('factory', [ServiceServer, PlatformServer])
@pytest.mark.parametrize('mode', ['drop', 'truncate'])
def test_broken_answers(factory, mode):
    """A dropped or truncated answer is an error, once."""
    ask = _start(factory)
    path = '/bookings' if factory is ServiceServer else '/v1/config'
    ask('POST', '/admin/fault', {'mode': mode, 'count': 1})
    assert ask('GET', path).sent is True
    assert ask('GET', path)[0] == HTTPStatus.OK


def test_crossed_answer_is_the_former_one():
    """A service that crosses gives a caller another's answer."""
    ask = _start(ServiceServer)
    ask('POST', '/bookings', {'seat': 1})
    ask('POST', '/admin/fault', {'mode': 'cross', 'count': 1})
    assert ask('POST', '/bookings', {'seat': 2})[1]['echo'] == {'seat': 1}


def test_stale_platform_serves_an_old_revision():
    """A stale platform knows nothing after the revision it is stale at."""
    ask = _start(PlatformServer)
    for number in range(3):
        ask('PUT', '/admin/config/policy', {'number': number})
    ask('POST', '/admin/fault', {'mode': 'stale', 'revision': 2})
    assert ask('GET', '/v1/config')[1]['revision'] == 2
    ask('POST', '/admin/fault', {'mode': 'none'})
    assert ask('GET', '/v1/config')[1]['revision'] == 3


def test_rate_is_counted_by_the_second():
    """Calls over the rate are refused until the next second."""
    clock = ManualClock()
    count = RateCount(clock, 2)
    assert [count.take() for _ in range(3)] == [True, True, False]
    clock.time_ms = 1000
    assert count.take()
    assert count.refused == 1


@pytest.mark.parametrize(('checks', 'held'), [(True, 'v2'), (False, 'v1')])
def test_late_order(checks, held):
    """Only an engine that checks fences refuses a late order."""
    loader = ModelLoader(None, None, {'checks_fences': checks})
    assert loader.take({'fence': [2, 1, 1], 'models': {'small': 'v2'}})
    late = {'fence': [1, 9, 9], 'models': {'small': 'v1'}}
    assert loader.take(late) is not checks
    assert loader.models == {'small': held}
