"""Scenarios: planned changes, of backends, instances and configuration."""

import signal
import socket
import time
from functools import partial

from bench.cluster import LOOPBACK, wait_for
from bench.path import build_stream_request
from bench.scenarios.base import (
    Verdict,
    judge,
    read_to_end,
    scenarios,
)
from bench.storm import Storm, find_broken

_LEAVING_S = 3
_IN_FORCE_S = 6
_STOP_EVERY_MS = 2500
_STREAM_TOKENS = 2000
_EXIT_S = 30


@scenarios.register('leaving backend: no new work after 3 s')
def leave(cluster, rounds):
    """Promise 6: a backend that the list calls leaving gets nothing new."""
    broken = []
    for index, engine in enumerate(cluster.engines[: min(rounds, 2)]):
        cluster.list_instance(cluster.engine_record(index, 'leaving'))
        storm = Storm(cluster)
        storm.add_prompts(30, _LEAVING_S * 1000)
        asked = storm.run()
        time.sleep(_LEAVING_S)
        before = engine.fetch('GET', '/admin/state')[1]['prefilled']
        storm = Storm(cluster, seed=2)
        storm.add_prompts(30, 1500)
        asked += storm.run()
        after = engine.fetch('GET', '/admin/state')[1]['prefilled']
        if after != before:
            broken.append('a leaving engine got new work')
        broken.extend(find_broken(asked, cluster))
        if not all(record.is_whole for record in asked):
            broken.append('a request was cut off')
    return Verdict(broken, '0 prompt tokens after 3 s')


@scenarios.register('planned stop: every instance in turn')
def stop_in_turn(cluster, rounds):
    """Promise 7: a planned stop cuts off nothing."""
    storm = Storm(cluster)
    stopped = cluster.entries[:-1]
    storm.add_prompts(60 * rounds, _STOP_EVERY_MS * len(stopped))
    storm.add_bookings(30 * rounds, _STOP_EVERY_MS * len(stopped))
    for number, stopping in enumerate(stopped):
        at_ms = 1000 + _STOP_EVERY_MS * number
        storm.at(at_ms, stopping.send, signal.SIGTERM)
    streams = [_OpenStream(entry) for entry in stopped]
    asked = storm.run()
    verdict = judge(cluster, asked)
    if not all(stream.is_whole() for stream in streams):
        verdict.broken.append('a stream of a stopping instance was cut off')
    verdict.broken.extend(_find_cut(asked))
    codes = [entry.wait(_EXIT_S) for entry in stopped]
    if any(codes):
        verdict.broken.append(f'exit codes {codes}')
    return verdict


def _find_cut(asked):
    return [
        f'cut off: {record.end.outcome.value} {record.end.code}'
        for record in asked
        if not record.is_whole
    ]


@scenarios.register('configuration: in force within 6 s, never reverts')
def change_config(cluster, rounds):
    """Promise 8: changes reach all, invalid ones none, and none goes back."""
    broken = []
    slowest = 0
    for number in range(2 * rounds):
        policy = {'routing': ('two-choices', 'earliest-start')[number % 2]}
        wanted = cluster.publish('policy', policy)
        slowest = max(slowest, _wait_in_force(cluster, wanted))
    bad = cluster.publish('models', [])
    for one in cluster.entries:
        wait_for(partial(_has_refused, cluster, one, bad))
    broken.extend(_restart_with_platform(cluster, wanted, 'stale'))
    broken.extend(_restart_with_platform(cluster, wanted, 'down'))
    verdict = Verdict(broken, f'slowest change in force: {slowest:.2f} s')
    if slowest > _IN_FORCE_S:
        verdict.late.append(f'a change took {slowest:.1f} s')
    return verdict


class _OpenStream:
    """A long answer that is under way while its instance stops."""

    def __init__(self, entry):
        raw = build_stream_request(_STREAM_TOKENS, 55_000)
        self._sock = socket.create_connection((LOOPBACK, entry.port))
        self._sock.sendall(raw)

    def is_whole(self):
        with self._sock:
            text = read_to_end(self._sock)
        return text.count(b'"offset"') == _STREAM_TOKENS


def _wait_in_force(cluster, revision):
    started = time.monotonic()
    for one in cluster.entries:
        wait_for(partial(_has_revision, cluster, one, revision), pause_s=0.01)
    return time.monotonic() - started


def _has_revision(cluster, entry, revision):
    return cluster.state(entry)['config']['in_force'] == revision


def _has_refused(cluster, entry, revision):
    config = cluster.state(entry)['config']
    return config['refused'] == revision and config['findings']


def _restart_with_platform(cluster, revision, mode):
    """Restart an instance while the platform is a revision behind, or down."""
    fault = {'mode': mode, 'revision': revision - 1}
    cluster.platform.fetch('POST', '/admin/fault', fault)
    entry = cluster.entries[0]
    entry.kill()
    entry.start()
    peers = cluster.entries[1:]
    try:
        wait_for(partial(_has_revision, cluster, entry, revision), timeout_s=10)
    except TimeoutError:
        return [f'restarted with a {mode} platform, it did not catch up']
    finally:
        cluster.platform.fetch('POST', '/admin/fault', {'mode': 'none'})
    if all(_has_revision(cluster, peer, revision) for peer in peers):
        return []
    return [f'a peer went back with a {mode} platform']
