"""Tests of the exchange of crash records between instances."""

import pytest

from crankchute.core.crash_history import CrashHistory
from crankchute.core.fakes import ManualClock
from crankchute.entry.crash_gossip import CrashGossip
from crankchute.proto import peer_pb2

FINGERPRINT = 7
NAMES = ('a', 'b', 'c')


class Cluster:
    """Instances that exchange gossip in pairs."""

    def __init__(self):
        self.clock = ManualClock()
        self.histories = {
            name: CrashHistory(self.clock.now_ms) for name in NAMES
        }
        self.gossips = {
            name: CrashGossip(history)
            for name, history in self.histories.items()
        }
        self.messages_with_records = 0

    def crash(self, name, server):
        self.clock.time_ms += 100
        now_ms = self.clock.time_ms
        self.histories[name].record_crash(server, now_ms, [FINGERPRINT])

    def exchange(self, first, second):
        """Exchange gossip in both directions."""
        self._send(first, second)
        self._send(second, first)

    def instances_holding(self):
        return {
            name
            for name, history in self.histories.items()
            if history.is_quarantined(FINGERPRINT)
        }

    def _send(self, sender, receiver):
        gossip = peer_pb2.Gossip()
        now_ms = self.clock.time_ms
        self.gossips[sender].add_to(gossip, receiver, now_ms)
        self.messages_with_records += gossip.HasField('crashes')
        copied = peer_pb2.Gossip.FromString(gossip.SerializeToString())
        self.gossips[receiver].merge_from(copied, sender, now_ms)


@pytest.mark.parametrize('witnesses', ['aaa', 'abc', 'cab'])
def test_crashes_seen_by_different_instances_add_up(witnesses):
    cluster = Cluster()
    for number, name in enumerate(witnesses):
        cluster.crash(name, f's{number}')
    for first, second in ('ab', 'bc', 'ca', 'ab'):
        cluster.exchange(first, second)
    assert cluster.instances_holding() == set(NAMES)
    before = cluster.messages_with_records
    for first, second in ('ab', 'bc', 'ca'):
        cluster.exchange(first, second)
    assert cluster.messages_with_records == before


def test_no_records_are_sent_without_crashes():
    cluster = Cluster()
    cluster.exchange('a', 'b')
    assert cluster.messages_with_records == 0


def test_restarted_instance_receives_the_records_again():
    cluster = Cluster()
    for number in range(3):
        cluster.crash('a', f's{number}')
    cluster.exchange('a', 'b')
    cluster.histories['b'] = CrashHistory(cluster.clock.now_ms)
    cluster.gossips['b'] = CrashGossip(cluster.histories['b'])
    assert cluster.instances_holding() == {'a'}
    cluster.exchange('b', 'a')
    assert cluster.instances_holding() == {'a', 'b'}
