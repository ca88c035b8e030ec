"""Tests of how instances divide the limits of servers."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.limit_shares import LimitShares, SharerFinder, Sharers

NAMES = tuple(f'entry-{number}' for number in range(8))
_WINDOW_MS = 4000
_LATER_MS = 40_000


def sum_parts(limit, instances):
    """Return which part of a limit instances use together."""
    sharers = Sharers(instances)
    return sum(sharers.part_of(one, 'i-1', limit) for one in instances)


@pytest.mark.parametrize('limit', [0, 0.25, 1, 1.5, 2, 7, 8, 100, 1_000_000])
@pytest.mark.parametrize('count', [1, 2, 3, 8])
def test_parts_add_up_to_the_whole(limit, count):
    assert sum_parts(limit, NAMES[:count]) == pytest.approx(1)


@pytest.mark.parametrize(
    ('limit', 'holders'),
    [(0, 1), (0.5, 1), (1, 2), (2.9, 3), (8, 8), (500, 8)],
)
def test_what_is_little_has_few_holders(limit, holders):
    sharers = Sharers(NAMES)
    parts = [sharers.part_of(one, 'i-1', limit) for one in NAMES]
    assert sum(part > 0 for part in parts) == holders


def test_servers_have_different_holders():
    sharers = Sharers(NAMES)
    held = {
        one
        for server in range(40)
        for one in NAMES
        if sharers.part_of(one, f'i-{server}', 0)
    }
    assert held == set(NAMES)


class World:
    """The shares of one instance, which is the only one at first."""

    def __init__(self):
        self.timers = ManualTimers()
        self.shares = LimitShares(self.timers.clock, NAMES[0])

    @property
    def part(self):
        return self.shares.part_of('i-1', 100)


def test_part_counts_once_it_has_stood_for_a_window():
    """Whoever had it before may not have heard of the change."""
    world = World()
    world.shares.note(Sharers(NAMES[:4]))
    assert not world.part
    world.timers.advance(_WINDOW_MS)
    assert world.part == 1 / 4
    world.shares.note(Sharers(NAMES[:2]))
    assert world.part == 1 / 4
    world.timers.advance(_WINDOW_MS)
    assert world.part == 1 / 2
    # What is given up is given up at once.
    world.shares.note(Sharers(NAMES))
    assert world.part == 1 / 8


def test_view_that_lasts_for_a_moment_gives_nothing():
    """One that knows nobody for a second does not take what others have."""
    world = World()
    world.shares.note(Sharers(NAMES))
    world.timers.advance(_WINDOW_MS)
    for _ in range(10):
        world.shares.note(Sharers(NAMES[:1]))
        world.timers.advance(1000)
        world.shares.note(Sharers(NAMES))
        world.timers.advance(1000)
        assert world.part == 1 / 8


@pytest.mark.parametrize(
    ('lost', 'members', 'part'),
    [
        (0, 3, 1),
        (1, 3, 1),
        (3, 3, 1),
        # As many are lost as are left: nobody takes anything over.
        (4, 8, 1),
        (5, 8, 0.25),
        (7, 8, 0.25),
    ],
)
def test_who_lost_most_of_the_others_takes_nothing_over(lost, members, part):
    """It cannot tell whether they are gone, or it is cut off itself."""
    finder = SharerFinder(NAMES[0])
    finder.find(NAMES, lambda _one: False, 0)
    gone = set(NAMES[-lost:]) if lost else set()
    sharers = finder.find(NAMES[:3], gone.__contains__, 1000)
    assert len(sharers.instances) == members
    assert sharers.part == part


def test_who_was_lost_long_ago_counts_no_more():
    finder = SharerFinder(NAMES[0])
    finder.find(NAMES, lambda _one: False, 0)
    is_lost = set(NAMES[1:]).__contains__
    sharers = finder.find(NAMES[:1], is_lost, _LATER_MS)
    assert sharers.is_same(Sharers(NAMES[:1]))
