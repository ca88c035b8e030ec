"""Tests of the timer service on the event loop."""

import pytest

from crankchute.adapters import timers
from crankchute.adapters.loop import Loop
from crankchute.core.fakes import ManualClock


@pytest.mark.parametrize(
    ('late_ms', 'lines'),
    [(0, []), (150, []), (250, [('loop_late', 250)])],
)
def test_timers_that_run_late_are_logged(monkeypatch, late_ms, lines):
    told = []
    monkeypatch.setattr(
        timers,
        'log_change',
        lambda kind, failed, late_ms: told.append((kind, late_ms)),
    )
    clock = ManualClock()
    loop = Loop(clock)
    ran = []
    loop.timers.after(10, lambda: ran.append(True))
    clock.time_ms += 10 + late_ms
    loop.run_until(lambda: ran, 0)
    assert told == lines
