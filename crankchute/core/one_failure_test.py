"""Tests that an exception for one request leaves the others their ends."""

from functools import partial
from random import Random
from types import SimpleNamespace

import pytest

from crankchute.adapters import error_log  # noqa: F401  (registers it)
from crankchute.core.crash_detector import CrashDetector
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_attempt import end_waiting
from crankchute.core.forward_fakes import (
    POOL,
    FakeForwardPort,
    ForwardHarness,
    make_backends,
    make_job,
)
from crankchute.core.path_ports import PathPorts
from crankchute.core.pool_paths import PoolPaths
from crankchute.core.relay import end_unanswered

_REQUESTS = 4
#: Longer than the delay of the probe that follows a closed connection.
_PROBE_MS = 25


def make_flow(number, end):
    """Return a request in progress whose attempt is ended by a function."""
    attempt = SimpleNamespace(
        backend=None,
        started=False,
        placement=SimpleNamespace(uses=bool, is_relayed=False),
        watchdog=SimpleNamespace(is_late=True),
        end_lost=lambda _backend, _text: end(),
        end_waiting=lambda _is_excluded: end(),
    )
    job = make_job(request_id=f'r{number}')
    return SimpleNamespace(job=job, attempt=attempt, attempts=1)


def make_flows(ends):
    return [make_flow(number, end) for number, end in enumerate(ends)]


def restart_server(ends):
    harness = ForwardHarness()
    harness.forwarder.flows = make_flows(ends)
    harness.forwarder.record_restarted(harness.backends[0])


def lose_paths(ends):
    end_unanswered(make_flows(ends), POOL)


def evacuate(ends):
    end_waiting(make_flows(ends), bool)


def check_paths(ends):
    probes = []
    ports = PathPorts(
        timers=ManualTimers(),
        random=Random(1),
        journal=None,
        pool_of=lambda _backend: POOL,
        list_servers=lambda _pool: make_backends(1),
        probe=lambda _backend, on_known: probes.append(on_known),
        ask=None,
        ask_crashed=None,
        on_changed=None,
    )
    paths = PoolPaths(POOL, ports)
    paths.check()
    for end in ends:
        paths.after_check(end)
    probes[0](True)


def probe_server(ends):
    history = SimpleNamespace(
        count_crashes=lambda _fingerprint: 2,
        discard_expired=list,
        end_trial=lambda _request_id: None,
    )
    timers = ManualTimers()
    detector = CrashDetector(history, FakeForwardPort(), timers)
    attempt = SimpleNamespace(backend=make_backends(1)[0], sent_ms=0)
    for end in ends:
        detector.record_connection_lost(attempt, make_job(), end)
    timers.advance(_PROBE_MS)


def end_or_fail(ended, number, failing):
    if number == failing:
        raise ValueError('the caller cannot be told')
    ended.append(number)


def run_with_failure(place, failing):
    """Return the requests that are ended although one cannot be."""
    ended = []
    ends = [
        partial(end_or_fail, ended, number, failing)
        for number in range(_REQUESTS)
    ]
    place(ends)
    return ended


@pytest.mark.parametrize('failing', range(_REQUESTS))
@pytest.mark.parametrize(
    'place', [restart_server, lose_paths, evacuate, check_paths, probe_server]
)
def test_failing_end_of_a_request_leaves_the_others_without_one(place, failing):
    ended = run_with_failure(place, failing)
    assert ended == [one for one in range(_REQUESTS) if one != failing]


@pytest.mark.parametrize(
    ('place', 'named'),
    [
        (restart_server, {'request': 'r1'}),
        (lose_paths, {'request': 'r1'}),
        (evacuate, {'request': 'r1'}),
        (check_paths, {'pool': POOL}),
        (probe_server, {'server': 'server-00'}),
    ],
)
def test_failing_end_of_a_request_is_not_logged(monkeypatch, place, named):
    lines = []
    monkeypatch.setattr(
        'crankchute.adapters.error_log.log_change',
        lambda kind, **fields: lines.append((kind, fields)),
    )
    run_with_failure(place, failing=1)
    assert len(lines) == 1
    kind, fields = lines[0]
    assert kind == 'internal_error'
    assert fields['failed']
    assert 'the caller cannot be told' in fields['error']
    assert 'end_or_fail' in fields['stack'][-1]
    assert fields.items() >= named.items()
