"""Tests of termination signals that the event loop notices late."""

import os
import signal
import time

import pytest

from crankchute.adapters.loop import Loop

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@pytest.mark.parametrize('signo', _STOP_SIGNALS)
@pytest.mark.parametrize('busy_s', [0, 0.05])
def test_signal_is_taken_for_later_than_it_was_sent(signo, busy_s):
    """The callers of a stopping process would count as unaware for too long."""
    loop = Loop()
    now_ms = loop.timers.clock.now_ms
    stops = []
    sent = []

    def stop(after_ms):
        stops.append((after_ms, now_ms()))
        loop.stop()

    def send():
        sent.append(now_ms())
        os.kill(os.getpid(), signo)
        time.sleep(busy_s)

    loop.on_stop_signal(stop)
    loop.timers.after(10, send)
    # The loop replaces the handlers of both signals when it runs.
    callbacks = {one: signal.getsignal(one) for one in _STOP_SIGNALS}
    try:
        loop.run()
    finally:
        for one, callback in callbacks.items():
            signal.signal(one, callback)
    assert len(stops) == 1
    after_ms, noticed_ms = stops[0]
    assert 0 < after_ms <= sent[0]
    assert noticed_ms - sent[0] >= busy_s * 1000
