"""Tests of the fault injection and rate limits of the stand-ins."""

from http import HTTPStatus

import orjson
import pytest

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.loop import Loop
from crankchute.core.fakes import ManualClock
from crankchute.ports.http import WholeResponse
from crankchute.standins.engine_loading import ModelLoader
from crankchute.standins.platform_server import PlatformServer, RateLimiter
from crankchute.standins.service_server import ServiceServer

_LOOPBACK = '127.0.0.1'


def _request(loop, client, port, method, path, document=None):
    """Return the status and document of a response, or the error."""
    responses = []
    address = (_LOOPBACK, port)
    response = WholeResponse(
        lambda status, body: responses.append((status, orjson.loads(body))),
        responses.append,
    )
    body = orjson.dumps(document or {})
    client.send(address, build_request(method, address, path, body), response)
    loop.run_until(lambda: bool(responses))
    return responses[0]


def _start_server(factory):
    loop = Loop()
    server = factory(loop, (_LOOPBACK, 0))
    client = HttpClient().register(loop)
    port = server.http.port

    def request(method, path, document=None):
        return _request(loop, client, port, method, path, document)

    return request


@pytest.mark.parametrize('factory', [ServiceServer, PlatformServer])
@pytest.mark.parametrize('mode', ['drop', 'truncate'])
def test_broken_responses(factory, mode):
    """A dropped or truncated response is an error, for one request only."""
    request = _start_server(factory)
    path = '/bookings' if factory is ServiceServer else '/v1/config'
    request('POST', '/admin/fault', {'mode': mode, 'count': 1})
    assert request('GET', path).sent is True
    assert request('GET', path)[0] == HTTPStatus.OK


def test_crossed_response_is_the_previous_one():
    """In mode `cross` a service sends the response to the previous request."""
    request = _start_server(ServiceServer)
    request('POST', '/bookings', {'seat': 1})
    request('POST', '/admin/fault', {'mode': 'cross', 'count': 1})
    assert request('POST', '/bookings', {'seat': 2})[1]['echo'] == {'seat': 1}


def test_stale_platform_serves_an_old_revision():
    """In mode `stale` the platform serves the chosen revision."""
    request = _start_server(PlatformServer)
    for number in range(3):
        request('PUT', '/admin/config/policy', {'number': number})
    request('POST', '/admin/fault', {'mode': 'stale', 'revision': 2})
    assert request('GET', '/v1/config')[1]['revision'] == 2
    request('POST', '/admin/fault', {'mode': 'none'})
    assert request('GET', '/v1/config')[1]['revision'] == 3


def test_rate_limit_per_second():
    """Calls over the rate are rejected until the next second."""
    clock = ManualClock()
    limiter = RateLimiter(clock, 2)
    assert [limiter.try_acquire() for _ in range(3)] == [True, True, False]
    clock.time_ms = 1000
    assert limiter.try_acquire()
    assert limiter.refused == 1


@pytest.mark.parametrize(
    ('checks_fences', 'loaded'), [(True, 'v2'), (False, 'v1')]
)
def test_outdated_order(checks_fences, loaded):
    """Only an engine that checks fences rejects an outdated order."""
    loader = ModelLoader(None, None, {'checks_fences': checks_fences})
    assert loader.apply_order({'fence': [2, 1, 1], 'models': {'small': 'v2'}})
    outdated = {'fence': [1, 9, 9], 'models': {'small': 'v1'}}
    assert loader.apply_order(outdated) is not checks_fences
    assert loader.models == {'small': loaded}
