"""Tests of which requests are blamed for the ends of servers."""

import pytest

from crankchute.core.crash_blame import find_culprits
from crankchute.core.crash_news import Crash

CULPRIT = 1
OTHER = 2
THIRD = 3
RIDERS = (11, 12, 13, 14)


def make_crashes(*rows):
    """Return Crashes of pairs of a time and what was in progress."""
    return [
        Crash(f's{number}', at_ms, requests)
        for number, (at_ms, requests) in enumerate(rows)
    ]


@pytest.mark.parametrize(
    ('rows', 'culprits'),
    [
        # Alone, and as often as it takes.
        ([(0, {CULPRIT}), (100, {CULPRIT})], set()),
        ([(0, {CULPRIT}), (100, {CULPRIT}), (200, {CULPRIT})], {CULPRIT}),
        # With others that were there once.
        (
            [
                (0, {CULPRIT, *RIDERS[:2]}),
                (100, {CULPRIT, RIDERS[2]}),
                (200, {CULPRIT, RIDERS[3]}),
            ],
            {CULPRIT},
        ),
        # One that rode along twice may be the cause of those two.
        (
            [
                (0, {CULPRIT, OTHER}),
                (100, {CULPRIT, OTHER}),
                (200, {CULPRIT}),
            ],
            set(),
        ),
        (
            [
                (0, {CULPRIT, OTHER}),
                (100, {CULPRIT, OTHER}),
                (200, {CULPRIT}),
                (300, {CULPRIT}),
            ],
            {CULPRIT},
        ),
        # Two that were always together cannot be told apart.
        ([(at, {CULPRIT, OTHER}) for at in (0, 100, 200, 300)], set()),
        # One that rode along twice and met another end besides.
        (
            [
                (0, {CULPRIT, OTHER}),
                (100, {CULPRIT, OTHER}),
                (5000, {OTHER}),
            ],
            set(),
        ),
        # Many servers lose power at the same moment, again and again.
        (
            [
                (start + number, {OTHER if number == 1 else 20 + number})
                for start in (0, 5000, 10_000)
                for number in range(4)
            ],
            set(),
        ),
        # Copies of one request end several servers at the same moment: one sign.
        (
            [(start, {CULPRIT}) for start in (0, 1, 2, 5000, 5001, 9000)],
            {CULPRIT},
        ),
        ([(start, {CULPRIT}) for start in (0, 1, 2, 3, 4, 5)], set()),
        # Ends that follow each other without a pause are not one end.
        ([(number * 10, {CULPRIT}) for number in range(12)], {CULPRIT}),
        ([(number * 7, {CULPRIT}) for number in range(12)], {CULPRIT}),
        # Two culprits at the same time.
        (
            [
                (number * 100, {CULPRIT} if number % 2 else {THIRD})
                for number in range(6)
            ],
            {CULPRIT, THIRD},
        ),
    ],
)
def test_culprits(rows, culprits):
    assert find_culprits(make_crashes(*rows)) == culprits
    assert find_culprits(make_crashes(*reversed(rows))) == culprits


def make_attempts(*rows):
    """Return Crashes of a time and of when each request there was sent."""
    return [
        Crash(f's{number}', at_ms, begun_ms, begun_ms)
        for number, (at_ms, begun_ms) in enumerate(rows)
    ]


@pytest.mark.parametrize(
    ('rows', 'culprits'),
    [
        # Each attempt was sent after the end before it, however soon.
        (
            [(0, {CULPRIT: -5}), (4, {CULPRIT: 1}), (9, {CULPRIT: 5})],
            {CULPRIT},
        ),
        ([(0, {CULPRIT: -5}), (4, {CULPRIT: 1})], set()),
        # Sent at the moment of an end, it may have been sent before it.
        ([(at, {CULPRIT: at}) for at in (0, 0, 0, 0)], set()),
        # Attempts that were under way together end together.
        (
            [(0, {CULPRIT: -5}), (4, {CULPRIT: -4}), (9, {CULPRIT: -3})],
            set(),
        ),
        (
            [
                (0, {CULPRIT: -5}),
                (1, {CULPRIT: -4}),
                (5, {CULPRIT: 2}),
                (9, {CULPRIT: 2}),
                (14, {CULPRIT: 6}),
            ],
            {CULPRIT},
        ),
        # One that was under way at two of them rides along.
        (
            [
                (0, {CULPRIT: -5, OTHER: -9}),
                (4, {CULPRIT: 1, OTHER: -8}),
                (9, {CULPRIT: 5, OTHER: -7}),
            ],
            {CULPRIT},
        ),
        (
            [
                (0, {CULPRIT: -5, OTHER: -9}),
                (4, {CULPRIT: 1, OTHER: 2}),
                (9, {CULPRIT: 5, OTHER: 5}),
            ],
            set(),
        ),
        # A rack loses power, and what ended at its first server was sent on
        # to the next one meanwhile.
        (
            [
                (0, {CULPRIT: -5}),
                (1, {CULPRIT: 0.5}),
                (1.5, {OTHER: -60}),
                (2, {THIRD: -70}),
            ],
            set(),
        ),
    ],
)
def test_attempt_that_began_after_an_end_is_another_end(rows, culprits):
    """On a fast machine a request ends its server within some milliseconds.

    Its ends all counted for one with the first: 7 or 8 engines of 12 ended
    after all instances knew of the third, where three more are allowed.
    """
    assert find_culprits(make_attempts(*rows)) == culprits
    assert find_culprits(make_attempts(*reversed(rows))) == culprits
