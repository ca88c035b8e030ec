"""Tests of the timer service of the event loop.

After the process was suspended, due timers must not run before sockets are read:
they would renew reservations of requests that have ended and time out replies that
have arrived.
"""

import socket

import pytest

from crankchute.adapters import timers
from crankchute.adapters.loop import Loop
from crankchute.adapters.connection_hub import ConnectionHub
from crankchute.core.fakes import ManualClock


@pytest.mark.parametrize(
    ('late_ms', 'log_lines'),
    [(0, []), (150, []), (250, [('loop_late', 250)])],
)
def test_late_timers_are_logged(monkeypatch, late_ms, log_lines):
    logged = []
    monkeypatch.setattr(
        timers,
        'log_change',
        lambda kind, failed, late_ms: logged.append((kind, late_ms)),
    )
    clock = ManualClock()
    loop = Loop(clock)
    runs = []
    loop.timers.after(10, lambda: runs.append(True))
    clock.time_ms += 10 + late_ms
    loop.run_until(lambda: runs, 0)
    assert logged == log_lines


@pytest.fixture
def outgoing():
    """Provide a loop with a manual clock, its events, and a peer socket."""
    clock = ManualClock()
    loop = Loop(clock)
    events = []
    listener = socket.create_server(('127.0.0.1', 0))
    hub = ConnectionHub(
        'hub-test', lambda sock, payload: events.append(payload)
    )
    hub.register(loop)
    opened = []
    hub.connect_to(
        *listener.getsockname(),
        lambda sock, exc: opened.append(sock),
    )
    loop.run_until(lambda: bool(opened))
    peer, _address = listener.accept()
    yield loop, events, peer
    for sock in (*opened, peer, listener):
        sock.close()


@pytest.mark.parametrize('late_ms', [100, 1500])
def test_received_data_is_handled_before_late_timers(outgoing, late_ms):
    loop, events, peer = outgoing
    loop.timers.after(10, lambda: events.append('first timer'))
    loop.timers.after(20, lambda: events.append('second timer'))
    peer.sendall(b'answer')
    loop.clock.time_ms += 20 + late_ms
    loop.run_until(lambda: len(events) == 3, 0)
    assert events == [b'answer', 'first timer', 'second timer']
