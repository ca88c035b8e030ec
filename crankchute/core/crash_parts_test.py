"""Tests that crashes are attributed to parts of prompts."""

import copy
import random
from itertools import permutations

import pytest

from crankchute.core.crash_history import CrashHistory
from crankchute.core.fakes import ManualClock
from crankchute.core.quarantines import RETENTION_MS

_POOL = 'pool'
_CULPRIT = 1
_SECOND_CULPRIT = 2
_COMMON = 3
_RARE = 4
_FREQUENT = (5, 6, 7, 8)
_DELAY_MS = 5


class World:
    """Histories of several instances on one clock."""

    def __init__(self, count=1, earlier=40):
        """Create the histories; their servers have answered some requests."""
        self.clock = ManualClock()
        self.histories = [CrashHistory(self.clock.now_ms) for _ in range(count)]
        self._requests = 1000
        for _ in range(earlier):
            for at in range(count):
                self.answer(at=at)

    def crash(self, *parts, server=None, at=0, pause_ms=100, bystanders=2):
        """Crash a server that ran one request with some parts, and others."""
        self.clock.time_ms += pause_ms
        self._requests += bystanders + 1
        requests = range(self._requests - bystanders, self._requests + 1)
        self.histories[at].record_crash(
            server or f's{self._requests}',
            self.clock.time_ms,
            requests,
            parts={_COMMON, *parts},
            pool=_POOL,
        )

    def answer(self, *parts, at=0, pool=_POOL):
        """Answer a request; without parts one that has usual ones."""
        self.clock.time_ms += 10
        self._requests += 1
        usual_parts = (_COMMON, _FREQUENT[self._requests % len(_FREQUENT)])
        self.histories[at].record_answered(self._requests)
        self.histories[at].record_parts_answered(
            parts or usual_parts, pool, self.clock.time_ms
        )

    def exchange(self):
        """Send all histories to all others, twice."""
        pairs = list(permutations(range(len(self.histories)), 2))
        for sender, receiver in pairs * 2:
            report = copy.deepcopy(self.histories[sender].make_report())
            for crash in report.crashes:
                crash.at_ms += _DELAY_MS
            self.histories[receiver].merge_report(report)

    def is_held(self, *parts, at=0):
        """Return whether a new request with some parts is not sent."""
        self._requests += 1
        return self.histories[at].is_quarantined(
            self._requests, _COMMON, *parts
        )


@pytest.mark.parametrize('answers', [0, 1, 5])
def test_part_that_crashes_servers_is_quarantined(answers):
    """With or without answers to others between the crashes."""
    world = World()
    for _ in range(4):
        world.crash(_CULPRIT)
        for _ in range(answers):
            world.answer()
    assert world.is_held(_CULPRIT)
    assert not world.is_held()
    assert not world.is_held(_FREQUENT[0])


@pytest.mark.parametrize('interval_ms', [1, 4, 8, 25])
def test_attempts_that_crash_servers_within_milliseconds_count_once(
    interval_ms,
):
    """Each one was sent after the crash before."""
    world = World()
    history = world.histories[0]
    for number in range(5):
        sent_ms = world.clock.time_ms + 0.1
        world.clock.time_ms += interval_ms
        history.record_crash(
            f's{number}',
            world.clock.time_ms,
            [9000 + number],
            {9000 + number: sent_ms, _COMMON: sent_ms, _CULPRIT: sent_ms},
            parts={_COMMON, _CULPRIT},
            pool=_POOL,
        )
    assert world.is_held(_CULPRIT)
    assert not world.is_held()


@pytest.mark.parametrize('rare', [_RARE, _CULPRIT - 1])
def test_part_is_quarantined_although_a_rare_one_comes_with_it(rare):
    world = World()
    for _ in range(5):
        world.crash(_CULPRIT, rare)
        world.answer()
    assert world.is_held(_CULPRIT, rare)
    assert not world.is_held(rare)
    world.answer(_COMMON, rare)
    assert world.is_held(_CULPRIT)
    assert not world.is_held(rare)


def test_two_parts_that_crash_servers_at_once_are_quarantined():
    world = World()
    for _ in range(5):
        world.crash(_CULPRIT)
        world.crash(_SECOND_CULPRIT)
        world.answer()
        world.answer()
    assert world.is_held(_CULPRIT)
    assert world.is_held(_SECOND_CULPRIT)
    assert not world.is_held()


@pytest.mark.parametrize('is_answered', [False, True])
def test_frequent_sound_parts_hide_two_that_crash_servers(is_answered):
    """They are at more of the crashes than either."""
    world = World()
    for number in range(6):
        world.crash(_CULPRIT, _FREQUENT[number % 2])
        world.crash(_SECOND_CULPRIT, _FREQUENT[number % 2])
        if is_answered:
            world.answer(_COMMON)
    assert world.is_held(_CULPRIT)
    assert world.is_held(_SECOND_CULPRIT)
    assert not any(world.is_held(part) for part in _FREQUENT)


