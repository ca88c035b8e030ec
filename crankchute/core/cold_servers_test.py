"""Tests of which servers are cold, and of the rate that they get."""

import pytest

from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.cold_servers import ColdServers
from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import ListedServer
from crankchute.core.forward_config import PoolConfig

SERVER = 'i-1'
POOL = 'pool'
BOUNDS = ColdBounds(1.5, 5)
_COLD_START_MS = 10_000


class ColdHarness:
    """One server, and the reports of its cold time."""

    def __init__(self, bounds=BOUNDS, **figures):
        self.timers = ManualTimers()
        self.cold = ColdServers(self.timers.clock)
        self.cold.bounds = bounds
        self.cold.on_change = lambda *change: self.changes.append(change)
        self.changes = []
        figures = {
            'cold_start_ms': _COLD_START_MS,
            'cold_per_second': 26,
            **figures,
        }
        self.cold.pools = {POOL: PoolConfig(POOL, 8, None, **figures)}
        self.revision = 0

    @property
    def now_ms(self):
        return self.timers.clock.now_ms()

    @property
    def remaining_ms(self):
        return self.cold.remaining_ms(SERVER)

    def put(self, remaining_ms, *, is_new=True, is_restored=False):
        self.revision += is_new
        listed = ListedServer(
            {
                'id': SERVER,
                'kind': 'backend',
                'address': '10.0.0.1:80',
                'data_centre': 'here',
                'cold_remaining_ms': remaining_ms,
            }
        )
        listed.revision = self.revision
        listed.is_restored = is_restored
        self.cold.record_listed(listed, POOL)

    def answer(self, remaining_ms, sent_ms_ago=0):
        sent_ms = self.now_ms - sent_ms_ago
        self.cold.record_answer(SERVER, remaining_ms, sent_ms)

    def wait(self, delay_ms):
        self.timers.advance(delay_ms)


@pytest.mark.parametrize(
    ('bounds', 'figures'),
    [
        (None, {}),
        (BOUNDS, {'cold_start_ms': 0}),
        (BOUNDS, {'cold_per_second': 0}),
    ],
)
def test_nothing_is_cold_unless_configured(bounds, figures):
    """Deployments without the settings must not limit any server."""
    harness = ColdHarness(bounds, **figures)
    harness.put(5000)
    harness.answer(5000)
    assert harness.cold.rate_of(SERVER) is None
    assert not harness.cold.count()


def test_cold_time_ends_by_itself():
    """A server whose entry is not written again must not stay limited."""
    harness = ColdHarness()
    harness.put(5000)
    assert harness.cold.rate_of(SERVER) == 26
    assert harness.cold.count() == 1
    harness.wait(4999)
    assert harness.cold.rate_of(SERVER) == 26
    harness.wait(1)
    assert harness.cold.rate_of(SERVER) is None


def test_entry_that_is_read_again_does_not_extend_the_cold_time():
    """Full reads of the store would make a server cold for ever."""
    harness = ColdHarness()
    harness.put(5000)
    harness.wait(4000)
    harness.put(5000, is_new=False)
    assert harness.remaining_ms == 1000
    harness.wait(1000)
    harness.put(5000, is_new=False)
    assert not harness.remaining_ms


def test_restored_copy_changes_nothing():
    """It states a time of before; a cold server would count as warm."""
    harness = ColdHarness()
    harness.put(5000)
    harness.put(0, is_restored=True)
    assert harness.remaining_ms == 5000
    harness.put(0)
    assert not harness.remaining_ms


@pytest.mark.parametrize(
    ('reports', 'expected_ms'),
    [
        # A server becomes cold again, and warm again.
        ([('put', 0), ('put', 5000)], 5000),
        ([('put', 5000), ('put', 0)], 0),
        ([('put', 0), ('answer', 5000)], 5000),
        # An answer to a request from after the report counts.
        ([('put', 5000), ('wait', 100), ('answer', 0, 50)], 0),
        ([('answer', 5000), ('wait', 100), ('answer', 0, 50)], 0),
        # One to an earlier request may have been written before it.
        ([('put', 5000), ('wait', 100), ('answer', 0, 200)], 4900),
        ([('answer', 5000), ('wait', 100), ('answer', 0, 200)], 4900),
        # An entry is delayed by up to a second.
        ([('answer', 5000), ('wait', 900), ('put', 0)], 4100),
        ([('answer', 5000), ('wait', 1100), ('put', 0)], 0),
        # A longer time counts whatever its age.
        ([('put', 1000), ('answer', 5000, 500)], 5000),
        ([('answer', 1000), ('put', 5000)], 5000),
        # A start that is known from a report only has no entry yet.
        ([('put', None)], _COLD_START_MS),
        ([('put', None), ('put', 3000)], 3000),
    ],
)
def test_latest_report_counts_and_a_longer_time_in_doubt(reports, expected_ms):
    """A report that is overtaken must not end the cold time."""
    harness = ColdHarness()
    harness.put(0)
    harness.wait(2000)
    for name, *arguments in reports:
        getattr(harness, name)(*arguments)
    assert harness.remaining_ms == expected_ms


