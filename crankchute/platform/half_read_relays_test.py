"""Tests of relayed requests that an instance refuses before it has read them."""

from http import HTTPStatus

import pytest

from crankchute.core.shutdown_admission import STOPPING
from crankchute.errors import RequestRefused
from crankchute.platform.relayed_requests_test import Pair
from crankchute.platform.standin_relays import RelayingInstances
from crankchute.platform.standin_stop import GRACE_MS

#: More bytes than the system buffers for a connection.
_LARGE = 8_000_000
_SHUTDOWN = RequestRefused(
    HTTPStatus.SERVICE_UNAVAILABLE, STOPPING, 'this instance is shutting down'
)


def is_half_read(pair):
    """Return whether a part of a request's body has arrived."""
    return any(
        connection.reader.body_size and not connection.reader.done
        for connection in pair.server._connections.values()
    )


@pytest.mark.parametrize('is_reused', [False, True])
def test_half_read_request_may_have_run(is_reused):
    """An instance that ends tells the one that relays that it did not run."""
    pair = Pair()
    if is_reused:
        assert pair.send()[0].end == ('end',)
    served = len(pair.desk.jobs)
    listener, placement = pair.start(body=bytes(_LARGE))
    pair.loop.run_until(lambda: is_half_read(pair), 0)
    pair.server.refuse_unread(_SHUTDOWN)
    pair.wait_for_end(listener)
    assert len(pair.desk.jobs) == served
    assert listener.end == ('failed', STOPPING, False)
    assert placement.answering == 'entry-1'


@pytest.mark.parametrize('is_reused', [False, True])
@pytest.mark.parametrize(
    ('status', 'code'),
    [
        (HTTPStatus.BAD_REQUEST, 'bad_request'),
        (HTTPStatus.REQUEST_TIMEOUT, 'slow_sender'),
        (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body_too_large'),
        (HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'headers_too_large'),
    ],
)
def test_refused_content_is_sent_to_every_proxy(status, code, is_reused):
    pair = Pair()
    if is_reused:
        assert pair.send()[0].end == ('end',)
    served = len(pair.desk.jobs)
    listener, _placement = pair.start(body=bytes(_LARGE), request_id='r2')
    pair.loop.run_until(lambda: is_half_read(pair), 0)
    pair.server.refuse_unread(RequestRefused(status, code, 'text'))
    pair.wait_for_end(listener)
    assert len(pair.desk.jobs) == served
    assert listener.end == ('not run', code, True, None)


@pytest.mark.parametrize('missing', [1, 100])
def test_relays_are_refused_like_callers_when_the_process_ends(missing):
    world = RelayingInstances(proxies=1)
    proxy = world.proxies[0]
    connection = proxy.connect(proxy.relay_address)
    caller = proxy.send('/once/?ms=40', sock=connection, missing=missing)
    proxy.stop()
    world.run_for(GRACE_MS)
    assert caller.head.startswith('HTTP/1.1 503')
    assert 'relay-outcome: elsewhere' in caller.head
    assert f'x-crankchute-request-id: {caller.request_id}' in caller.head
