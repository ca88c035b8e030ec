"""Tests of the HTTP adapter for plain services, with a fake client."""

import pytest

from crankchute.adapters.service_http import HttpServices
from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.service_router import ServiceCall


class FakeClient:
    """Answers each call with the same status and headers.

    Attributes:
      status: The HTTP status.
      headers: A map of names in lower case to strings.
    """

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.called = []

    def send(self, address, _payload, sink, _options):
        self.called.append(address)
        sink.on_head(self.status, self.headers)
        sink.on_done()


def make_call():
    return ServiceCall(
        method='GET',
        path='/',
        body=b'',
        content_type=None,
        key=None,
        repeatable=True,
        pool='pool-a',
        account='one',
        deadline_ms=10_000,
    )


@pytest.mark.parametrize(
    ('retry_after', 'until_ms'),
    [('3', 3000), ('0', 0), ('soon', 0), (None, 0)],
)
def test_server_is_not_called_before_its_retry_after(retry_after, until_ms):
    """The next call must not be sent to a service calls_before its Retry-After."""
    headers = {'crankchute-not-run': '1'}
    if retry_after is not None:
        headers['retry-after'] = retry_after
    harness = ForwardHarness(servers=1)
    harness.forwarder.port = HttpServices(FakeClient(503, headers))
    flow, _sink = harness.submit(payload=make_call())
    assert flow.ended
    assert harness.backends[0].paused_until_ms == until_ms
    calls_before = len(harness.forwarder.port._client.called)
    harness.submit(payload=make_call())
    is_called = len(harness.forwarder.port._client.called) > calls_before
    assert is_called == (until_ms == 0)
