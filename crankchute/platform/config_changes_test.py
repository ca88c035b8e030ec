"""Tests of callers' connections while the configuration changes."""

import socket
from types import MappingProxyType

import pytest

from crankchute.core.forward_config import ForwardConfig, RequestLimits
from crankchute.platform.node_test import Instance

_BOUNDS = MappingProxyType({'config-apply-ms': 1500})
_REQUEST = (
    b'POST /a/ HTTP/1.1\r\nHost: a\r\nX-Crankchute-Request-Id: r1\r\n'
    b'Content-Length: %d\r\n\r\n%b'
)
_LIMITS = MappingProxyType(
    {
        'max_header_bytes': 2000,
        'max_body_bytes': 100,
        'header_timeout_ms': 5000,
        'idle_timeout_ms': 2000,
    }
)


class CallerConnection:
    """A kept connection of a caller to an instance."""

    def __init__(self, monkeypatch):
        self.instance = Instance(monkeypatch, _BOUNDS)
        self._version = 0
        self.change()
        address = self.instance.platform.settings.listeners.callers
        self._sock = socket.create_connection(address)
        self._sock.setblocking(False)

    def change(self, **limits):
        """Apply a configuration without routes and with changed limits."""
        self._version += 1
        request_limits = RequestLimits(**{**_LIMITS, **limits})
        self.instance.node.holder.offer(
            ForwardConfig(self._version, [], [], request_limits=request_limits),
            b'',
        )

    def send(self, payload):
        self._sock.sendall(payload)

    def read(self):
        """Return the status of the next answer, or None if there is none."""
        received = []

        def is_done():
            try:
                received.append(self._sock.recv(65_536))
            except BlockingIOError:
                return False
            except ConnectionResetError:
                received.append(b'')
            return True

        self.instance.loop.run_until(is_done, 0.001)
        return int(received[0].split()[1]) if received[0] else None

    def ask(self, size=10):
        """Return the status of the answer to a request, or None."""
        try:
            self.send(_REQUEST % (size, b'x' * size))
        except OSError:
            return None
        return self.read()


@pytest.mark.parametrize(
    'idle_ms', [(100,), (800, 100), (100, 2000, 100), (8000, 100), (4000,)]
)
def test_connection_closes_though_the_caller_knows_a_longer_idle_time(
    monkeypatch, idle_ms
):
    """It rests for less than four fifths of the time that the caller knows."""
    connection = CallerConnection(monkeypatch)
    assert connection.ask() == 404
    for changed_ms in idle_ms:
        connection.instance.run_for(400 / len(idle_ms))
        connection.change(idle_timeout_ms=changed_ms)
    connection.instance.run_for(800)
    assert connection.ask() == 404


def test_connection_outlasts_a_shorter_idle_time_in_force(monkeypatch):
    connection = CallerConnection(monkeypatch)
    connection.change(idle_timeout_ms=4000)
    connection.change(idle_timeout_ms=100)
    assert connection.ask() == 404
    connection.instance.run_for(2300)
    assert connection.read() is None


@pytest.mark.parametrize(
    ('changes', 'size', 'status'),
    [
        ({'max_body_bytes': 1000}, 500, 404),
        ({'max_body_bytes': 50}, 80, 413),
        ({'max_header_bytes': 10}, 10, 431),
    ],
)
def test_kept_connection_has_limits_of_an_earlier_configuration(
    monkeypatch, changes, size, status
):
    connection = CallerConnection(monkeypatch)
    assert connection.ask() == 404
    connection.change(**changes)
    assert connection.ask(size) == status


@pytest.mark.parametrize(
    'changes',
    [
        {'max_body_bytes': 50},
        {'max_header_bytes': 10},
        {'header_timeout_ms': 10},
        {'idle_timeout_ms': 10},
    ],
)
@pytest.mark.parametrize('read_size', [5, 30, 100])
def test_change_cuts_a_request_that_is_half_read(
    monkeypatch, changes, read_size
):
    """It began under the earlier configuration."""
    connection = CallerConnection(monkeypatch)
    assert connection.ask() == 404
    payload = _REQUEST % (90, b'x' * 90)
    connection.send(payload[:read_size])
    connection.instance.run_for(50)
    connection.change(**changes)
    connection.instance.run_for(700)
    connection.send(payload[read_size:])
    assert connection.read() == 404
