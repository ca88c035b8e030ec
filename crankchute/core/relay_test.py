"""Tests of the decisions about relayed requests."""

import pytest

from crankchute.core.forward_fakes import (
    POOL,
    ForwardHarness,
    make_backends,
    make_job,
)
from crankchute.core.forward_job import RelayOrigin, RelayPlacement, RetryMode
from crankchute.core.shutdown_admission import STOPPING
from crankchute.core.outcomes import Outcome, Refusal
from crankchute.core.relay import (
    NO_PATH,
    RelayOutcome,
    choose_relay,
    classify_refusal,
    end_unanswered,
    relay_stalled_at_ms,
)
from crankchute.core.server_paths import AlwaysReached
from crankchute.core.sliding_budget import RetryLimits

_ORIGIN = RelayOrigin('entry-9', ())
#: Later than half of the time until a first event is overdue.
_LATE_MS = 200


class LostPaths(AlwaysReached):
    """The paths of an instance with one proxy.

    Attributes:
      proxy: A Backend or None.
    """

    def __init__(self, proxy):
        self.proxy = proxy

    def is_lost(self, _pool):
        return True

    def choose_proxy(self, _pool, avoided):
        proxy = self.proxy
        is_usable = proxy is not None and proxy.identity not in avoided
        return proxy if is_usable else None


@pytest.mark.parametrize(
    ('relay', 'avoided', 'is_chosen'),
    [
        (None, (), True),
        (None, ('server-00',), False),
        (_ORIGIN, (), False),
    ],
)
def test_request_is_relayed_in_a_loop(relay, avoided, is_chosen):
    paths = LostPaths(make_backends(1)[0])
    choice = choose_relay(paths, make_job(relay=relay), avoided)
    assert isinstance(choice, RelayPlacement) == is_chosen
    if not is_chosen:
        assert choice.code == NO_PATH
        assert choice.outcome == Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('outcome', 'code', 'was_sent', 'expected'),
    [
        (Outcome.NOT_RUN, NO_PATH, False, RelayOutcome.ELSEWHERE),
        (Outcome.NOT_RUN, NO_PATH, True, RelayOutcome.ELSEWHERE),
        (Outcome.NOT_RUN, STOPPING, False, RelayOutcome.ELSEWHERE),
        (Outcome.NOT_RUN, STOPPING, True, RelayOutcome.REJECTED),
        (Outcome.FAILED, STOPPING, True, RelayOutcome.FAILED),
        (Outcome.NOT_RUN, 'crowded', False, RelayOutcome.REFUSED),
        (Outcome.NOT_RUN, 'full', True, RelayOutcome.REJECTED),
        (Outcome.UNKNOWN, 'backend_failed', True, RelayOutcome.FAILED),
        (Outcome.FAILED, NO_PATH, True, RelayOutcome.FAILED),
    ],
)
def test_refusal_claims_that_a_request_did_not_run(
    outcome, code, was_sent, expected
):
    refusal = Refusal(outcome, code, 'text')
    assert classify_refusal(refusal, was_sent=was_sent) == expected


@pytest.mark.parametrize(
    ('fields', 'advance_ms', 'is_ended'),
    [
        ({}, _LATE_MS, True),
        ({}, 1, False),
        ({'repeat': RetryMode.ONCE}, _LATE_MS, False),
        ({'max_attempts': 1}, _LATE_MS, False),
        ({'pool': 'other'}, _LATE_MS, False),
    ],
)
def test_attempt_is_ended_that_may_be_answered(fields, advance_ms, is_ended):
    """Only late ones are, and only if the request may be sent again."""
    harness = ForwardHarness()
    harness.forwarder.find_chooser = lambda _pool: harness.chooser
    flow, sink = harness.submit(**fields)
    harness.timers.advance(advance_ms)
    end_unanswered({flow}, POOL)
    assert harness.port.calls[0].cancelled == is_ended
    assert len(harness.port.calls) == 1 + is_ended
    assert not sink.events


def test_relayed_request_counts_for_two_retry_budgets():
    """Only the instance that retries it may count it."""
    harness = ForwardHarness()
    harness.forwarder.budgets.change_limits(
        RetryLimits(ratio=1, slack=0, window_ms=10_000)
    )
    for _ in range(4):
        harness.submit(relay=_ORIGIN)
    assert not harness.forwarder.take_retry(make_job())
    for _ in range(4):
        harness.submit()
    assert harness.forwarder.take_retry(make_job())


@pytest.mark.parametrize(
    ('repeat', 'is_limited'),
    [(RetryMode.ONCE, False), (RetryMode.AGAIN, True)],
)
def test_silent_proxy_ends_a_request_that_must_not_be_repeated(
    repeat, is_limited
):
    harness = ForwardHarness()
    harness.forwarder.paths = LostPaths(make_backends(1)[0])
    flow, _sink = harness.submit(repeat=repeat)
    limit_ms = relay_stalled_at_ms(flow.job, flow.attempt)
    assert (limit_ms is not None) == is_limited
