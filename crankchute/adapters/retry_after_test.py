"""Tests of parsing the Retry-After header."""

import pytest

from crankchute.adapters.retry_after import read_retry_after_ms

_DAY_MS = 86_400_000


@pytest.mark.parametrize(
    ('text', 'expected_ms'),
    [
        ('3', 3000),
        (' 3 ', 3000),
        ('0.25', 250),
        ('0', 0),
        ('7200', 7_200_000),
        ('604800', _DAY_MS),
        ('999999999', _DAY_MS),
        (None, 0),
        ('', 0),
        ('-3', 0),
        ('+3', 0),
        ('soon', 0),
        ('3s', 0),
        ('1e3', 0),
        ('nan', 0),
        ('inf', 0),
        ('1_000', 0),
        ('9' * 400, 0),
        ('.5', 0),
        ('Wed, 21 Oct 2026 07:28:00 GMT', 0),
    ],
)
def test_only_decimal_seconds_are_accepted(text, expected_ms):
    assert read_retry_after_ms(text) == expected_ms
