"""Tests of engine groups: splitting prompts and releasing memory."""

import random

import pytest

from crankchute.core.account_limits import AccountLimits
from crankchute.core.config_loader import load_config
from crankchute.core.dispatcher import Dispatcher, DispatcherPorts
from crankchute.core.fakes import (
    FakeEngines,
    ManualTimers,
    RecordingSink,
    make_config_documents,
    make_job,
    make_listed_instance,
    make_load,
)
from crankchute.core.fleet import Fleet
from crankchute.core.group_flow import split_prompt
from crankchute.ports.metrics import Metrics


@pytest.mark.parametrize('text', ['plain words', 'Zürich–Łódź', '票' * 7, 'é'])
@pytest.mark.parametrize('count', [1, 2, 3, 4])
def test_split_prompt_keeps_characters_whole(text, count):
    """Each segment is valid UTF-8, and together they equal the prompt."""
    segments = split_prompt(text.encode(), count)
    assert len(segments) == count
    assert ''.join(segment.decode() for segment in segments) == text


class GroupFixture:
    """A prompt for a group of engines, one of which holds memory for it."""

    def __init__(self):
        self.timers = ManualTimers()
        self.engines = FakeEngines()
        fleet = Fleet()
        fleet.replace(
            [make_listed_instance(f'engine-{number}') for number in range(3)]
        )
        for backend in fleet:
            fleet.record_load(backend, make_load(0))
        ports = DispatcherPorts(
            engines=self.engines,
            timers=self.timers,
            random=random.Random(1),
            metrics=Metrics(),
        )
        limits = AccountLimits(self.timers.clock)
        self.dispatcher = Dispatcher(ports, fleet, limits, 'dc-1')
        self.dispatcher.config = load_config(1, make_config_documents())
        job = make_job(tokens=900_000, deadline_ms=60_000)
        sink = RecordingSink(job, self.timers.clock)
        self.flow = self.dispatcher.submit(job, sink)
        self.engines.pending_answers.pop()(True)


@pytest.mark.parametrize('lost_releases', [0, 1, 3])
def test_lost_release_is_retried(lost_releases):
    """Otherwise the memory stays occupied until the request's deadline."""
    fixture = GroupFixture()
    fixture.engines.lost_releases = lost_releases
    assert fixture.engines.held
    fixture.dispatcher.cancel(fixture.flow)
    fixture.timers.advance(4000)
    assert not fixture.engines.held
