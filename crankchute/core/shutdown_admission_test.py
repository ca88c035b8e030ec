"""Tests of the decision which requests are accepted during a shutdown."""

from random import Random

import pytest

from crankchute.core.forward_fakes import (
    FakeJournal,
    ForwardHarness,
    make_job,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.retry_hints import RetryHints
from crankchute.core.shutdown_admission import (
    STOPPING,
    ShutdownAdmission,
    ShutdownSchedule,
)
from crankchute.errors import BackendError
from crankchute.ports.forwarding import Rejection

_EARLY_MS = 2000
_LATE_MS = 4000
_LONG_MS = 60_000
_MOSTLY_SHORT = (4000, 4000, 4000, 4000, 4000, 4000, 4000, 4000, 4000, 9000)
_MOSTLY_LONG = (100, 5500, 5500)


class Desk:
    """What the decision reads of a Forwarder, and a flow of it."""

    attempt = None
    may_have_run = False

    def __init__(self, job, now_ms):
        self.job = job
        self.time_ms = now_ms
        self.flows = [self]
        self.journal = FakeJournal()

    def now_ms(self):
        return self.time_ms


def decide(arrived_ms, *, is_stream, waits_ms=0, recent=(), **fields):
    """Return the refusal of a request during a grace period of 8 s."""
    fields = {'deadline_ms': arrived_ms + _LONG_MS, **fields}
    job = make_job(arrived_ms=arrived_ms, is_stream=is_stream, **fields)
    desk = Desk(job, arrived_ms + waits_ms)
    admission = ShutdownAdmission(desk, RetryHints(Random(1)))
    for took_ms in recent:
        admission.record_answered(job, took_ms)
    admission.schedule = ShutdownSchedule(0, 8000, 1000)
    return admission.find_refusal(desk)


@pytest.mark.parametrize(
    ('arrived_ms', 'is_stream', 'recent', 'is_accepted'),
    [
        (_EARLY_MS, True, [], True),
        (_EARLY_MS, True, _MOSTLY_SHORT, True),
        (_EARLY_MS, True, _MOSTLY_LONG, False),
        (_EARLY_MS, False, _MOSTLY_SHORT, True),
        (_EARLY_MS, False, _MOSTLY_LONG, False),
        (_LATE_MS, True, [], False),
        (_LATE_MS, True, [100], False),
        (_LATE_MS, False, [], True),
        (_LATE_MS, False, [100, 1900], True),
        (_LATE_MS, False, [100, 2100], False),
        (_LATE_MS + 3100, False, [5], False),
    ],
)
def test_stop_accepts_requests_that_outlast_it(
    arrived_ms, is_stream, recent, is_accepted
):
    refusal = decide(arrived_ms, is_stream=is_stream, recent=recent)
    assert (refusal is None) == is_accepted
    if not is_accepted:
        assert (refusal.code, refusal.outcome) == (STOPPING, Outcome.NOT_RUN)
        assert 0 < refusal.retry_after_ms < 200


@pytest.mark.parametrize('is_stream', [True, False])
@pytest.mark.parametrize(
    ('left_ms', 'is_accepted'), [(3000, True), (3300, False)]
)
def test_request_whose_deadline_comes_before_the_end_is_accepted(
    is_stream, left_ms, is_accepted
):
    refusal = decide(
        _LATE_MS,
        is_stream=is_stream,
        recent=[9000],
        deadline_ms=_LATE_MS + left_ms,
    )
    assert (refusal is None) == is_accepted


@pytest.mark.parametrize(
    ('waits_ms', 'is_accepted'), [(1000, True), (2500, False)]
)
def test_servers_that_have_just_become_slow_are_trusted(waits_ms, is_accepted):
    """Requests in progress count before one of them has ended."""
    refusal = decide(3100, is_stream=False, waits_ms=waits_ms, recent=[5])
    assert (refusal is None) == is_accepted


@pytest.mark.parametrize('grace_ms', [1000, 3000, 8000, 30_000])
def test_stop_ends_requests_before_the_last_sixth_of_the_grace_period(grace_ms):
    schedule = ShutdownSchedule(0, grace_ms, 1000)
    assert grace_ms * 5 / 6 < schedule.end_ms < schedule.exit_ms
    assert schedule.exit_ms < grace_ms
    assert schedule.known_ms <= schedule.end_ms


@pytest.mark.parametrize('is_stream', [True, False])
@pytest.mark.parametrize(
    ('repeat', 'is_rejected', 'is_sent_again'),
    [
        (RetryMode.ONCE, True, False),
        (RetryMode.AGAIN, True, False),
        (RetryMode.AGAIN, False, True),
    ],
)
def test_rejected_request_is_sent_again_though_the_process_ends_first(
    repeat, is_rejected, is_sent_again, is_stream
):
    harness = ForwardHarness()
    _flow, sink = harness.submit(repeat=repeat, is_stream=is_stream)
    harness.forwarder.shutdown.schedule = ShutdownSchedule(-7190, 8000, 1000)
    listener = harness.port.calls[0].listener
    if is_rejected:
        listener.on_not_run(Rejection('full'))
    else:
        listener.on_failed(BackendError('lost', sent=True))
    assert len(harness.port.calls) == 1 + is_sent_again
    if not is_sent_again:
        assert sink.events[-1][1] == Outcome.NOT_RUN
