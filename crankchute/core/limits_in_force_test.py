"""Tests of the limits in force, and of permits under the limit of cold servers."""

import pytest

from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import ListedServer
from crankchute.core.forward_config import PoolConfig
from crankchute.core.hashing import rank_by_hash
from crankchute.core.server_rate_limits import ServerRateLimits

SERVER = 'i-1'
POOL = 'pool'
_WINDOW_MS = 4000


def make_listed(remaining_ms):
    return ListedServer(
        {
            'id': SERVER,
            'kind': 'backend',
            'address': '10.0.0.1:80',
            'data_centre': 'here',
            'cold_remaining_ms': remaining_ms,
        }
    )


class LimitsHarness:
    """An instance, and a server that may be cold and advertise a limit."""

    def __init__(self, per_second=26):
        self.timers = ManualTimers()
        self.limits = ServerRateLimits(self.timers, 'entry-0', 'boot')
        self.limits.cold.bounds = ColdBounds(1.5, 5)
        self.limits.cold.pools = {
            POOL: PoolConfig(
                POOL, 8, None, cold_start_ms=9000, cold_per_second=per_second
            )
        }
        self.probed = []
        self.limits.start(
            lambda: ['entry-0'], lambda _instance: False, self.probed.append
        )
        self.timers.advance(_WINDOW_MS)
        self._revision = 0

    @property
    def permits(self):
        return self.limits.permits

    def put(self, remaining_ms):
        self._revision += 1
        listed = make_listed(remaining_ms)
        listed.revision = self._revision
        self.limits.cold.record_listed(listed, POOL)

    def advertise(self, limit):
        now_ms = self.timers.clock.now_ms()
        self.limits.advertised.receive_answer(SERVER, limit, now_ms)

    def send_all(self, for_ms):
        """Send all requests that are permitted, and return their number."""
        sent = 0
        for _ in range(for_ms // 10):
            while self.permits.has_permit(SERVER):
                self.permits.record_sent(SERVER)
                sent += 1
            self.timers.advance(10)
        return sent


@pytest.mark.parametrize(
    ('advertised', 'remaining_ms', 'expected'),
    [
        (None, 0, None),
        (None, 5000, 26),
        (3, 0, 3),
        (3, 5000, 3),
        (100, 5000, 26),
        (0, 5000, 0),
    ],
)
def test_lower_limit_is_in_force(advertised, remaining_ms, expected):
    """Neither the server's word nor its cold time may be ignored."""
    harness = LimitsHarness()
    harness.put(remaining_ms)
    if advertised is not None:
        harness.advertise(advertised)
    assert harness.limits.in_force.limit_of(SERVER) == expected


def test_bucket_of_a_server_that_becomes_cold_starts_empty():
    """Requests sent before it was known count in the same second."""
    harness = LimitsHarness()
    harness.put(0)
    assert harness.permits.has_permit(SERVER)
    harness.put(5000)
    assert not harness.permits.has_permit(SERVER)
    assert harness.send_all(1000) in {25, 26}


@pytest.mark.parametrize('per_second', [0.5, 1, 3, 26, 200])
def test_rate_is_used_but_not_saved_up(per_second):
    """After an idle time, a burst would exceed the bound."""
    harness = LimitsHarness(per_second)
    harness.put(60_000)
    harness.timers.advance(5000)
    assert harness.send_all(1000) <= per_second * 1.2 + 2.5
    sent = harness.send_all(20_000)
    assert per_second * 20 * 0.95 - 1 <= sent <= per_second * 20 + 2


def test_messages_that_are_sent_without_a_permit_delay_requests():
    """Renewals and releases of memory would add to the rate."""
    harness = LimitsHarness()
    harness.put(60_000)
    harness.timers.advance(1000)
    for _ in range(10):
        harness.permits.record_sent(SERVER)
    assert harness.send_all(1000) <= 26 - 10 + 3


def test_helper_at_a_cold_server_needs_a_permit():
    """Reservations are not held back, and many may start at once."""
    harness = LimitsHarness()
    harness.put(60_000)
    assert not harness.permits.may_take_reservations(SERVER)
    harness.timers.advance(1000)
    assert harness.permits.may_take_reservations(SERVER)
    while harness.permits.has_permit(SERVER):
        harness.permits.record_sent(SERVER)
    assert not harness.permits.may_take_reservations(SERVER)


def test_cold_server_is_not_probed():
    """A probe asks for an advertised limit, and takes a permit."""
    harness = LimitsHarness()
    harness.put(60_000)
    harness.timers.advance(20_000)
    assert not harness.probed


class PartitionHarness:
    """Five instances that send all that they may; two are cut off for a time."""

    def __init__(self, per_second, cut_off):
        self.timers = ManualTimers()
        self.names = [f'entry-{number}' for number in range(5)]
        self.cut_off = cut_off
        self.is_partitioned = False
        self.sent_ms = []
        self.limits = [
            self.start_instance(name, per_second) for name in self.names
        ]

    def start_instance(self, name, per_second):
        limits = ServerRateLimits(self.timers, name, 'boot')
        limits.cold.bounds = ColdBounds(1.5, 5)
        limits.cold.pools = {
            POOL: PoolConfig(
                POOL, 8, None, cold_start_ms=9000, cold_per_second=per_second
            )
        }
        limits.cold.record_listed(make_listed(60_000), POOL)
        limits.start(
            lambda: [one for one in self.names if self.reaches(name, one)],
            lambda other: not self.reaches(name, other),
            lambda _server: None,
        )
        return limits

    def reaches(self, first, second):
        is_same_side = (first in self.cut_off) == (second in self.cut_off)
        return is_same_side or not self.is_partitioned

    def send_all(self, for_ms):
        for _ in range(for_ms // 10):
            for limits in self.limits:
                while limits.permits.has_permit(SERVER):
                    limits.permits.record_sent(SERVER)
                    self.sent_ms.append(self.timers.clock.now_ms())
            self.timers.advance(10)

    def max_per_second(self):
        return max(
            sum(start <= sent_ms < start + 1000 for sent_ms in self.sent_ms)
            for start in self.sent_ms
        )


@pytest.mark.parametrize('per_second', [1, 5, 26])
@pytest.mark.parametrize('first', [0, 1, 3])
def test_bound_holds_while_holders_are_cut_off(per_second, first):
    """Both sides send then; at worst, all holders are in the smaller part."""
    names = [f'entry-{number}' for number in range(5)]
    cut_off = rank_by_hash(SERVER, names)[first : first + 2]
    harness = PartitionHarness(per_second, cut_off)
    harness.send_all(8000)
    for is_partitioned in (True, False):
        harness.is_partitioned = is_partitioned
        harness.timers.advance(700)
        harness.send_all(8000)
    assert harness.max_per_second() <= per_second * 1.5 + 5
    assert len(harness.sent_ms) > per_second * 24 * 0.5
