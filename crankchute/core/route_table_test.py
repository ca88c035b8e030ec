"""Tests of route lookup and weighted pool splits."""

from collections import Counter

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.core.route_table import PoolShare, Route, RouteTable


def make_route(name, host, prefix, shares=(('pool', 1),)):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        shares=tuple(PoolShare(*share) for share in shares),
        repeat=RetryMode.ONCE,
        is_stream=False,
        is_open=False,
        timeout_ms=1000,
        goal_ms=100,
        gap_ms=None,
        priority=1,
        max_attempts=1,
    )


TABLE = RouteTable(
    [
        make_route('root', 'a.example', '/'),
        make_route('one', 'a.example', '/one/'),
        make_route('deep', 'a.example', '/one/two/'),
        make_route('other', 'b.example', '/one/'),
    ]
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/one/two/three', 'deep'),
        ('a.example', '/one/two', 'one'),
        ('A.EXAMPLE:8080', '/one/x', 'one'),
        ('a.example', '/onetwo/', 'root'),
        ('a.example', '/', 'root'),
        ('b.example', '/one/', 'other'),
        ('b.example', '/', None),
        ('c.example', '/one/', None),
        ('', '/one/', None),
        ('a.example', 'no-slash', None),
    ],
)
def test_longest_prefix_of_the_host_is_found(host, path, name):
    route = TABLE.find(host, path)
    assert (route and route.name) == name


@pytest.mark.parametrize(
    ('shares', 'expected'),
    [
        ((('a', 90), ('b', 10)), {'a': 0.9, 'b': 0.1}),
        ((('a', 0), ('b', 5)), {'b': 1}),
        ((('a', 1), ('b', 1), ('c', 2)), {'a': 0.25, 'b': 0.25, 'c': 0.5}),
    ],
)
def test_split_follows_the_weights(shares, expected):
    route = make_route('split', 'a.example', '/', shares)
    count = 4000
    counts = Counter(
        route.choose_pool(f'id-{number}') for number in range(count)
    )
    assert set(counts) == set(expected)
    for pool, fraction in expected.items():
        assert counts[pool] / count == pytest.approx(fraction, abs=0.03)


def test_split_without_weight_chooses_no_pool():
    route = make_route('none', 'a.example', '/', (('a', 0),))
    assert route.choose_pool('id') is None


def test_pool_depends_on_the_request_id_only():
    route = make_route('split', 'a.example', '/', (('a', 1), ('b', 1)))
    assert len({route.choose_pool('id') for _ in range(5)}) == 1
