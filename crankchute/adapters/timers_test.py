"""Tests of the timer service on the event loop.

Memory stayed set aside at engines 5 s after its use, at an instance whose
readiness checks failed from then on for 3.7 s.  It may have stood still; if so, its
loop ran what had come due before it looked at its sockets: it renewed memory for
a run whose end had arrived, and gave up orders whose answers had.
"""

import socket

import pytest

from crankchute.adapters import timers
from crankchute.adapters.loop import Loop
from crankchute.adapters.sockets import ConnectionHub
from crankchute.core.fakes import ManualClock


@pytest.mark.parametrize(
    ('late_ms', 'lines'),
    [(0, []), (150, []), (250, [('loop_late', 250)])],
)
def test_timers_that_run_late_are_logged(monkeypatch, late_ms, lines):
    told = []
    monkeypatch.setattr(
        timers,
        'log_change',
        lambda kind, failed, late_ms: told.append((kind, late_ms)),
    )
    clock = ManualClock()
    loop = Loop(clock)
    ran = []
    loop.timers.after(10, lambda: ran.append(True))
    clock.time_ms += 10 + late_ms
    loop.run_until(lambda: ran, 0)
    assert told == lines


@pytest.fixture
def outgoing():
    """Give a loop in manual time, what it saw, and the peer of its socket."""
    clock = ManualClock()
    loop = Loop(clock)
    seen = []
    listener = socket.create_server(('127.0.0.1', 0))
    hub = ConnectionHub('hub-test', lambda sock, payload: seen.append(payload))
    hub.register(loop)
    opened = []
    hub.connect_to(
        *listener.getsockname(),
        lambda sock, exc: opened.append(sock),
    )
    loop.run_until(lambda: bool(opened))
    peer, _address = listener.accept()
    yield loop, seen, peer
    for sock in (*opened, peer, listener):
        sock.close()


@pytest.mark.parametrize('late_ms', [100, 1500])
def test_what_arrived_meanwhile_goes_before_late_timers(outgoing, late_ms):
    loop, seen, peer = outgoing
    loop.timers.after(10, lambda: seen.append('first timer'))
    loop.timers.after(20, lambda: seen.append('second timer'))
    peer.sendall(b'answer')
    loop.clock.time_ms += 20 + late_ms
    loop.run_until(lambda: len(seen) == 3, 0)
    assert seen == [b'answer', 'first timer', 'second timer']
