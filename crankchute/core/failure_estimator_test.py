"""Tests of the estimated failure rate of a backend server."""

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.failure_estimator import FailureEstimator, OutcomeCounts
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    ForwardHarness,
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import PromptSize
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead

SHORT = PromptSize(5_000, 1_000)


@pytest.mark.parametrize(
    ('failures', 'successes', 'received', 'age_ms', 'rate'),
    [
        (0, 0, None, 0, 0),
        (0, 9, None, 0, 0),
        (1, 0, None, 0, 0.4),
        (1, 19, None, 0, 0.05),
        (3, 0, None, 0, 0.67),
        (1, 0, (1, 0), 0, 0.57),
        (0, 0, (3, 0), 0, 0.67),
        (0, 0, (1, 20), 0, 0.04),
        (3, 0, None, 3000, 0.5),
        (3, 0, (3, 3), 60_000, 0),
    ],
)
def test_estimate_is_the_decayed_failure_rate(
    failures, successes, received, age_ms, rate
):
    suspicion = FailureEstimator()
    for _ in range(failures):
        suspicion.record_failure(0)
    for _ in range(successes):
        suspicion.record_success(0)
    if received is not None:
        suspicion.merge_remote('another', OutcomeCounts(*received, 0))
    assert round(suspicion.failure_probability(age_ms), 2) == rate


def test_own_counts_exclude_those_of_other_instances():
    suspicion = FailureEstimator()
    suspicion.merge_remote('another', OutcomeCounts(3, 0, 0))
    assert not suspicion.local_counts(0).failures


@pytest.mark.parametrize('chooser_class', [LeastBusyChooser, EngineChooser])
def test_server_that_failed_for_another_instance_is_avoided(chooser_class):
    timers = ManualTimers()
    backends = make_backends(3)
    chooser = chooser_class(make_chooser_parts(timers, lambda: backends))
    job = make_job(size=SHORT)
    first = chooser.choose(job, set()).backend
    first.failure_estimator.merge_remote('another', OutcomeCounts(1, 0, 0))
    assert chooser.choose(job, set()).backend is not first
    timers.advance(60_000)
    assert chooser.choose(job, set()).backend is first


def test_low_failure_rate_does_not_overload_the_others():
    """Engines that lose one answer in twenty must still get requests.

    One engine of eight is reserved for long prompts and gets no short ones.
    """
    timers = ManualTimers()
    backends = make_backends(8)
    for backend in backends[4:6]:
        backend.failure_estimator.merge_remote(
            'another', OutcomeCounts(1, 19, 0)
        )
    chooser = EngineChooser(make_chooser_parts(timers, lambda: backends))
    chosen = []
    for _ in range(35):
        job = make_job(size=SHORT)
        placement = chooser.choose(job, set())
        chooser.record_sent(job, placement)
        chosen.append(placement.backend.identity)
    assert max(chosen.count(one) for one in chosen) <= 7
    assert {'server-04', 'server-05'} <= set(chosen)


@pytest.mark.parametrize('chooser_class', [LeastBusyChooser, EngineChooser])
def test_failing_servers_are_chosen_if_there_is_no_other(chooser_class):
    backends = make_backends(2)
    for backend in backends:
        backend.failure_estimator.merge_remote(
            'another', OutcomeCounts(9, 0, 0)
        )
    chooser = chooser_class(
        make_chooser_parts(ManualTimers(), lambda: backends)
    )
    assert chooser.choose(make_job(size=SHORT), set()).backend in backends


@pytest.mark.parametrize(
    ('end', 'failures'),
    [
        (lambda listener: listener.on_failed(BackendError('x', sent=True)), 1),
        (lambda listener: _answer(listener, 500), 0.5),
        (lambda listener: _answer(listener, 200), 0),
    ],
)
def test_outcomes_of_attempts_are_counted(end, failures):
    harness = ForwardHarness()
    harness.submit()
    call = harness.port.calls[0]
    end(call.listener)
    signs = call.placement.backend.failure_estimator.local_counts(0)
    assert round(signs.failures, 1) == failures


def _answer(listener, status):
    listener.on_head(AnswerHead(status))
    listener.on_end()