def test_part_that_was_sound_before_is_quarantined():
    world = World()
    for _ in range(10):
        world.answer(_COMMON, _CULPRIT)
        world.answer()
    world.clock.time_ms += 1000
    for _ in range(12):
        world.crash(_CULPRIT, bystanders=0)
        world.answer()
    assert world.is_held(_CULPRIT)


def test_answers_to_requests_sent_before_the_crashes_clear_a_part():
    """It begins to crash servers while they are in progress."""
    world = World()
    for _ in range(5):
        world.answer(_COMMON, _CULPRIT)
    sent_ms = world.clock.time_ms
    for _ in range(12):
        world.crash(_CULPRIT, bystanders=0)
        world.answer()
        world.histories[0].record_parts_answered(
            (_COMMON, _CULPRIT), _POOL, sent_ms
        )
    assert world.is_held(_CULPRIT)
    world.answer(_COMMON, _CULPRIT)
    assert not world.is_held(_CULPRIT)


def test_part_of_another_pool_does_not_clear_it():
    """The answers of another pool say nothing of the servers of this one."""
    world = World(earlier=0)
    for _ in range(40):
        world.answer(_RARE, pool='other')
    for _ in range(12):
        world.crash(_CULPRIT)
    assert not world.is_held(_CULPRIT)


@pytest.mark.parametrize('earlier', [0, 3, 20, 200])
@pytest.mark.parametrize('seed', range(10))
def test_shared_part_is_not_quarantined_while_all_servers_fail(earlier, seed):
    """One part is in every prompt, others in a quarter of them."""
    world = World(earlier=earlier)
    choose = random.Random(seed).choices
    for _ in range(60):
        world.crash(*choose(_FREQUENT, k=3), pause_ms=30)
    assert not world.is_held()
    assert not any(world.is_held(part) for part in _FREQUENT)
    world.clock.time_ms += 5000
    world.answer()
    assert not world.is_held()
    assert not any(world.is_held(part) for part in _FREQUENT)


def test_part_of_racks_that_lose_power_is_not_quarantined():
    world = World()
    for rack in range(6):
        world.clock.time_ms += 2000
        for _ in range(8):
            world.crash(_FREQUENT[rack % 4], pause_ms=1)
        world.answer()
    assert not any(world.is_held(part) for part in _FREQUENT)
    assert not world.is_held()


def test_many_rare_parts_hide_the_cause_only_briefly():
    """Each request has parts of its own, in any number."""
    world = World()
    for number in range(8):
        own_parts = range(10_000 + 50 * number, 10_050 + 50 * number)
        world.crash(_CULPRIT, *own_parts)
        world.answer()
    assert world.is_held(_CULPRIT)
    assert (
        max(len(one.parts) for one in world.histories[0].make_report().crashes)
        <= 96
    )


@pytest.mark.parametrize('at', [(0, 1, 2, 0, 1), (0, 0, 0, 0, 0)])
def test_instances_agree_on_parts(at):
    """Also one that has answered nothing."""
    world = World(count=3)
    world.histories.append(CrashHistory(world.clock.now_ms))
    for instance in at:
        world.crash(_CULPRIT, at=instance)
        world.answer(at=instance)
        world.exchange()
    assert all(world.is_held(_CULPRIT, at=number) for number in range(4))
    assert not any(world.is_held(at=number) for number in range(4))
    assert len({one.digest for one in world.histories}) == 1


@pytest.mark.parametrize('is_answered', [True, False])
def test_quarantined_part_is_tried_every_ten_minutes(is_answered):
    """One request; if it is answered, the part is sent again everywhere."""
    world = World(count=2)
    for _ in range(5):
        world.crash(_CULPRIT)
        world.answer()
    world.exchange()
    first, second = world.histories
    suspects = (9999, _COMMON, _CULPRIT)
    assert not first.claim_trial(suspects, 'r1')
    for _ in range(3):
        world.clock.time_ms += RETENTION_MS / 3
        assert all(world.is_held(_CULPRIT, at=at) for at in (0, 1))
    assert first.claim_trial(suspects, 'r2')
    # Instances send each other their histories only if the digests differ.
    assert first.digest != second.digest
    assert not first.claim_trial(suspects, 'r3')
    assert first.claim_trial(suspects, 'r2')
    world.exchange()
    assert not second.claim_trial(suspects, 'r4')
    if is_answered:
        first.record_parts_answered(
            (_COMMON, _CULPRIT), _POOL, world.clock.time_ms
        )
        world.exchange()
    else:
        first.end_trial('r2')
        assert not first.claim_trial(suspects, 'r2')
    assert world.is_held(_CULPRIT, at=0) != is_answered
    assert world.is_held(_CULPRIT, at=1) != is_answered


def test_single_request_is_not_tried():
    world = World()
    history = world.histories[0]
    for number in range(3):
        world.clock.time_ms += 100
        history.record_crash(f's{number}', world.clock.time_ms, [9999])
    for _ in range(3):
        world.clock.time_ms += RETENTION_MS / 2
        assert history.is_quarantined(9999)
    assert not history.claim_trial((9999,), 'r1')
