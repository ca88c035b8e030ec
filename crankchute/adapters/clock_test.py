"""Tests of the clocks of a process.

A clock that omits suspended time makes stale configuration look current, so that
a resumed instance accepts revoked keys.
"""

import time

import pytest

from crankchute.adapters.clock import ProcessClock, SteadyClock

_SUSPENDED_S = 7


class FakeSystemClocks:
    """Replaces the clocks that the time module reads."""

    def __init__(self, monkeypatch):
        self.wall_s = 1_780_000_000
        self.monotonic_s = 100
        self.boot_s = 300
        monkeypatch.setattr(time, 'time', lambda: self.wall_s)
        monkeypatch.setattr(time, 'monotonic', lambda: self.monotonic_s)
        monkeypatch.setattr(time, 'clock_gettime', self._clock_gettime)

    def run(self, seconds):
        self.monotonic_s += seconds
        self.suspend(seconds)

    def suspend(self, seconds):
        self.boot_s += seconds
        self.wall_s += seconds

    def _clock_gettime(self, clock):
        clocks = {
            time.CLOCK_BOOTTIME: self.boot_s,
            time.CLOCK_MONOTONIC: self.monotonic_s,
            time.CLOCK_REALTIME: self.wall_s,
        }
        return clocks[clock]


@pytest.mark.parametrize('make_clock', [ProcessClock, SteadyClock])
@pytest.mark.parametrize('step_s', [0, -3600])
def test_clock_counts_suspended_time(make_clock, step_s, monkeypatch):
    """Also when the wall clock is set back during the suspension."""
    clocks = FakeSystemClocks(monkeypatch)
    clock = make_clock()
    clocks.run(1)
    clocks.suspend(_SUSPENDED_S)
    clocks.wall_s += step_s
    clocks.run(1)
    assert clock.now_ms() == (_SUSPENDED_S + 2) * 1000


def test_steady_clock_ignores_wall_clock_jumps(monkeypatch):
    clocks = FakeSystemClocks(monkeypatch)
    clock = SteadyClock()
    clocks.wall_s += 3600
    clocks.run(1)
    assert clock.now_ms() == 1000
