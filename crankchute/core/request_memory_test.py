"""Tests of the decisions about requests that need memory."""

import pytest

from crankchute.core.request_claim import Decision, MemoryClaim
from crankchute.core.request_memory import (
    SMALL_BYTES,
    WAITING_BYTES,
    RequestMemory,
)

_MEMORY = 320 * 1_048_576
_LARGE_LIMIT = _MEMORY // 4
_SIZE = 4_000_000
_WORK_MS = 2000
_DEADLINE_MS = 10_000


class Burst:
    """Requests in memory, and the time."""

    def __init__(self, memory=_MEMORY):
        self.memory = RequestMemory(memory)
        self.now_ms = 0
        self.decisions = []

    def claim(self, size=_SIZE, owner='a', **options):
        """Claim memory for a large request; return the claim."""
        deadline_ms = self.now_ms + options.pop('allowed_ms', _DEADLINE_MS)
        claim = MemoryClaim(owner, self.now_ms, deadline_ms)
        decision = self.memory.claim_large(claim, size, self.now_ms, **options)
        self.decisions.append(decision)
        return claim

    def fill(self, owner='a'):
        """Claim memory until a request waits; return those that do not."""
        claims = []
        while Decision.WAITS not in self.decisions:
            claims.append(self.claim(owner=owner))
        return claims[:-1]

    def serve(self, claim):
        """Let a request arrive whole, and end."""
        claim.record_progress(self.now_ms, is_complete=True)
        self.memory.release(claim, self.now_ms)


@pytest.mark.parametrize(
    ('count', 'size'),
    [(29, 4_190_000), (87, 1_400_000), (174, 700_000), (2000, 70_000)],
)
def test_bursts_reserve_no_more_than_the_limit(count, size):
    """Guards against a burst of requests that exceeds the memory."""
    burst = Burst()
    for number in range(count):
        burst.claim(size, owner=str(number))
    memory = burst.memory
    assert memory.used <= _LARGE_LIMIT
    assert len(memory.waiting) * WAITING_BYTES <= _MEMORY // 16
    granted = burst.decisions.count(Decision.GRANTED)
    assert granted == min(count, _LARGE_LIMIT // size)


def test_small_requests_are_accepted_while_large_ones_wait():
    """Guards against bookings that wait behind long prompts."""
    burst = Burst()
    for number in range(100):
        burst.claim(owner=str(number))
    assert burst.memory.waiting
    for _ in range(300):
        claim = MemoryClaim(None, 0, _DEADLINE_MS)
        decision = burst.memory.claim_small(claim, SMALL_BYTES)
        assert decision == Decision.GRANTED


def test_small_requests_are_bounded():
    """Guards against many small requests that exceed the memory."""
    memory = RequestMemory(_MEMORY)
    decisions = [
        memory.claim_small(MemoryClaim(None, 0, 1), SMALL_BYTES)
        for _ in range(3000)
    ]
    assert decisions[-1] == Decision.REFUSED
    assert memory.used <= memory.limit


def test_waiting_request_is_granted_when_memory_is_free():
    """Guards against a request that waits though it fits."""
    burst = Burst()
    claims = burst.fill()
    waiting = burst.memory.waiting
    burst.now_ms = _WORK_MS
    assert not burst.memory.grant_waiting(burst.now_ms)
    burst.serve(claims[0])
    assert burst.memory.grant_waiting(burst.now_ms) == list(waiting)


def test_caller_with_many_requests_leaves_memory_to_others():
    """Guards against one caller that takes all of the memory."""
    burst = Burst()
    burst.fill('many')
    other = burst.claim(owner='few')
    assert not other.waits or burst.memory.grant_waiting(0) == [other]


def test_caller_with_least_memory_is_next():
    """Guards against a queue in which one caller delays the others."""
    burst = Burst()
    claims = burst.fill('many')
    for _ in range(5):
        burst.claim(owner='many')
    while len(burst.memory.waiting) < 10:
        burst.claim(owner='few')
        burst.memory.grant_waiting(0)
    few = [one for one in burst.memory.waiting if one.owner == 'few']
    burst.serve(claims[0])
    assert burst.memory.grant_waiting(0) == few[:1]


@pytest.mark.parametrize(
    ('allowed_ms', 'decision'),
    [
        (2 * _WORK_MS + 100, Decision.WAITS),
        (2 * _WORK_MS - 100, Decision.REFUSED),
    ],
)
def test_request_that_would_be_late_is_refused_at_once(allowed_ms, decision):
    """Guards against a request that waits in vain."""
    burst = Burst()
    first = burst.claim()
    burst.now_ms = _WORK_MS
    burst.serve(first)
    burst.fill()
    burst.memory.release(burst.memory.waiting[0], burst.now_ms)
    burst.claim(allowed_ms=allowed_ms)
    assert burst.decisions[-1] == decision


def test_waiting_request_is_refused_when_it_becomes_late():
    """Guards against a refusal that comes at the deadline only."""
    burst = Burst()
    burst.fill()
    half_ms = _DEADLINE_MS // 2
    assert not burst.memory.list_hopeless(half_ms)
    assert burst.memory.list_hopeless(half_ms + 1) == list(burst.memory.waiting)


def test_request_over_the_limit_is_refused_for_good():
    """Guards against a request that waits for memory that never exists."""
    burst = Burst(memory=8_000_000)
    burst.claim(1_800_000)
    assert burst.decisions == [Decision.TOO_LARGE]
    assert not burst.memory.used


def test_request_that_may_not_wait_is_refused():
    """Guards against instances that wait for each other's memory."""
    burst = Burst()
    burst.fill()
    burst.claim(may_wait=False)
    assert burst.decisions[-1] == Decision.REFUSED


@pytest.mark.parametrize(
    ('idle_ms', 'is_complete', 'is_ended'),
    [(999, False, False), (1000, False, True), (5000, True, False)],
)
def test_stalled_request_is_ended_for_one_that_waits(
    idle_ms, is_complete, is_ended
):
    """Guards against senders that stop and keep their memory."""
    burst = Burst()
    claims = burst.fill()
    now_ms = 9000
    for claim in claims:
        claim.record_progress(now_ms, is_complete=True)
    claims[3].record_progress(now_ms - idle_ms, is_complete=is_complete)
    expected = claims[3] if is_ended else None
    assert burst.memory.find_stalled(now_ms) is expected
    burst.memory.release(burst.memory.waiting[0], now_ms)
    assert burst.memory.find_stalled(now_ms) is None


def test_incomplete_request_ends_at_its_deadline():
    """Guards against slow senders that keep the memory of others."""
    burst = Burst()
    slow, complete = burst.claim(), burst.claim()
    complete.record_progress(0, is_complete=True)
    assert not burst.memory.list_late(_DEADLINE_MS)
    assert burst.memory.list_late(_DEADLINE_MS + 1) == [slow]


def test_request_of_unknown_length_returns_its_surplus():
    """Guards against reservations that exceed complete requests."""
    burst = Burst()
    claim = burst.claim(_SIZE)
    burst.memory.shrink(claim, 100_000)
    assert burst.memory.used == 100_000
    burst.serve(claim)
    assert not burst.memory.used