@pytest.mark.parametrize(
    ('delay_ms', 'report', 'expected_ms'),
    [
        (0, None, _COLD_START_MS),
        (4000, None, 6000),
        (_COLD_START_MS, None, 0),
        # An entry of this second may have been written before.
        (500, ('put', 0), 9500),
        (1500, ('put', 0), 0),
        (1500, ('put', 7000), 7000),
        (500, ('answer', 0, 100), 0),
        (500, ('answer', 0, 600), 9500),
    ],
)
def test_servers_are_cold_after_an_evacuation(delay_ms, report, expected_ms):
    """They got no requests, and their entries are of before."""
    harness = ColdHarness()
    harness.put(0)
    harness.wait(20_000)
    withdrawn_ms = harness.now_ms
    harness.cold.withdrawn_ms = {'here': withdrawn_ms}.get
    harness.wait(delay_ms)
    if report is not None:
        name, *arguments = report
        getattr(harness, name)(*arguments)
    assert harness.remaining_ms == expected_ms


def test_evacuation_of_another_data_centre_changes_nothing():
    """Its servers would be limited without a cause."""
    harness = ColdHarness()
    harness.cold.withdrawn_ms = {'elsewhere': 0}.get
    harness.put(0)
    assert not harness.remaining_ms


def test_state_ends_with_the_listing():
    """State would grow with each release that replaces all servers."""
    harness = ColdHarness()
    harness.put(5000)
    harness.cold.record_unlisted(SERVER)
    harness.answer(5000)
    assert harness.cold.rate_of(SERVER) is None
    assert not harness.cold.count()


def test_only_changes_are_reported():
    """Each entry of a server that warms up would be a log line."""
    harness = ColdHarness()
    harness.put(5000)
    for _ in range(4):
        harness.wait(1000)
        harness.put(harness.remaining_ms - 100)
    harness.put(0)
    harness.put(0)
    harness.answer(3000)
    assert harness.changes == [
        (SERVER, 5000, 'entry'),
        (SERVER, 0, 'entry'),
        (SERVER, 3000, 'answer'),
    ]


@pytest.mark.parametrize(
    ('per_second', 'overage', 'slack', 'rate'),
    [
        (26, 1.5, 5, 26),
        (1, 1.5, 5, 1),
        (0.2, 1.5, 5, 0.2),
        (300, 2, 0, 300),
        # Without room for bursts, the rate is lower.
        (26, 1.5, 0, 74 / 3),
        (26, 1, 5, 58 / 3),
        (1, 1.5, 0, 0.5 / 2.4),
        (1, 0, 0, 0),
    ],
)
def test_rate_leaves_room_for_bursts_and_partitions(
    per_second, overage, slack, rate
):
    """A cold server fails well above its rate."""
    limit = ColdBounds(overage, slack).make_limit(per_second, 0)
    assert limit.rate == pytest.approx(rate)
    allowed = per_second * overage + slack
    holders = int(limit.spread) + 1
    burst = max(holders, limit.rate * limit.burst_ms / 1000)
    if allowed >= 4:
        # Half of the instances are cut off, and hold all shares; permits are
        # used up to 200 ms late.
        assert 2 * burst + limit.rate * 1.25 * 1.2 <= allowed + 1e-6
    elif limit.rate:
        assert burst + limit.rate * 1.2 <= allowed


def test_reload_without_the_setting_ends_all_limits():
    """The known cold times must not be applied without a bound."""
    harness = ColdHarness()
    harness.put(5000)
    harness.cold.bounds = None
    assert harness.cold.rate_of(SERVER) is None
    assert not harness.cold.count()
