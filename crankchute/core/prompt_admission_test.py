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
