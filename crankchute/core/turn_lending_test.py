"""Tests of the lending of turns at servers with limits."""

import random

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.limit_desk import LimitDesk
from crankchute.core.turn_lending import TurnBorrower, TurnOffer, lend_turn

_WINDOW_MS = 4000
_ACTIVE = ('entry-0', 'entry-1', 'entry-2')


class World:
    """An instance that divides limits with two others."""

    def __init__(self, own, active=_ACTIVE):
        self.timers = ManualTimers()
        self.desk = LimitDesk(self.timers, own, 'boot')
        self.desk.start(lambda: active, lambda _one: False, lambda _one: None)
        self.borrower = TurnBorrower(
            self.timers.clock,
            random.Random(1),
            self.desk,
            own,
        )
        self.timers.advance(_WINDOW_MS)

    def name(self, **limits):
        for server, limit in limits.items():
            now_ms = self.timers.clock.now_ms()
            self.desk.words.take(server, limit, now_ms)


def test_turns_are_lent_where_most_are_left_and_counted():
    world = World('entry-0', ['entry-0'])
    world.name(a=1, b=10)
    turns = world.desk.turns
    offers = [lend_turn(turns, ['a', 'b']).server for _ in range(7)]
    assert offers == ['b', 'b', 'b', 'b', 'a', 'b', None]
    assert lend_turn(turns, ['a', 'b']).wait_ms == pytest.approx(100)
    assert lend_turn(turns, []).server is None


def test_borrowed_turn_is_good_for_one_request():
    world = World('elsewhere')
    world.name(a=1)
    turns = world.desk.turns
    assert not turns.has_turn('a')
    assert world.borrower.take('entry-1', TurnOffer('a')) == 'a'
    assert turns.has_turn('a')
    turns.note_sent('a')
    assert not turns.has_turn('a')
    world.borrower.take('entry-1', TurnOffer('a'))
    turns.give_back('a')
    turns.give_back(None)
    assert not turns.has_turn('a')


def test_holders_are_asked_and_not_again_at_once():
    world = World('elsewhere')
    world.name(a=100, b=0)
    assert set(world.borrower.list_lenders(['a'])) == set(_ACTIVE)
    # Nobody has a turn where a server takes nothing.
    assert not world.borrower.list_lenders(['b'])
    assert world.borrower.take('entry-1', None) is None
    assert world.borrower.take('entry-2', TurnOffer(None, 100)) is None
    assert world.borrower.list_lenders(['a']) == ['entry-0']
    world.timers.advance(100)
    assert set(world.borrower.list_lenders(['a'])) == {'entry-0', 'entry-2'}
    world.timers.advance(_WINDOW_MS)
    assert set(world.borrower.list_lenders(['a'])) == set(_ACTIVE)
