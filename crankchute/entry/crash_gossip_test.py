"""Tests of what instances tell each other of crashes with their gossip."""

import pytest

from crankchute.core.crash_history import CrashHistory
from crankchute.core.fakes import ManualClock
from crankchute.entry.crash_gossip import CrashGossip
from crankchute.proto import peer_pb2

CULPRIT = 7
NAMES = ('a', 'b', 'c')


class World:
    """Instances that probe each other, one after the other."""

    def __init__(self):
        self.clock = ManualClock()
        self.histories = {
            name: CrashHistory(self.clock.now_ms) for name in NAMES
        }
        self.gossips = {
            name: CrashGossip(history)
            for name, history in self.histories.items()
        }
        self.told = 0

    def crash(self, name, server):
        self.clock.time_ms += 100
        now_ms = self.clock.time_ms
        self.histories[name].record_crash(server, now_ms, [CULPRIT])

    def probe(self, asker, asked):
        """Exchange gossip in both directions."""
        self._pass(asker, asked)
        self._pass(asked, asker)

    def holding(self):
        return {
            name
            for name, one in self.histories.items()
            if one.is_quarantined(CULPRIT)
        }

    def _pass(self, teller, hearer):
        gossip = peer_pb2.Gossip()
        now_ms = self.clock.time_ms
        self.gossips[teller].add_to(gossip, hearer, now_ms)
        self.told += gossip.HasField('crashes')
        copied = peer_pb2.Gossip.FromString(gossip.SerializeToString())
        self.gossips[hearer].take(copied, teller, now_ms)


@pytest.mark.parametrize('seen_by', ['aaa', 'abc', 'cab'])
def test_all_hold_what_any_of_them_saw(seen_by):
    world = World()
    for number, name in enumerate(seen_by):
        world.crash(name, f's{number}')
    for asker, asked in ('ab', 'bc', 'ca', 'ab'):
        world.probe(asker, asked)
    assert world.holding() == set(NAMES)
    before = world.told
    for asker, asked in ('ab', 'bc', 'ca'):
        world.probe(asker, asked)
    assert world.told == before


def test_nothing_is_told_while_nothing_has_crashed():
    world = World()
    world.probe('a', 'b')
    assert world.told == 0


def test_instance_that_starts_again_is_told_again():
    world = World()
    for number in range(3):
        world.crash('a', f's{number}')
    world.probe('a', 'b')
    world.histories['b'] = CrashHistory(world.clock.now_ms)
    world.gossips['b'] = CrashGossip(world.histories['b'])
    assert world.holding() == {'a'}
    world.probe('b', 'a')
    assert world.holding() == {'a', 'b'}
