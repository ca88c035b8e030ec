"""Tests of membership: news, deaths, refutations, cuts that heal."""

import pytest

from bench.fake_network import build_network, make_member
from crankchute.core.membership import Status


def _run(network, rounds):
    for _ in range(rounds):
        network.run_round()


@pytest.mark.parametrize('size', [3, 12, 40])
def test_news_reaches_everyone(size):
    """A draining node is known as such by all after a few rounds."""
    network = build_network(size)
    network.nodes['entry-0000'].announce(draining=True)
    _run(network, 12)
    views = [node.get('entry-0000') for node in network.nodes.values()]
    assert all(member.draining for member in views)


@pytest.mark.parametrize('size', [3, 12, 40])
def test_death_is_noticed_by_everyone(size):
    """A node that answers nobody is dead for all, and later forgotten."""
    network = build_network(size)
    network.dead.add('entry-0001')
    _run(network, 30)
    for name, node in network.nodes.items():
        if name not in network.dead:
            assert node.get('entry-0001').status == Status.DEAD
    _run(network, 90)
    assert network.nodes['entry-0000'].get('entry-0001') is None


def test_returning_node_is_alive_again():
    """A node that was cut off refutes what was said of it."""
    network = build_network(8)
    network.dead.add('entry-0001')
    _run(network, 12)
    network.dead.clear()
    _run(network, 30)
    views = [node.get('entry-0001') for node in network.nodes.values()]
    assert all(member.status == Status.ALIVE for member in views)


def test_halves_meet_again_after_a_long_cut():
    """Two sides that forgot each other find each other when a cut heals."""
    network = build_network(8)
    names = sorted(network.nodes)
    network.cut = (set(names[:4]), set(names[4:]))
    _run(network, 120)
    assert len(network.nodes[names[0]]) == 4
    network.cut = None
    _run(network, 40)
    assert all(
        len(node.believed_alive()) == 8 for node in network.nodes.values()
    )


def test_restarted_node_replaces_its_former_life():
    """A higher incarnation with another boot id wins."""
    network = build_network(5)
    reborn = make_member(2)
    reborn.boot = 'another'
    reborn.incarnation += 1
    network.nodes['entry-0000'].merge([reborn])
    _run(network, 10)
    views = [
        node.get('entry-0002').boot
        for name, node in network.nodes.items()
        if name != 'entry-0002'
    ]
    assert len(set(views)) == 1


def test_messages_stay_bounded():
    """What rides on a probe does not grow with the fleet."""
    network = build_network(60)
    for node in network.nodes.values():
        node.announce(draining=True)
    node = network.nodes['entry-0000']
    _run(network, 2)
    assert len(node.collect_updates()) <= 13
