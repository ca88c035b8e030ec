"""Scenarios for at-most-once execution and truthful outcomes of calls."""

import signal
import socket
import threading
import time

from bench.cluster import LOOPBACK
from bench.path import build_raw
from bench.scenarios.base import Verdict, build_verdict, scenarios
from bench.storm import Workload, count_runs

_BOOKING_HEADERS = (
    ('Crankchute-Account', 'travel-web'),
    ('Crankchute-Class', 'booking'),
)
_FAULTS = ('refuse', 'drop', 'delay', 'freeze')
_READ_TIMEOUT_S = 0.9


@scenarios.register('not run is true: refusing, lost and late services')
def refuse_and_lose(cluster, rounds):
    """Promise 4: a call that is reported as not run did not run."""
    service = cluster.services[0]
    workload = Workload(cluster)
    workload.add_bookings(60 * rounds, 4000, deadline_ms=2000)
    for number, mode in enumerate(_FAULTS):
        fault = {'mode': mode, 'count': 8, 'delay_ms': 2500}
        at_ms = 300 + 800 * number
        workload.schedule(at_ms, service.fetch, 'POST', '/admin/fault', fault)
    workload.schedule(1800, cluster.entries[1].kill)
    workload.schedule(2500, cluster.entries[2].send, signal.SIGSTOP)
    workload.schedule(4500, cluster.entries[2].send, signal.SIGCONT)
    return build_verdict(cluster, workload.run())


@scenarios.register('at most once: the same key to every address')
def resubmit_everywhere(cluster, rounds):
    """Promise 5: a call submitted to every address runs at most once."""
    service = cluster.services[0]
    service.fetch('POST', '/admin/fault', {'mode': 'delay', 'delay_ms': 600})
    keys = [
        _make_key(cluster.entries[number % len(cluster.entries)], f'n{number}')
        for number in range(4 * rounds)
    ]
    for submitted in keys:
        _submit_to_all(cluster.entries * 2, submitted)
    time.sleep(1)
    run_counts = {count_runs(cluster, key) for key in keys}
    cluster.entries[0].kill()
    lost_key = _make_lost_key(cluster)
    _submit_to_all(cluster.entries[1:], lost_key)
    time.sleep(1)
    broken = (
        [] if run_counts == {1} else [f'keys ran {sorted(run_counts)} times']
    )
    if count_runs(cluster, lost_key):
        broken.append('a key of a killed instance ran')
    return Verdict(broken, f'{len(keys)} keys, each submitted 8 times')


def _submit_to_all(entries, key):
    threads = [
        threading.Thread(target=_submit_and_disconnect, args=(entry.port, key))
        for entry in entries
    ]
    for thread in threads:
        thread.start()
    for running in threads:
        running.join()


def _make_key(entry, nonce):
    path = '/v1/addresses?account=travel-web'
    binding = entry.fetch('GET', path)[1]['binding']
    expiry_ms = binding['now_ms'] + 20_000
    return f'{binding["instance"]}.{binding["boot"]}.{expiry_ms}.{nonce}'


def _make_lost_key(cluster):
    state = cluster.state(cluster.entries[1])
    member = [
        candidate
        for candidate in state['members']
        if candidate['instance'] == 'entry-0'
    ]
    return f'entry-0.{member[0]["boot"]}.99999999.lost'


def _submit_and_disconnect(port, key):
    """Submit a booking and disconnect before the answer arrives."""
    raw = build_raw(
        'POST',
        '/v1/services/booking/bookings',
        (
            *_BOOKING_HEADERS,
            ('Crankchute-Deadline-Ms', '4000'),
            ('Crankchute-Key', key),
        ),
        {'seat': 1},
    )
    with socket.create_connection((LOOPBACK, port)) as sock:
        sock.sendall(raw)
        sock.settimeout(_READ_TIMEOUT_S)
        try:
            sock.recv(64)
        except TimeoutError:
            return
