"""Tests of parsing load headers and load reports."""

import pytest

from crankchute.platform.engine_reports import parse_report, parse_load_header


def count_requests(load):
    return None if load is None else load.requests


@pytest.mark.parametrize(
    ('text', 'requests'),
    [
        ('3,2,8', 5),
        ('0,0,8', 0),
        (' 3, 2, 8', 5),
        (None, None),
        ('', None),
        ('3', None),
        ('a,b,c', None),
        ('-1,2,8', None),
    ],
)
def test_load_header(text, requests):
    assert count_requests(parse_load_header(text)) == requests


@pytest.mark.parametrize(
    ('body', 'requests'),
    [
        (b'{"running":12,"waiting":1,"kv-used":41000}', 13),
        (b'{"running":1,"waiting":0}', 1),
        (b'{"running":1}', None),
        (b'{"running":"1","waiting":"2"}', None),
        (b'{"running":true,"waiting":0}', None),
        (b'{"running":1,"waiting":0,"born":1788242912000}', 1),
        (b'{"running":1,"waiting":0,"born":"1788242912000"}', None),
        (b'{"running":1,"waiting":0,"born":null}', None),
        (b'{}', None),
        (b'[]', None),
        (b'no json', None),
    ],
)
def test_report(body, requests):
    assert count_requests(parse_report(body)) == requests


@pytest.mark.parametrize(
    ('body', 'born'),
    [
        (b'{"running":1,"waiting":0,"born":1788242912000}', 1788242912000),
        (b'{"running":1,"waiting":0}', None),
    ],
)
def test_report_start_time(body, born):
    assert parse_report(body).born == born
