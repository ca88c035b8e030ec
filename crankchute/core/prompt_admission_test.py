"""Tests of the admission control of prompts."""

import pytest

from crankchute.core.prompt_admission import (
    PromptAdmission,
    AdmissionEstimate,
    is_worth_admitting,
)


@pytest.mark.parametrize(
    ('first_ms', 'worth', 'harm', 'is_admitted'),
    [
        # No other request is delayed: admitted whether late or not.
        (100, 1, 0, True),
        (900, 1, 0, True),
        # On time: the gain is what the caller would lose by a retry.
        (100, 1, 0.7, True),
        (100, 1, 0.8, False),
        (100, 20, 14, True),
        (100, 20, 16, False),
        # Late anyway: the gain is small.
        (290, 1, 0.1, True),
        (290, 1, 0.2, False),
        (900, 20, 3, False),
    ],
)
def test_prompt_is_admitted_if_it_gains_more_than_others_lose(
    first_ms, worth, harm, is_admitted
):
    estimate = AdmissionEstimate(first_ms, 300, worth=worth, harm=harm)
    assert is_worth_admitting(estimate) == is_admitted


def admit_many(admission, worth, harm, count, start_ms=0):
    """Return how many of count prompts, 100 ms apart, were admitted."""
    admitted = 0
    for number in range(count):
        estimate = AdmissionEstimate(100, 300, worth=worth, harm=harm)
        admitted += admission.admits(estimate, start_ms + number * 100)
    return admitted


@pytest.mark.parametrize('worth', [1, 3, 15, 40])
def test_uniform_prompts_are_all_refused(worth):
    """A single size class cannot be underserved."""
    admission = PromptAdmission()
    assert admit_many(admission, worth, worth, 100) < 5


@pytest.mark.parametrize('worth', [3, 15, 40])
def test_underserved_size_class_is_admitted(worth):
    admission = PromptAdmission()
    long_admitted = 0
    for start_ms in range(0, 25_000, 500):
        # Short prompts cause no harm, long ones more than their worth.
        assert admit_many(admission, 1, 0, 4, start_ms) == 4
        harm = 10 * worth
        long_admitted += admit_many(admission, worth, harm, 1, start_ms + 400)
    assert 20 <= long_admitted <= 35


def test_old_refusals_decay():
    """A class is not owed admissions for refusals long ago."""
    admission = PromptAdmission()
    for number in range(30):
        admission.admits(AdmissionEstimate(100, 300, worth=15, harm=99), number)
    late_estimate = AdmissionEstimate(100, 300, worth=15, harm=99)
    assert not admission.admits(late_estimate, 200_000)


def make_estimate(first_ms=100, **changes):
    """Return the estimate of a prompt with 300 ms left and no harm."""
    fields = {'worth': 1, 'harm': 0, 'prefill_ms': 30}
    fields.update(changes)
    return AdmissionEstimate(first_ms, 300, **fields)


def fill_up(admission, priority=0, count=20, start_ms=0):
    """Let a priority run short: all of its prompts would be late."""
    for number in range(count):
        estimate = make_estimate(first_ms=900, priority=priority)
        admission.admits(estimate, start_ms + number * 10)
    return start_ms + count * 10


@pytest.mark.parametrize(
    ('first_ms', 'changes', 'is_admitted'),
    [
        (230, {}, True),
        (250, {}, False),
        # Callers that return after a refusal go first.
        (250, {'is_returning': True}, True),
        (280, {'is_returning': True}, False),
        # A prompt too long for its goal is not late by the load.
        (900, {'prefill_ms': 400}, True),
        # The account uses twice its fair share.
        (180, {'excess': 2}, True),
        (190, {'excess': 2}, False),
    ],
)
def test_short_pool_refuses_what_would_hardly_be_on_time(
    first_ms, changes, is_admitted
):
    """Prompts that were known to be late took the room of those on time."""
    admission = PromptAdmission()
    admission.admits(make_estimate(priority=2), 0)
    now_ms = fill_up(admission)
    estimate = make_estimate(first_ms, priority=0, **changes)
    assert admission.admits(estimate, now_ms) == is_admitted


@pytest.mark.parametrize(
    ('excess', 'is_admitted'),
    [(1, True), (1.4, True), (1.5, False), (3, False)],
)
def test_equal_priorities_are_refused_only_for_harm_or_excess(
    excess, is_admitted
):
    """Without priorities, late prompts that harm nobody are sent."""
    admission = PromptAdmission()
    now_ms = fill_up(admission)
    estimate = make_estimate(290, priority=0, excess=excess)
    assert admission.admits(estimate, now_ms) == is_admitted


@pytest.mark.parametrize(
    ('priority', 'is_admitted'), [(0, True), (1, True), (2, False)]
)
def test_less_urgent_prompts_wait_while_more_urgent_ones_are_late(
    priority, is_admitted
):
    admission = PromptAdmission()
    for number in range(20):
        for other in (0, 1, 2):
            admission.admits(make_estimate(priority=other), number)
    now_ms = fill_up(admission, priority=1)
    estimate = make_estimate(50, priority=priority)
    assert admission.admits(estimate, now_ms) == is_admitted


def test_less_urgent_prompts_are_not_starved():
    """Each priority keeps a part of the admissions under lasting overload."""
    admission = PromptAdmission()
    admitted = 0
    for number in range(2000):
        late = make_estimate(900, priority=0)
        early = make_estimate(100, priority=0)
        admission.admits(late, number * 10)
        admission.admits(early, number * 10)
        deferred = make_estimate(100, priority=2, worth=8)
        admitted += admission.admits(deferred, number * 10)
    assert 200 <= admitted <= 600


def test_less_urgent_prompts_return_soon_after_the_shortage():
    admission = PromptAdmission()
    admission.admits(make_estimate(priority=2), 0)
    now_ms = fill_up(admission)
    assert admission.admits(make_estimate(priority=2), now_ms + 5000)
