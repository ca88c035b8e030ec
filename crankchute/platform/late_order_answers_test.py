"""Tests of late answers to requests and orders that share connections."""

import pytest

from crankchute.core.forward_job import PrefillHelper
from crankchute.platform.backend_calls_test import BackendHarness
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.engine_reports import EngineReports
from crankchute.platform.late_answers_test import (
    make_answer,
    make_own_answer,
    name_request,
)

_STATE_HEADERS = b'Server-Leaving: 1\r\nRetry-After: 9\r\n'
_REPORT = b'{"running":3,"waiting":1}'


class RecordingNotices:
    """Records the notices of servers that say something."""

    def __init__(self):
        self.notices = []

    def record_sent(self, _backend):
        """Ignore calls."""

    def take(self, _backend, notice, _sent_ms):
        if notice.has_content:
            self.notices.append(notice)


def start_after_request():
    """Return a harness whose only connection has served request r1."""
    harness = BackendHarness()
    harness.server_calls.listener = RecordingNotices()
    _call, listener = harness.send()
    harness.receive()
    harness.answer(listener, make_own_answer('r1', is_stream=False))
    return harness


def reserve(harness, outcomes):
    """Send an order to reserve memory; its result is added to a list."""
    orders = EngineOrders(harness.server_calls, harness.loop.timers)
    helper = PrefillHelper(harness.backend, 't9', 10)
    orders.reserve(helper, 1000, outcomes.append)
    harness.receive(b'}')


def answer(harness, outcomes, payload):
    harness.connections[-1].sendall(payload)
    harness.loop.run_until(lambda: bool(outcomes), 0.001)


@pytest.mark.parametrize(
    ('late_status', 'own_status', 'is_reserved'),
    [
        (200, 409, False),
        (503, 200, True),
        (500, 202, True),
        (421, 409, False),
    ],
)
def test_late_answer_to_a_request_does_not_answer_an_order(
    late_status, own_status, is_reserved
):
    harness = start_after_request()
    outcomes = []
    reserve(harness, outcomes)
    assert len(harness.connections) == 1
    headers = name_request('r1') + _STATE_HEADERS
    late = make_answer(late_status, headers, (b'late',))
    answer(harness, outcomes, late + make_answer(own_status, b'', (b'{}',)))
    assert outcomes == [is_reserved]
    assert harness.server_calls.listener.notices == []


def test_late_answer_to_a_request_is_no_load_report():
    harness = start_after_request()
    loads = []
    EngineReports(harness.server_calls).request_load(
        harness.backend, loads.append
    )
    harness.receive(b'\r\n\r\n')
    late = make_answer(200, name_request('r1'), (_REPORT,))
    own = make_answer(200, b'', (_REPORT.replace(b'3', b'5'),))
    answer(harness, loads, late + own)
    assert [load.requests for load in loads] == [6]


def test_order_avoids_the_connection_of_another_order():
    """Neither answer has an id, so a late one could not be told."""
    harness = start_after_request()
    for expected in (1, 2):
        outcomes = []
        reserve(harness, outcomes)
        answer(harness, outcomes, make_answer(200, b'', (b'{}',)))
        assert len(harness.connections) == expected


@pytest.mark.parametrize('status', [200, 503])
def test_state_in_a_late_answer_is_not_believed(status):
    """It is the state of an earlier time, perhaps of another server."""
    harness = start_after_request()
    _call, listener = harness.send(request_id='r2')
    harness.receive()
    late = make_answer(status, name_request('r1') + _STATE_HEADERS, ())
    harness.answer(listener, late + make_own_answer('r2', is_stream=False))
    assert listener.events[-1] == ('end', None)
    assert harness.server_calls.listener.notices == []
