"""Tests of requests that arrive before the configuration is loaded."""

import pytest

from crankchute.adapters.early_requests import EarlyRequests
from crankchute.core.fakes import ManualTimers


class FakeExchange:
    """A request whose caller may disconnect."""

    def __init__(self):
        self.on_gone = None

    def serve(self, function):
        function(self)


class QueueHarness:
    """A queue, its timers, and the requests that it served."""

    def __init__(self):
        self.timers = ManualTimers()
        self.served = []
        self.queue = EarlyRequests(self.timers, self.served.append, 60)

    def take(self):
        exchange = FakeExchange()
        self.queue.take(exchange)
        return exchange


@pytest.mark.parametrize(
    ('steps', 'served'),
    [
        (['take', 'load'], 1),
        (['take', 'take', 'load', 'take'], 3),
        (['take', 'wait'], 1),
        (['take', 'wait', 'load'], 1),
        (['take', 'disconnect', 'load', 'wait'], 0),
        (['take'], 0),
    ],
)
def test_requests_wait_until_loaded_or_timed_out(steps, served):
    harness = QueueHarness()
    latest = None
    for step in steps:
        if step == 'take':
            latest = harness.take()
        elif step == 'load':
            harness.queue.record_informed()
        elif step == 'disconnect':
            latest.on_gone()
        else:
            harness.timers.advance(100)
    assert len(harness.served) == served
