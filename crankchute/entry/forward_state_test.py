"""Tests of the state dump of an instance that forwards requests."""

import pytest

from crankchute.core.forward_fleet_test import make_listed
from crankchute.entry.forward_node_test import SingleInstance
from crankchute.entry.forward_state import dump_forward_node


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('instance', 'one'),
        ('home', None),
        ('servers_listed', {'revision': 0, 'proof_age_ms': None}),
    ],
)
def test_state_holds_the_value(name, expected):
    instance = SingleInstance()
    assert dump_forward_node(instance.node)[name] == expected


def test_state_holds_the_cpu_of_members():
    members = dump_forward_node(SingleInstance().node)['members']
    assert [member['strength'] for member in members] == [0]


def test_state_holds_how_long_a_refusal_counts():
    """Operators see which engines an instance leaves out, and for how long."""
    node = SingleInstance().node
    node.fleet.put(make_listed('a'))
    node.fleet.put(make_listed('b'))
    refusing = next(iter(node.fleet)).identity
    node.work_tracker.state(refusing).record_refused(1000, node.now_ms())
    left_out_ms = {
        server['server']: server['memory_refused_for_ms']
        for server in dump_forward_node(node)['servers']
    }
    assert 0 < left_out_ms.pop(refusing) <= 500
    assert not any(left_out_ms.values())


def test_state_holds_the_backoff_of_servers():
    node = SingleInstance().node
    node.fleet.pauses.request_pause('a', 60_000)
    node.fleet.put(make_listed('a'))
    node.fleet.put(make_listed('b'))
    backoff_ms = {
        server['server']: server['rests_for_ms']
        for server in dump_forward_node(node)['servers']
    }
    assert 50_000 < backoff_ms['a'] <= 60_000
    assert backoff_ms['b'] == 0
