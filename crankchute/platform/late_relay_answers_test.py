"""Tests of late answers on connections to instances that serve relays."""

import pytest

from crankchute.core.forward_fakes import make_job
from crankchute.core.forward_job import AttemptOrder, RelayPlacement, RetryMode
from crankchute.core.relay import RelayOutcome
from crankchute.platform.backend_calls_test import (
    BackendHarness,
    RecordingListener,
)
from crankchute.platform.late_answers_test import (
    answer_late,
    make_answer,
    make_own_answer,
    name_request,
)
from crankchute.platform.relay_calls import RelayCalls
from crankchute.platform.requests import RequestPayload

_SIGNATURE = b'X-Crankchute-Response-Signature: s\r\n'
_NOT_EXECUTED = b'X-Crankchute-Not-Executed: 1\r\n'
_LATE_SERVER = b'Relay-Server: i-1\r\n'
_MODES = (
    (RetryMode.ONCE, False),
    (RetryMode.AGAIN, False),
    (RetryMode.ONCE, True),
    (RetryMode.RESUME, True),
)


def name_outcome(outcome):
    """Return the headers with which an instance ends a relayed request."""
    return b'Relay-Outcome: %b\r\nRelay-Code: late\r\n' % outcome.value.encode()


_LATE_ANSWERS = (
    *((503, name_outcome(outcome)) for outcome in RelayOutcome),
    (502, name_outcome(RelayOutcome.FAILED)),
    (503, _NOT_EXECUTED),
    (421, b''),
    (429, _NOT_EXECUTED),
    (200, _SIGNATURE),
    (500, _SIGNATURE),
)


class RelayHarness(BackendHarness):
    """Relays requests; tests act as the other instance."""

    def __init__(self):
        super().__init__()
        self.calls = RelayCalls(self.client, 'entry-0')
        self.placement = None

    def send(self, *, request_id='r1', **changes):
        headers = [('X-Crankchute-Request-Id', request_id)]
        payload = RequestPayload('POST', '/p/x?y', headers, b'body')
        job = make_job(payload=payload, request_id=request_id, **changes)
        listener = RecordingListener()
        self.placement = RelayPlacement(self.backend)
        order = AttemptOrder(1, 900, None)
        return self.calls.send(job, self.placement, order, listener), listener


def start_second_relay(repeat=RetryMode.ONCE, *, is_stream=False):
    """Return a harness whose only connection has served the relayed r1.

    Returns:
      The harness, and the listener of r2, whose request was received.
    """
    harness = RelayHarness()
    for request_id in ('r1', 'r2'):
        _call, listener = harness.send(
            request_id=request_id, repeat=repeat, is_stream=is_stream
        )
        harness.receive()
        if request_id == 'r1':
            own = make_own_answer('r1', is_stream=is_stream)
            harness.answer(listener, own)
    assert len(harness.connections) == 1
    return harness, listener


@pytest.mark.parametrize('is_split', [False, True])
@pytest.mark.parametrize(('repeat', 'is_stream'), _MODES)
@pytest.mark.parametrize('late_id', ['r1', None])
@pytest.mark.parametrize(('status', 'headers'), _LATE_ANSWERS)
def test_late_answer_ends_the_next_relayed_request(
    status, headers, late_id, repeat, is_stream, is_split
):
    """Neither its outcome nor the server that it names counts."""
    harness, listener = start_second_relay(repeat, is_stream=is_stream)
    heads = name_request(late_id) + _LATE_SERVER + headers
    late = make_answer(status, heads, (b'late',))
    own = make_own_answer('r2', is_stream=is_stream)
    answer_late(harness, listener, late, own, is_split=is_split)
    assert harness.placement.server is None
    if late_id is None:
        assert listener.events == [('failed', True)]
    else:
        assert listener.events[0] == ('head', 200)
        assert listener.events[-1] == ('end', None)


@pytest.mark.parametrize(
    ('outcome', 'end'),
    [
        (RelayOutcome.ELSEWHERE, ('failed', False)),
        (RelayOutcome.REFUSED, ('not_run', 'late')),
        (RelayOutcome.REJECTED, ('not_run', 'late')),
        (RelayOutcome.FAILED, ('failed', True)),
    ],
)
@pytest.mark.parametrize(('status', 'headers'), _LATE_ANSWERS)
def test_late_answer_replaces_the_outcome_of_a_relay(
    status, headers, outcome, end
):
    """The caller is told what the instance said of its own request."""
    harness, listener = start_second_relay()
    late = make_answer(status, name_request('r1') + headers, (b'late',))
    own = make_answer(503, name_request('r2') + name_outcome(outcome), ())
    harness.answer(listener, late + own)
    assert listener.events == [end]
