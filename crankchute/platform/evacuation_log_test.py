"""Tests of the log lines about evacuations of data centres."""

import pytest

from crankchute.core.evacuations import Evacuation
from crankchute.platform.published_evacuations_test import (
    Harness,
    make_harness,
)
from crankchute.platform.store_position import make_position

_GONE = 410


def record_log(monkeypatch):
    """Return a list that collects the log events with their fields."""
    lines = []
    monkeypatch.setattr(
        'crankchute.entry.evacuation_control.log_change',
        lambda name, **fields: lines.append((name, fields)),
    )
    return lines


def test_changes_are_logged_with_their_source(monkeypatch):
    lines = record_log(monkeypatch)
    harness = make_harness()
    position = make_position(1, 11)
    harness.receive(
        Evacuation('one', position, is_evacuated=False), instance='entry-3'
    )
    assert lines == [
        (
            'evacuation_requested',
            {
                'data_centre': 'one',
                'position': make_position(1, 5),
                'source': 'store',
            },
        ),
        (
            'evacuation_withdrawn',
            {
                'data_centre': 'one',
                'position': position,
                'source': 'entry-3',
            },
        ),
    ]


@pytest.mark.parametrize(
    ('key', 'is_recorded'),
    [
        ('op/evacuate/', False),
        ('op/evacuate/{0}'.format('x' * 201), False),
        ('op/evacuate/{0}'.format('é' * 200), True),
        ('op/evacuate/nowhere', True),
        ('op/evacuate/one/two', True),
    ],
)
def test_unusual_names_are_logged_once(monkeypatch, key, is_recorded):
    """A typing error must not go unnoticed, nor flood the log."""
    lines = record_log(monkeypatch)
    harness = make_harness()
    harness.list_server('one')
    harness.answer_watch({key: (11,)}, 11)
    for at in (12, 13):
        harness.call.answer({'at': at}, 1, _GONE)
        harness.answer_read({key: (11,)}, at)
        harness.control.check_names()
    findings = [
        fields for name, fields in lines if name == 'evacuation_finding'
    ]
    assert len(findings) == 1
    assert len(findings[0]['data_centre']) <= 80
    assert bool(harness.evacuated) == is_recorded


@pytest.mark.parametrize('data_centre', ['one', 'three'])
def test_known_names_are_no_finding(monkeypatch, data_centre):
    """A server or a setting names the data centre, perhaps only later."""
    lines = record_log(monkeypatch)
    harness = Harness()
    harness.answer_read({f'op/evacuate/{data_centre}': (5,)}, 10)
    assert len(lines) == 1
    harness.list_server('one')
    harness.control.check_names()
    assert len(lines) == 1
