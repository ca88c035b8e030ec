"""Scenarios: every request ends in time, whole, and engines lose nothing."""

import signal
import socket
import time

from bench.cluster import LOOPBACK
from bench.path import build_stream_request
from bench.scenarios.base import (
    LONG_PROMPT,
    Verdict,
    judge,
    read_pending,
    read_to_end,
    scenarios,
    vanish,
)
from bench.storm import Storm, wait_memory_free

_SERVING_FAULTS = ('cross', 'duplicate', 'truncate', 'drop')


@scenarios.register('ends in time: engine and instance killed')
def kill_engine_and_instance(cluster, rounds):
    """Promises 1 and 2: an engine and an instance die under load."""
    storm = Storm(cluster)
    storm.add_prompts(40 * rounds, 3000)
    storm.add_bookings(20 * rounds, 3000)
    storm.at(900, cluster.engines[0].kill)
    storm.at(1500, cluster.entries[0].kill)
    return judge(cluster, storm.run())


@scenarios.register('ends in time: frozen and woken after the deadline')
def pause_instance(cluster, rounds):
    """Promise 1: an instance sleeps past the deadline of what it carries."""
    entry = cluster.entries[0]
    raw = build_stream_request(4000, 1_500)
    late = []
    for _ in range(rounds):
        with socket.create_connection((LOOPBACK, entry.port)) as sock:
            sock.sendall(raw)
            time.sleep(0.5)
            entry.send(signal.SIGSTOP)
            time.sleep(2)
            sock.setblocking(False)
            read_pending(sock)
            entry.send(signal.SIGCONT)
            sock.settimeout(5)
            late.append(read_to_end(sock))
    broken = [
        'tokens were sent after the deadline'
        for text in late
        if text.count(b'"offset"') > 1
    ]
    if not all(b'deadline_exceeded' in text for text in late):
        broken.append('the caller was not told that the deadline had passed')
    wait_memory_free(cluster)
    return Verdict(broken, f'{len(late)} streams ended right after waking')


@scenarios.register('memory returns: callers vanish, engines and instances too')
def free_memory(cluster, rounds):
    """Promise 2: nothing stays pinned, whoever died or went away."""
    storm = Storm(cluster)
    for number in range(rounds):
        storm.add_long_prompt(900_000, number * 500, deadline_ms=20_000)
    storm.add_prompts(20, 2000)
    storm.at(300, vanish, cluster.entries[1])
    storm.at(1500, cluster.entries[0].kill)
    storm.at(2000, cluster.engines[3].kill)
    return judge(cluster, storm.run())


@scenarios.register('whole answers: crossed, doubled, cut and lost frames')
def disturb_streams(cluster, rounds):
    """Promise 3: what looks whole is whole and the caller's own."""
    for engine, mode in zip(cluster.engines, _SERVING_FAULTS):
        fault = {'mode': mode, 'count': 8 * rounds}
        engine.fetch('POST', '/admin/fault', fault)
    storm = Storm(cluster)
    storm.add_prompts(40 * rounds, 3000)
    return judge(cluster, storm.run())


@scenarios.register(LONG_PROMPT)
def lose_member(cluster, rounds):
    """Promises 1 to 3 for a prompt that is spread over engines."""
    storm = Storm(cluster)
    storm.add_long_prompt(1_000_000, 0)
    storm.add_prompts(10 * rounds, 6000)
    storm.at(2500, _kill_busiest, cluster)
    asked = storm.run()
    verdict = judge(cluster, asked)
    if not asked[0].is_whole:
        verdict.broken.append(f'the long prompt ended in {asked[0].end.code}')
    return verdict


def _kill_busiest(cluster):
    states = [
        (engine.fetch('GET', '/admin/state')[1]['holds'], engine.port, engine)
        for engine in cluster.engines
    ]
    max(states, key=lambda state: state[:2])[2].kill()
