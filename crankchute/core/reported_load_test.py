"""Tests of load reports and of requests that no instance accounts for."""

import random
from functools import partial

import pytest

from crankchute.core.engine_fakes import FakeReports, make_work_item
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.forward_fakes import make_backends
from crankchute.core.initial_load_poll import InitialLoadPoll
from crankchute.core.reported_load import ReportedLoad

ENGINE = 'engine-1'
USUAL_MS = 2000


class World:
    """An engine work_tracker with a clock that the test sets."""

    def __init__(self):
        self.now_ms = 1000
        self.work_tracker = EngineWorkTracker(lambda: self.now_ms)
        self.state = self.work_tracker.state(ENGINE)

    def report(self, requests, age_ms=0):
        load = ReportedLoad(requests)
        load.age_ms = age_ms
        self.state.record_load(load, self.now_ms)

    def count(self):
        return self.state.count_requests(self.now_ms, USUAL_MS)


@pytest.mark.parametrize(
    ('known', 'reported', 'counted'),
    [(0, 5, 5), (2, 5, 5), (5, 5, 5), (3, 0, 3)],
)
def test_unaccounted_requests_are_counted(known, reported, counted):
    world = World()
    for number in range(known):
        world.work_tracker.add(make_work_item(f'work-{number}', ENGINE))
    world.report(reported)
    assert world.count() == counted


def test_request_announced_after_the_report_counts_once():
    world = World()
    world.report(0)
    world.now_ms += 50
    # Another instance sent this request; its message arrives next.
    world.report(1)
    world.work_tracker.add(make_work_item('announced late', ENGINE))
    assert world.count() == 1


def test_requests_of_a_lost_instance_count_after_two_reports():
    world = World()
    for requests in (0, 3, 3):
        world.now_ms += 50
        world.report(requests)
    assert world.count() == 3


def test_parts_at_helper_engines_are_not_requests():
    world = World()
    world.work_tracker.add(make_work_item('part', ENGINE, is_decoding=False))
    world.report(1)
    assert world.count() == 1


def test_unaccounted_requests_decline_over_the_usual_duration():
    world = World()
    world.report(4)
    world.now_ms += USUAL_MS / 2
    assert world.count() == 2
    world.now_ms += USUAL_MS
    assert world.count() == 0


def test_report_is_compared_with_the_requests_of_its_time():
    world = World()
    world.work_tracker.add(make_work_item('old', ENGINE))
    world.now_ms += 300
    world.work_tracker.add(make_work_item('new', ENGINE))
    # The report precedes the new work and does not count it.
    world.report(1, age_ms=200)
    assert world.count() == 2
    world.now_ms += 5000
    world.report(4, age_ms=200)
    assert world.count() == pytest.approx(3.8)


def test_survey_runs_once_and_asks_a_bounded_number_of_servers():
    port = FakeReports()
    survey = InitialLoadPoll(port, random.Random(1), lambda *_report: None)
    list_members = partial(make_backends, 200)
    for _ in range(3):
        survey.run(list_members)
    assert len(set(port.polled)) == len(port.polled) == 64


def test_survey_passes_each_report_with_its_server():
    port = FakeReports()
    port.loads['server-01'] = ReportedLoad(7)
    reports = []
    survey = InitialLoadPoll(
        port,
        random.Random(1),
        lambda backend, load: reports.append((backend.identity, load.requests)),
    )
    survey.run(lambda: make_backends(3))
    assert reports == [('server-01', 7)]
