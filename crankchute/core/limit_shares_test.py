"""Tests of the division of server limits among instances."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.limit_shares import (
    LimitShares,
    ParticipantTracker,
    Participants,
)

INSTANCES = tuple(f'entry-{number}' for number in range(8))
_WINDOW_MS = 4000
_LATER_MS = 40_000


def sum_shares(limit, instances):
    """Return the sum of the shares of all instances."""
    participants = Participants(instances)
    return sum(
        participants.share_of(instance, 'i-1', limit) for instance in instances
    )


@pytest.mark.parametrize('limit', [0, 0.25, 1, 1.5, 2, 7, 8, 100, 1_000_000])
@pytest.mark.parametrize('count', [1, 2, 3, 8])
def test_shares_add_up_to_the_whole_limit(limit, count):
    assert sum_shares(limit, INSTANCES[:count]) == pytest.approx(1)


@pytest.mark.parametrize(
    ('limit', 'holders'),
    [(0, 1), (0.5, 1), (1, 2), (2.9, 3), (8, 8), (500, 8)],
)
def test_low_limit_has_few_holders(limit, holders):
    participants = Participants(INSTANCES)
    shares = [
        participants.share_of(instance, 'i-1', limit) for instance in INSTANCES
    ]
    assert sum(share > 0 for share in shares) == holders


def test_servers_have_different_holders():
    participants = Participants(INSTANCES)
    holders = {
        instance
        for server in range(40)
        for instance in INSTANCES
        if participants.share_of(instance, f'i-{server}', 0)
    }
    assert holders == set(INSTANCES)


class SharesHarness:
    """The shares of one instance, without participants at first."""

    def __init__(self):
        self.timers = ManualTimers()
        self.shares = LimitShares(self.timers.clock, INSTANCES[0])

    @property
    def share(self):
        return self.shares.share_of('i-1', 100)


def test_larger_share_takes_effect_after_a_window():
    """The previous holder may not have seen the change yet."""
    harness = SharesHarness()
    harness.shares.update(Participants(INSTANCES[:4]))
    assert not harness.share
    harness.timers.advance(_WINDOW_MS)
    assert harness.share == 1 / 4
    harness.shares.update(Participants(INSTANCES[:2]))
    assert harness.share == 1 / 4
    harness.timers.advance(_WINDOW_MS)
    assert harness.share == 1 / 2
    # A smaller share takes effect at once.
    harness.shares.update(Participants(INSTANCES))
    assert harness.share == 1 / 8


def test_short_lived_view_does_not_enlarge_the_share():
    """An instance alone for a second does not take over other shares."""
    harness = SharesHarness()
    harness.shares.update(Participants(INSTANCES))
    harness.timers.advance(_WINDOW_MS)
    for _ in range(10):
        harness.shares.update(Participants(INSTANCES[:1]))
        harness.timers.advance(1000)
        harness.shares.update(Participants(INSTANCES))
        harness.timers.advance(1000)
        assert harness.share == 1 / 8


@pytest.mark.parametrize(
    ('unreachable_count', 'participant_count', 'share_factor'),
    [
        (0, 3, 1),
        (1, 3, 1),
        (3, 3, 1),
        # Two equal halves: neither takes over any shares.
        (4, 8, 1),
        (5, 8, 0.25),
        (7, 8, 0.25),
    ],
)
def test_minority_takes_over_no_shares(
    unreachable_count,
    participant_count,
    share_factor,
):
    """Unreachable instances may run on the other side of a partition."""
    tracker = ParticipantTracker(INSTANCES[0])
    tracker.update(INSTANCES, lambda _instance: False, 0)
    unreachable = (
        set(INSTANCES[-unreachable_count:]) if unreachable_count else set()
    )
    participants = tracker.update(
        INSTANCES[:3],
        unreachable.__contains__,
        1000,
    )
    assert len(participants.instances) == participant_count
    assert participants.share_factor == share_factor


def test_instance_inactive_for_long_is_ignored():
    tracker = ParticipantTracker(INSTANCES[0])
    tracker.update(INSTANCES, lambda _instance: False, 0)
    is_unreachable = set(INSTANCES[1:]).__contains__
    participants = tracker.update(INSTANCES[:1], is_unreachable, _LATER_MS)
    assert participants.is_same(Participants(INSTANCES[:1]))
