"""Scenarios for planned changes of backends, instances and configuration."""

import signal
import socket
import time
from functools import partial

from bench.cluster import LOOPBACK, wait_for
from bench.path import build_stream_request
from bench.scenarios.base import (
    Verdict,
    build_verdict,
    read_response,
    scenarios,
)
from bench.storm import Workload, find_violations

_LEAVING_DELAY_S = 3
_IN_FORCE_LIMIT_S = 6
_STOP_INTERVAL_MS = 2500
_STREAM_TOKENS = 2000
_EXIT_TIMEOUT_S = 30


@scenarios.register('leaving backend: no new work after 3 s')
def drain_backend(cluster, rounds):
    """Promise 6: a backend that is listed as leaving gets no new work."""
    broken = []
    for index, engine in enumerate(cluster.engines[: min(rounds, 2)]):
        cluster.list_instance(cluster.engine_record(index, 'leaving'))
        workload = Workload(cluster)
        workload.add_prompts(30, _LEAVING_DELAY_S * 1000)
        records = workload.run()
        time.sleep(_LEAVING_DELAY_S)
        before = engine.fetch('GET', '/admin/state')[1]['prefilled']
        workload = Workload(cluster, seed=2)
        workload.add_prompts(30, 1500)
        records += workload.run()
        after = engine.fetch('GET', '/admin/state')[1]['prefilled']
        if after != before:
            broken.append('a leaving engine received new work')
        broken.extend(find_violations(records, cluster))
        if not all(record.is_correct for record in records):
            broken.append('a request was not answered correctly')
    return Verdict(broken, '0 prompt tokens after 3 s')


@scenarios.register('planned stop: every instance in turn')
def stop_instances(cluster, rounds):
    """Promise 7: a planned stop interrupts no request."""
    workload = Workload(cluster)
    stopped = cluster.entries[:-1]
    workload.add_prompts(60 * rounds, _STOP_INTERVAL_MS * len(stopped))
    workload.add_bookings(30 * rounds, _STOP_INTERVAL_MS * len(stopped))
    for number, stopping in enumerate(stopped):
        at_ms = 1000 + _STOP_INTERVAL_MS * number
        workload.schedule(at_ms, stopping.send, signal.SIGTERM)
    streams = [_OpenStream(entry) for entry in stopped]
    records = workload.run()
    verdict = build_verdict(cluster, records)
    if not all(stream.is_complete() for stream in streams):
        verdict.broken.append('a stream of a stopping instance was truncated')
    verdict.broken.extend(_find_unanswered(records))
    codes = [entry.wait(_EXIT_TIMEOUT_S) for entry in stopped]
    if any(codes):
        verdict.broken.append(f'exit codes {codes}')
    return verdict


def _find_unanswered(records):
    return [
        f'not answered: {record.call_result.outcome.value} '
        f'{record.call_result.code}'
        for record in records
        if not record.is_correct
    ]


@scenarios.register('configuration: in force within 6 s, never reverts')
def change_config(cluster, rounds):
    """Promise 8: all instances apply valid changes only, and never revert."""
    broken = []
    slowest_s = 0
    for number in range(2 * rounds):
        policy = {'routing': ('two-choices', 'earliest-start')[number % 2]}
        expected = cluster.publish('policy', policy)
        slowest_s = max(slowest_s, _wait_in_force(cluster, expected))
    invalid = cluster.publish('models', [])
    for entry in cluster.entries:
        wait_for(partial(_has_refused, cluster, entry, invalid))
    broken.extend(_restart_with_platform(cluster, expected, 'stale'))
    broken.extend(_restart_with_platform(cluster, expected, 'down'))
    verdict = Verdict(broken, f'slowest change in force: {slowest_s:.2f} s')
    if slowest_s > _IN_FORCE_LIMIT_S:
        verdict.late.append(f'a change took {slowest_s:.1f} s')
    return verdict


class _OpenStream:
    """A stream that is in progress while its instance stops."""

    def __init__(self, entry):
        raw = build_stream_request(_STREAM_TOKENS, 55_000)
        self._sock = socket.create_connection((LOOPBACK, entry.port))
        self._sock.sendall(raw)

    def is_complete(self):
        with self._sock:
            text = read_response(self._sock)
        return text.count(b'"offset"') == _STREAM_TOKENS


def _wait_in_force(cluster, revision):
    started = time.monotonic()
    for entry in cluster.entries:
        wait_for(partial(_has_revision, cluster, entry, revision), pause_s=0.01)
    return time.monotonic() - started


def _has_revision(cluster, entry, revision):
    return cluster.state(entry)['config']['in_force'] == revision


def _has_refused(cluster, entry, revision):
    config = cluster.state(entry)['config']
    return config['refused'] == revision and config['findings']


def _restart_with_platform(cluster, revision, mode):
    """Restart an instance while the platform is one revision behind or down."""
    fault = {'mode': mode, 'revision': revision - 1}
    cluster.platform.fetch('POST', '/admin/fault', fault)
    entry = cluster.entries[0]
    entry.kill()
    entry.start()
    peers = cluster.entries[1:]
    try:
        wait_for(partial(_has_revision, cluster, entry, revision), timeout_s=10)
    except TimeoutError:
        return [
            f'an instance restarted with the platform {mode} did not catch up'
        ]
    finally:
        cluster.platform.fetch('POST', '/admin/fault', {'mode': 'none'})
    if all(_has_revision(cluster, peer, revision) for peer in peers):
        return []
    return [f'a peer reverted its configuration with a {mode} platform']
