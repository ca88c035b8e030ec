"""Tests of parsing limit headers."""

import pytest

from crankchute.core.server_notice import ServerNotice
from crankchute.platform.named_limits import parse_limits

_MAX_LIMIT = 1_000_000


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
        (['9' * 400], _MAX_LIMIT),
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
def test_lowest_valid_limit_is_used(texts, limit):
    notice = ServerNotice(limits=parse_limits(texts))
    assert notice.names_limit
    assert notice.limit == limit


def test_response_without_the_header_has_no_limit():
    notice = ServerNotice(limits=parse_limits([]))
    assert not notice.names_limit
    assert notice.limit is None
