"""Tests of requests whose ends could not be recorded at first."""

import pytest

from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.forward_job import Placement, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead

_DEADLINE_MS = 3000


class FailingOnce:
    """A function that raises an error when it is called first."""

    def __init__(self):
        """Create the function."""
        self._has_failed = False

    def __call__(self, *_args):
        if not self._has_failed:
            self._has_failed = True
            raise ValueError('this cannot be recorded')


def fail_freed(harness):
    harness.chooser.record_end = FailingOnce()


def fail_left(harness):
    harness.forwarder.record_left = FailingOnce()


def fail_journal(harness):
    harness.journal.log_attempt_end = FailingOnce()


def give_up(harness, flow):
    flow.give_up('stopping', 'this instance is shutting down')


def lose_server(harness, flow):
    flow.attempt.end_lost(flow.attempt.backend, 'the server is gone')


def replace(harness, flow):
    flow.replace_attempt(flow.attempt, Placement(harness.backends[1]))


def stall(harness, flow):
    flow.attempt.fail_stalled()


def answer(harness, flow):
    listener = harness.port.calls[-1].listener
    listener.on_head(AnswerHead(200))
    listener.on_end()


def lose_answer(harness, flow):
    error = BackendError('lost', sent=True)
    harness.port.calls[-1].listener.on_failed(error)


_RECORDS = (fail_freed, fail_left, fail_journal)
_CANCELLING = (give_up, lose_server, replace, stall)


def fail_to_end(fail, end, *, is_sent=True):
    """Return the harness and sink of a request after it failed to end."""
    harness = ForwardHarness()
    fail(harness)
    flow, sink = harness.submit(repeat=RetryMode.ONCE, deadline_ms=_DEADLINE_MS)
    harness.port.calls[0].sent = is_sent
    with pytest.raises(ValueError):
        end(harness, flow)
    return harness, sink


@pytest.mark.parametrize('fail', _RECORDS)
@pytest.mark.parametrize('end', [*_CANCELLING, answer, lose_answer])
def test_request_that_was_sent_has_not_run(end, fail):
    harness, sink = fail_to_end(fail, end)
    harness.timers.advance(_DEADLINE_MS + 1)
    assert sink.events == [('refused', Outcome.UNKNOWN)]
    assert harness.port.calls[0].cancelled == (end in _CANCELLING)


@pytest.mark.parametrize('fail', [fail_freed, fail_left])
def test_request_that_was_not_sent_may_have_run(fail):
    """The connection to its server is still being opened."""
    harness, sink = fail_to_end(fail, give_up, is_sent=False)
    harness.timers.advance(_DEADLINE_MS + 1)
    assert sink.events == [('refused', Outcome.NOT_RUN)]
    assert harness.port.calls[0].cancelled
