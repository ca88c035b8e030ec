"""Tests of statuses that HTTP does not have, in answers to all kinds of calls.

The frame of the answer is sound.  The call fails at once: such an answer is
neither passed on nor taken for an informational one, which another follows.
"""

import time
from functools import partial

import pytest

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.core.forward_fakes import make_job
from crankchute.core.forward_job import (
    AttemptOrder,
    PrefillHelper,
    RelayPlacement,
    RetryMode,
)
from crankchute.platform.backend_calls_test import (
    BackendHarness,
    RecordingListener,
)
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.engine_reports import EngineReports
from crankchute.platform.relay_calls import RelayCalls
from crankchute.platform.requests import RequestPayload
from crankchute.ports.http import WholeResponse

_ODD = ('000', '099', '600', '999')
#: Informational statuses in answers that have a body.
_WITH_BODY = ('100', '103', '104', '199')
_SIGNED = (
    b'X-Crankchute-Request-Id: r1\r\nX-Crankchute-Response-Signature: s\r\n'
)
_LIMIT_S = 5


def send_request(harness, outcomes, **fields):
    _call, listener = harness.send(**fields)
    outcomes.append(listener.events)
    harness.receive()


def relay(harness, outcomes):
    """Send a request through another instance."""
    headers = [('X-Crankchute-Request-Id', 'r1'), ('Host', 'a.example')]
    job = make_job(
        payload=RequestPayload('POST', '/p/', headers, b'body'),
        request_id='r1',
    )
    listener = RecordingListener()
    outcomes.append(listener.events)
    RelayCalls(harness.client, 'entry-0').send(
        job,
        RelayPlacement(harness.backend),
        AttemptOrder(1, 900, None),
        listener,
    )
    harness.receive()


def order(harness, outcomes):
    """Order a server to reserve memory."""
    events = []
    outcomes.append(events)
    helper = PrefillHelper(harness.backend, 't9', 10)
    EngineOrders(harness.server_calls, harness.loop.timers).reserve(
        helper, 1000, lambda is_done: events.append(('reserved', is_done))
    )
    harness.receive(b'}')


def call(harness, outcomes):
    """Send a call as the readers of the store do."""
    events = []
    outcomes.append(events)
    address = harness.backend.listed.address
    harness.client.send(
        address,
        build_request('GET', address, '/api/kv-range'),
        WholeResponse(
            lambda status, _body: events.append(('answered', status)),
            lambda exc: events.append(('failed', exc.sent)),
        ),
        CallOptions(),
    )
    harness.receive(b'\r\n\r\n')


#: How each kind of call is sent, and its end if the answer is invalid.
CALLS = {  # noqa: WPS407  (a table)
    'request': (
        partial(send_request, repeat=RetryMode.AGAIN),
        ('failed', True),
    ),
    'stream': (
        partial(send_request, is_stream=True, repeat=RetryMode.ONCE),
        ('failed', True),
    ),
    'resumed': (
        partial(send_request, is_stream=True, resume_after=3),
        ('failed', True),
    ),
    'relay': (relay, ('failed', True)),
    # The order may have been taken.
    'order': (order, ('reserved', None)),
    'store': (call, ('failed', True)),
}


def answer(harness, outcomes, payload):
    """Send bytes as the server, and wait for the end of the call."""
    harness.connections[-1].sendall(payload)
    limit = time.monotonic() + _LIMIT_S
    harness.loop.run_until(
        lambda: outcomes[0] or time.monotonic() > limit, 0.001
    )
    return outcomes[0]


def make_answer(status, *, is_chunked=False):
    head = b'HTTP/1.1 %b Odd\r\n%b' % (status.encode(), _SIGNED)
    if is_chunked:
        return (
            b'%bTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n' % head
        )
    return b'%bContent-Length: 2\r\n\r\n{}' % head


@pytest.mark.parametrize('name', list(CALLS))
@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('status', [*_ODD, *_WITH_BODY, '101'])
def test_odd_status_is_passed_on_or_waited_for(status, is_chunked, name):
    harness = BackendHarness()
    start, expected = CALLS[name]
    outcomes = []
    start(harness, outcomes)
    payload = make_answer(status, is_chunked=is_chunked)
    assert answer(harness, outcomes, payload) == [expected]


@pytest.mark.parametrize('name', list(CALLS))
@pytest.mark.parametrize('status', [*_ODD, *_WITH_BODY])
def test_body_with_an_odd_status_is_joined_to_the_next_answer(status, name):
    harness = BackendHarness()
    start, expected = CALLS[name]
    outcomes = []
    start(harness, outcomes)
    payload = make_answer(status) + make_answer('200')
    assert answer(harness, outcomes, payload) == [expected]


@pytest.mark.parametrize('status', [*_ODD, '101'])
def test_odd_status_without_a_body_is_waited_for(status):
    harness = BackendHarness()
    outcomes = []
    send_request(harness, outcomes)
    payload = b'HTTP/1.1 %b Odd\r\n%b\r\n' % (status.encode(), _SIGNED)
    assert answer(harness, outcomes, payload) == [('failed', True)]


@pytest.mark.parametrize('status', [*_ODD, '103'])
def test_report_with_an_odd_status_counts(status):
    harness = BackendHarness()
    loads = []
    EngineReports(harness.server_calls).request_load(
        harness.backend, loads.append
    )
    harness.receive(b'\r\n\r\n')
    body = b'{"running":3,"waiting":1}'
    harness.connections[-1].sendall(
        b'HTTP/1.1 %b Odd\r\nContent-Length: %d\r\n\r\n%b'
        % (status.encode(), len(body), body)
    )
    limit = time.monotonic() + 1 / 2
    harness.loop.run_until(lambda: time.monotonic() > limit, 0.001)
    assert not loads
    assert not harness.client.has_idle(harness.backend.listed.address)


@pytest.mark.parametrize('status', ['100', '102', '103', '104', '199'])
@pytest.mark.parametrize(
    'headers', [b'', b'Link: x\r\n', b'Content-Length: 0\r\n']
)
def test_informational_answer_ends_the_call(status, headers):
    """The answer that follows is the one that counts."""
    harness = BackendHarness()
    _call, listener = harness.send()
    harness.receive()
    informational = b'HTTP/1.1 %b Odd\r\n%b\r\n' % (status.encode(), headers)
    harness.answer(listener, informational + make_answer('200'))
    assert listener.events == [('head', 200), ('body', b'{}'), ('end', None)]
