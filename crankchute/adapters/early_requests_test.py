"""Tests of requests that come before the process is informed."""

import pytest

from crankchute.adapters.early_requests import EarlyRequests
from crankchute.core.fakes import ManualTimers


class FakeExchange:
    """A request of a caller who may leave."""

    def __init__(self):
        self.on_gone = None

    def serve(self, function):
        function(self)


class World:
    """A waiting room and what was served."""

    def __init__(self):
        self.timers = ManualTimers()
        self.served = []
        self.early = EarlyRequests(self.timers, self.served.append, 60)

    def take(self):
        exchange = FakeExchange()
        self.early.take(exchange)
        return exchange


@pytest.mark.parametrize(
    ('steps', 'served'),
    [
        (['take', 'inform'], 1),
        (['take', 'take', 'inform', 'take'], 3),
        (['take', 'wait'], 1),
        (['take', 'wait', 'inform'], 1),
        (['take', 'leave', 'inform', 'wait'], 0),
        (['take'], 0),
    ],
)
def test_requests_wait_for_a_short_time(steps, served):
    world = World()
    latest = None
    for step in steps:
        if step == 'take':
            latest = world.take()
        elif step == 'inform':
            world.early.record_informed()
        elif step == 'leave':
            latest.on_gone()
        else:
            world.timers.advance(100)
    assert len(world.served) == served
