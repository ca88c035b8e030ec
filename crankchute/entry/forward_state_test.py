"""Tests of the state of an instance as people read it."""

import pytest

from crankchute.core.forward_fleet_test import make_listed
from crankchute.entry.forward_node_test import SingleInstance
from crankchute.entry.forward_state import dump_forward_node


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('instance', 'one'),
        ('home', None),
        ('servers_listed', {'revision': 0, 'proof_age_ms': None}),
    ],
)
def test_state_tells_what_the_instance_knows(name, found):
    world = SingleInstance()
    assert dump_forward_node(world.node)[name] == found


def test_state_tells_how_strong_members_are():
    members = dump_forward_node(SingleInstance().node)['members']
    assert [one['strength'] for one in members] == [0]


def test_state_tells_which_servers_rest():
    node = SingleInstance().node
    node.fleet.rests.note('a', 60_000)
    node.fleet.put(make_listed('a'))
    node.fleet.put(make_listed('b'))
    rests_ms = {
        one['server']: one['rests_for_ms']
        for one in dump_forward_node(node)['servers']
    }
    assert 50_000 < rests_ms['a'] <= 60_000
    assert rests_ms['b'] == 0
