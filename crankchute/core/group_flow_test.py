"""Tests of groups of engines: cut prompts, and memory that is given back."""

import random

import pytest

from crankchute.core.config_check import load_config
from crankchute.core.dispatcher import Dispatcher, Ports
from crankchute.core.fakes import (
    FakeEngines,
    ManualTimers,
    RecordingSink,
    make_documents,
    make_job,
    make_listed,
    make_load,
)
from crankchute.core.fleet import Fleet
from crankchute.core.group_flow import cut_prompt
from crankchute.core.limits import AccountLimits
from crankchute.ports.metrics import Metrics


@pytest.mark.parametrize('text', ['plain words', 'Zürich–Łódź', '票' * 7, 'é'])
@pytest.mark.parametrize('count', [1, 2, 3, 4])
def test_no_character_is_cut_through(text, count):
    """Each part is text of its own, and together they are the prompt."""
    parts = cut_prompt(text.encode(), count)
    assert len(parts) == count
    assert ''.join(part.decode() for part in parts) == text


class Group:
    """A prompt for which one of three engines holds memory."""

    def __init__(self):
        self.timers = ManualTimers()
        self.engines = FakeEngines()
        fleet = Fleet()
        fleet.replace([make_listed(f'engine-{one}') for one in range(3)])
        for backend in fleet:
            fleet.note_load(backend, make_load(0))
        ports = Ports(
            engines=self.engines,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        limits = AccountLimits(self.timers.clock)
        self.dispatcher = Dispatcher(ports, fleet, limits, 'dc-1')
        self.dispatcher.config = load_config(1, make_documents())
        job = make_job(tokens=900_000, deadline_ms=60_000)
        sink = RecordingSink(job, self.timers.clock)
        self.flow = self.dispatcher.submit(job, sink)
        self.engines.asked.pop()(True)


@pytest.mark.parametrize('lost', [0, 1, 3])
def test_hold_is_freed_though_releases_are_lost(lost):
    """An engine would keep it until the deadline of a request that is over."""
    group = Group()
    group.engines.lost_releases = lost
    assert group.engines.held
    group.dispatcher.cancel(group.flow)
    group.timers.advance(4000)
    assert not group.engines.held
