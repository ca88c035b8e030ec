"""Scenarios for deadlines, complete answers, and release of engine memory."""

import signal
import socket
import time

from bench.cluster import LOOPBACK
from bench.path import build_stream_request
from bench.scenarios.base import (
    LONG_PROMPT,
    Verdict,
    abandon_request,
    build_verdict,
    discard_received,
    read_response,
    scenarios,
)
from bench.storm import Workload, wait_until_idle

_SERVING_FAULTS = ('cross', 'duplicate', 'truncate', 'drop')


@scenarios.register('ends in time: engine and instance killed')
def kill_engine_and_instance(cluster, rounds):
    """Promises 1 and 2: an engine and an instance are killed under load."""
    workload = Workload(cluster)
    workload.add_prompts(40 * rounds, 3000)
    workload.add_bookings(20 * rounds, 3000)
    workload.schedule(900, cluster.engines[0].kill)
    workload.schedule(1500, cluster.entries[0].kill)
    return build_verdict(cluster, workload.run())


@scenarios.register('ends in time: frozen and woken after the deadline')
def pause_instance(cluster, rounds):
    """Promise 1: an instance is stopped past the deadline of its request."""
    entry = cluster.entries[0]
    raw = build_stream_request(4000, 1_500)
    responses = []
    for _ in range(rounds):
        with socket.create_connection((LOOPBACK, entry.port)) as sock:
            sock.sendall(raw)
            time.sleep(0.5)
            entry.send(signal.SIGSTOP)
            time.sleep(2)
            sock.setblocking(False)
            discard_received(sock)
            entry.send(signal.SIGCONT)
            sock.settimeout(5)
            responses.append(read_response(sock))
    broken = [
        'tokens were sent after the deadline'
        for text in responses
        if text.count(b'"offset"') > 1
    ]
    if not all(b'deadline_exceeded' in text for text in responses):
        broken.append('the caller did not receive deadline_exceeded')
    wait_until_idle(cluster)
    return Verdict(
        broken,
        f'{len(responses)} streams ended right after the instance resumed',
    )


@scenarios.register('memory returns: callers vanish, engines and instances too')
def free_memory(cluster, rounds):
    """Promise 2: memory is released when callers, instances or engines fail."""
    workload = Workload(cluster)
    for number in range(rounds):
        workload.add_long_prompt(900_000, number * 500, deadline_ms=20_000)
    workload.add_prompts(20, 2000)
    workload.schedule(300, abandon_request, cluster.entries[1])
    workload.schedule(1500, cluster.entries[0].kill)
    workload.schedule(2000, cluster.engines[3].kill)
    return build_verdict(cluster, workload.run())


@scenarios.register('whole answers: crossed, doubled, cut and lost frames')
def disturb_streams(cluster, rounds):
    """Promise 3: a successful answer is complete and belongs to its request."""
    for engine, mode in zip(cluster.engines, _SERVING_FAULTS):
        fault = {'mode': mode, 'count': 8 * rounds}
        engine.fetch('POST', '/admin/fault', fault)
    workload = Workload(cluster)
    workload.add_prompts(40 * rounds, 3000)
    return build_verdict(cluster, workload.run())


@scenarios.register(LONG_PROMPT)
def kill_group_member(cluster, rounds):
    """Promises 1 to 3: a group that serves a long prompt loses an engine."""
    workload = Workload(cluster)
    workload.add_long_prompt(1_000_000, 0)
    workload.add_prompts(10 * rounds, 6000)
    workload.schedule(2500, _kill_busiest, cluster)
    records = workload.run()
    verdict = build_verdict(cluster, records)
    if not records[0].is_correct:
        verdict.broken.append(
            f'the long prompt ended in {records[0].call_result.code}'
        )
    return verdict


def _kill_busiest(cluster):
    states = [
        (engine.fetch('GET', '/admin/state')[1]['holds'], engine.port, engine)
        for engine in cluster.engines
    ]
    max(states, key=lambda state: state[:2])[2].kill()
