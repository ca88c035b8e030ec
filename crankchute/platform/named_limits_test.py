"""Tests of the limits that answers name, as they write them."""

import pytest

from crankchute.core.server_notice import ServerNotice
from crankchute.platform.named_limits import read_limits

_LARGEST = 1_000_000


@pytest.mark.parametrize(
    ('texts', 'limit'),
    [
        (['1'], 1),
        ([' 2.5 '], 2.5),
        (['0'], 0),
        (['0.0'], 0),
        (['.25'], 0.25),
        (['3.'], 3),
        (['0.001'], 0.001),
        (['9' * 400], _LARGEST),
        (['4', '2'], 2),
        (['4, 2'], 2),
        (['soon', '3'], 3),
        (['soon'], None),
        ([''], None),
        (['-1'], None),
        (['+1'], None),
        (['nan'], None),
        (['inf'], None),
        (['1e3'], None),
        (['1/s'], None),
        (['\u0663'], None),
    ],
)
def test_limits_are_decimal_numbers_and_the_least_counts(texts, limit):
    notice = ServerNotice(limits=read_limits(texts))
    assert notice.names_limit
    assert notice.limit == limit


def test_answer_without_the_header_names_no_limit():
    notice = ServerNotice(limits=read_limits([]))
    assert not notice.names_limit
    assert notice.limit is None
