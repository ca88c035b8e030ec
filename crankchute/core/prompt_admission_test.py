"""Tests of the decision whether a prompt is sent, and of loads it answers."""

import pytest

from crankchute.core.prompt_admission import Prospect, is_worth_sending


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
