"""Tests of plain services over HTTP, with a fake client."""

import pytest

from crankchute.adapters.service_http import HttpServices
from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.service_router import ServiceCall


class FakeClient:
    """Answers each call with one head and body.

    Attributes:
      status: The HTTP status.
      headers: A map of names in lower case to strings.
    """

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.asked = []

    def send(self, address, _payload, sink, _options):
        self.asked.append(address)
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
    ('hint', 'until_ms'),
    [('3', 3000), ('0', 0), ('soon', 0), (None, 0)],
)
def test_server_that_asks_for_rest_is_left_alone(hint, until_ms):
    """As engines of this interface are, and servers of a forwarding one.

    A service that did not run a call and said when to come back was asked
    again at once, by the next call.
    """
    headers = {'crankchute-not-run': '1'}
    if hint is not None:
        headers['retry-after'] = hint
    harness = ForwardHarness(servers=1)
    harness.desk.port = HttpServices(FakeClient(503, headers))
    flow, _sink = harness.submit(payload=make_call())
    assert flow.ended
    assert harness.backends[0].paused_until_ms == until_ms
    before = len(harness.desk.port._client.asked)
    harness.submit(payload=make_call())
    is_asked = len(harness.desk.port._client.asked) > before
    assert is_asked == (until_ms == 0)
