"""Tests of the decision whether a prompt is sent, and of loads it answers."""

import pytest

from crankchute.core.prompt_admission import (
    PromptAdmission,
    Prospect,
    is_worth_sending,
)


@pytest.mark.parametrize(
    ('first_ms', 'worth', 'harm', 'is_sent'),
    [
        # Nobody is harmed: late or not, it is sent.
        (100, 1, 0, True),
        (900, 1, 0, True),
        # In time, against what its caller loses by coming back.
        (100, 1, 0.7, True),
        (100, 1, 0.8, False),
        (100, 20, 14, True),
        (100, 20, 16, False),
        # Late in any case: little is gained.
        (290, 1, 0.1, True),
        (290, 1, 0.2, False),
        (900, 20, 3, False),
    ],
)
def test_prompt_is_sent_if_it_gains_more_than_it_takes(
    first_ms, worth, harm, is_sent
):
    prospect = Prospect(first_ms, 300, worth=worth, harm=harm)
    assert is_worth_sending(prospect) == is_sent


def send_many(admission, worth, harm, count, start_ms=0):
    """Return how many of as many prompts were sent, one each 100 ms."""
    sent = 0
    for number in range(count):
        prospect = Prospect(100, 300, worth=worth, harm=harm)
        sent += admission.sends(prospect, start_ms + number * 100)
    return sent


@pytest.mark.parametrize('worth', [1, 3, 15, 40])
def test_prompts_of_one_length_are_refused_as_long_as_all_are(worth):
    """Where nothing is worth sending no length is more seldom than all."""
    admission = PromptAdmission()
    assert send_many(admission, worth, worth, 100) < 5


@pytest.mark.parametrize('worth', [3, 15, 40])
def test_length_that_is_sent_more_seldom_than_all_is_sent_again(worth):
    admission = PromptAdmission()
    long_sent = 0
    for start_ms in range(0, 25_000, 500):
        # Short prompts harm nobody, and long ones more than they are worth.
        assert send_many(admission, 1, 0, 4, start_ms) == 4
        harm = 10 * worth
        long_sent += send_many(admission, worth, harm, 1, start_ms + 400)
    assert 20 <= long_sent <= 35


def test_lengths_that_were_refused_long_ago_are_refused_anew():
    """What was decided fades; it is no debt."""
    admission = PromptAdmission()
    for number in range(30):
        admission.sends(Prospect(100, 300, worth=15, harm=99), number)
    late = Prospect(100, 300, worth=15, harm=99)
    assert not admission.sends(late, 200_000)
