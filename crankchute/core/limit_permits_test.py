"""Tests of permits to send requests to servers with limits."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.server_rate_limits import ServerRateLimits

SERVER = 'i-1'
_WINDOW_MS = 4000
_FACTOR = 1.5
_SLACK = 5


class LimitHarness:
    """An instance and one server; by default it has the whole limit."""

    def __init__(self, holder='entry-0'):
        self.timers = ManualTimers()
        self.limits = ServerRateLimits(self.timers, 'entry-0', 'boot')
        self.probed_ms = []
        self.sent_ms = []
        self.limits.start(
            lambda: [holder],
            lambda _instance: False,
            self.on_probe,
        )
        self.timers.advance(_WINDOW_MS)

    @property
    def now_ms(self):
        return self.timers.clock.now_ms()

    def on_probe(self, _server):
        self.probed_ms.append(self.now_ms)
        self.send()

    def send(self):
        self.sent_ms.append(self.now_ms)
        self.limits.permits.record_sent(SERVER)

    def advertise(self, limit):
        self.limits.advertised.receive_answer(SERVER, limit, self.now_ms)

    def send_all(self, for_ms):
        """Send all requests that are permitted, every 10 ms."""
        for _ in range(for_ms // 10):
            while self.limits.permits.has_permit(SERVER):
                self.send()
            self.timers.advance(10)

    def max_per_window(self):
        """Return the greatest number of requests sent in any window."""
        return max(
            sum(
                start_ms <= sent_ms < start_ms + _WINDOW_MS
                for sent_ms in self.sent_ms
            )
            for start_ms in self.sent_ms
        )


@pytest.mark.parametrize('limit', [0.25, 0.5, 1, 2.5, 10, 100])
@pytest.mark.parametrize('pause_ms', [0, 500, 3900, 4100, 60_000])
def test_limit_holds_in_every_window(limit, pause_ms):
    """Also after an idle period; and nearly the whole limit is used."""
    harness = LimitHarness()
    harness.advertise(limit)
    harness.send_all(12_000)
    harness.timers.advance(pause_ms)
    sent_before = len(harness.sent_ms)
    harness.send_all(12_000)
    assert harness.max_per_window() <= limit * 4 + max(1, limit * 0.5) + 1
    assert len(harness.sent_ms) - sent_before >= limit * 12 - 1


def test_raised_limit_causes_no_burst():
    harness = LimitHarness()
    harness.advertise(1)
    harness.send_all(8000)
    harness.advertise(4)
    sent_before = len(harness.sent_ms)
    harness.send_all(1000)
    assert len(harness.sent_ms) - sent_before <= 5


@pytest.mark.parametrize(('limit', 'wait_ms'), [(2, 500), (0.1, 10_000)])
def test_wait_time_of_the_next_permit(limit, wait_ms):
    harness = LimitHarness()
    assert not harness.limits.permits.wait_ms(SERVER)
    harness.advertise(limit)
    assert not harness.limits.permits.wait_ms(SERVER)
    harness.send()
    assert harness.limits.permits.wait_ms(SERVER) == pytest.approx(wait_ms)


def test_excess_requests_delay_later_ones():
    """But for no longer than they count at the server."""
    harness = LimitHarness()
    harness.advertise(1)
    for _ in range(3):
        harness.send()
    assert harness.limits.permits.wait_ms(SERVER) == pytest.approx(3000)
    for _ in range(50):
        harness.send()
    for _ in range(5):
        harness.timers.advance(1000)
        harness.advertise(1)
    assert harness.limits.permits.has_permit(SERVER)


def test_server_without_requests_is_probed():
    """Rarely while the limit applies, and not after it was lifted."""
    harness = LimitHarness()
    harness.advertise(0)
    harness.timers.advance(20_000)
    assert 5 <= len(harness.probed_ms) <= 8
    assert harness.max_per_window() <= _SLACK / 2
    harness.advertise(None)
    probes_before = len(harness.probed_ms)
    harness.timers.advance(20_000)
    assert len(harness.probed_ms) == probes_before


def test_other_instance_probes_a_limit_that_is_not_refreshed():
    """The responsible instance may know that the limit was lifted."""
    harness = LimitHarness(holder='entry-1')
    harness.advertise(0)
    harness.timers.advance(9000)
    assert not harness.probed_ms
    harness.timers.advance(2000)
    assert len(harness.probed_ms) == 1
    harness.advertise(None)
    harness.timers.advance(20_000)
    assert len(harness.probed_ms) == 1


def test_server_that_answers_is_not_probed():
    harness = LimitHarness()
    for _ in range(20):
        harness.advertise(2)
        harness.timers.advance(1000)
    assert not harness.probed_ms


@pytest.mark.parametrize(
    ('limit', 'may_take_reservations'),
    [(None, True), (0, False), (1, False), (2, True), (50, True)],
)
def test_server_with_a_low_limit_does_not_help(limit, may_take_reservations):
    """Memory reservations alone would use up its limit."""
    harness = LimitHarness()
    if limit is not None:
        harness.advertise(limit)
    assert (
        harness.limits.permits.may_take_reservations(SERVER)
        == may_take_reservations
    )
