"""Tests of membership: dissemination, failures, refutation, partitions."""

import pytest

from bench.fake_network import build_network, make_member
from crankchute.core.membership import Status


def _run_rounds(network, rounds):
    for _ in range(rounds):
        network.run_round()


@pytest.mark.parametrize('size', [3, 12, 40])
def test_update_reaches_all_members(size):
    network = build_network(size)
    network.nodes['entry-0000'].update_own(draining=True)
    _run_rounds(network, 12)
    records = [node.get('entry-0000') for node in network.nodes.values()]
    assert all(member.draining for member in records)


@pytest.mark.parametrize('size', [3, 12, 40])
def test_failed_member_is_declared_dead_then_removed(size):
    network = build_network(size)
    network.dead.add('entry-0001')
    _run_rounds(network, 30)
    for name, node in network.nodes.items():
        if name not in network.dead:
            assert node.get('entry-0001').status == Status.DEAD
    _run_rounds(network, 90)
    assert network.nodes['entry-0000'].get('entry-0001') is None


def test_isolated_member_refutes_suspicion_after_return():
    network = build_network(8)
    network.dead.add('entry-0001')
    _run_rounds(network, 12)
    network.dead.clear()
    _run_rounds(network, 30)
    records = [node.get('entry-0001') for node in network.nodes.values()]
    assert all(member.status == Status.ALIVE for member in records)


def test_partition_heals_after_members_were_removed():
    network = build_network(8)
    names = sorted(network.nodes)
    network.cut = (set(names[:4]), set(names[4:]))
    _run_rounds(network, 120)
    assert len(network.nodes[names[0]]) == 4
    network.cut = None
    _run_rounds(network, 40)
    assert all(len(node.live_members()) == 8 for node in network.nodes.values())


def test_record_of_restarted_process_replaces_previous_one():
    network = build_network(5)
    restarted = make_member(2)
    restarted.boot = 'another'
    restarted.incarnation += 1
    network.nodes['entry-0000'].merge([restarted])
    _run_rounds(network, 10)
    boots = [
        node.get('entry-0002').boot
        for name, node in network.nodes.items()
        if name != 'entry-0002'
    ]
    assert len(set(boots)) == 1


def test_number_of_updates_per_message_is_bounded():
    network = build_network(60)
    for node in network.nodes.values():
        node.update_own(draining=True)
    node = network.nodes['entry-0000']
    _run_rounds(network, 2)
    assert len(node.collect_updates()) <= 13
