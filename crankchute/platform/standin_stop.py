"""A whole instance on a simulated clock that is stopped under load, for tests.

Callers, the instance and a server talk over loopback connections on one event
loop.  The clock advances by a fixed step for each iteration of the loop.
"""

import socket

import orjson

from crankchute.adapters.early_listen import listen_on
from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.loop import Loop
from crankchute.core.fleet import ListedServer
from crankchute.platform.node import PlatformNode
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.settings import read_settings
from crankchute.platform.standin_paced import (
    Caller,
    Ending,
    PacedServer,
    StepClock,
)
from crankchute.platform.wire import REQUEST_ID
from crankchute.standins.ports import LOOPBACK, pick_ports

_HOST = 'a.example'
_POOL = 'pool'
_STEP_MS = 4
_TICK_S = 0.001
_FINAL_TICKS = 4
_DEADLINE_MS = 10_000
#: So long that the silence of the server ends no attempt.
_GOAL_MS = 4000
#: The time after the signal at which the platform kills the process.
GRACE_MS = 8000


class StoppingInstance:
    """An instance with one server, and its callers.

    Attributes:
      loop: The Loop.
      platform: The PlatformNode.
      node: Its ForwardNode.
      server: The PacedServer.
      requests: The Callers, a list.
      ended_ms: How long after the signal the process ended, or None.
    """

    def __init__(self):
        """Start the instance."""
        self.clock = StepClock()
        self.loop = Loop(self.clock)
        self.server = PacedServer(self.loop)
        self.requests = []
        self.ended_ms = None
        self._has_stopped = False
        self._stopped_at_ms = None
        settings = _make_settings()
        sockets = listen_on(settings.listeners.addresses())
        self.address = settings.listeners.callers
        self.platform = PlatformNode(self.loop, settings, sockets)
        self.node = self.platform.node
        self.node.on_stopped = self._on_stopped
        self._configure()

    def run_for(self, delay_ms):
        """Run the loop for some simulated milliseconds."""
        until_ms = self.clock.time_ms + delay_ms
        self.loop.run_until(
            lambda: self._advance() >= until_ms or self.ended_ms is not None,
            _TICK_S,
        )

    def stop(self):
        """Deliver the signal."""
        if self._stopped_at_ms is None:
            self._stopped_at_ms = self.clock.time_ms
        self.node.stop()

    def reload(self, grace_ms):
        """Deliver the signal of changed settings.

        Args:
          grace_ms: The new grace period.
        """
        self.platform.reload(_make_settings(grace_ms))

    def connect(self):
        """Return a connection to the instance, None if it is refused."""
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return None
        sock.setblocking(False)
        return sock

    def send(self, target, *, sock=None, missing=0):
        """Send a request.

        Args:
          target: `/once/`, `/again/` or `/stream/`, with `?ms=` and how long
            the server works, and optionally `&size=` of a plain answer.
          sock: The connection; a new one by default.
          missing: How many bytes of the body are not sent.
        Returns:
          The Caller, or None if the connection is refused.
        """
        sock = sock or self.connect()
        if sock is None:
            return None
        caller = Caller(sock, f'r{len(self.requests)}', self.since_stop_ms())
        self.requests.append(caller)
        lines = (
            f'POST {target} HTTP/1.1',
            f'Host: {_HOST}',
            f'{REQUEST_ID}: {caller.request_id}',
            f'X-Crankchute-Deadline-Ms: {_DEADLINE_MS}',
            f'Content-Length: {missing}',
            '\r\n',
        )
        sock.sendall('\r\n'.join(lines).encode())
        return caller

    def since_stop_ms(self):
        """Return the milliseconds since the signal, negative before it."""
        if self._stopped_at_ms is None:
            return float('-inf')
        return self.clock.time_ms - self._stopped_at_ms

    def list_lost(self):
        """Return the Callers whose requests a server ran and that were cut."""
        return [
            caller
            for caller in self.requests
            if caller.ending == Ending.CUT
            and caller.request_id in self.server.runs
        ]

    def _advance(self):
        self._poll()
        self._disable_timeouts()
        if self._has_stopped and self.ended_ms is None:
            self._end_process()
        self.clock.time_ms += _STEP_MS
        return self.clock.time_ms

    def _poll(self):
        for caller in self.requests:
            caller.poll()

    def _disable_timeouts(self):
        """Disable the limit of the system on callers that do not read.

        It is a time on the real clock, on which a step may take any time.
        """
        for server in self._list_servers():
            for sock in server._clients:  # noqa: SLF001, WPS437
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

    def _list_servers(self):
        return [
            component
            for component in self.loop.components
            if isinstance(component, ForwardServer)
        ]

    def _on_stopped(self):
        self._has_stopped = True

    def _end_process(self):
        """End all connections, as the system does for a process that ends."""
        self.ended_ms = self.since_stop_ms()
        # A loop that stops still handles what it has read from the poller.
        self.loop._running = False  # noqa: SLF001, WPS437
        for _ in range(_FINAL_TICKS):
            self.loop.tick(0)
        self.loop._running = True  # noqa: SLF001, WPS437
        for server in self._list_servers():
            _close_all(server)
        _close_all(self.platform.http_client.hub)
        self._poll()

    def _configure(self):
        config = {
            'version': 1,
            'services': [{'name': _POOL}],
            'routes': [
                _make_route('/once/', 'non_idempotent'),
                _make_route('/again/', 'idempotent'),
                _make_route('/stream/', 'streaming'),
            ],
        }
        self.platform._apply_config(  # noqa: SLF001, WPS437
            orjson.dumps(config),
        )
        self.node.fleet.put(
            ListedServer(
                {
                    'id': 'i-0',
                    'kind': 'backend',
                    'address': self.server.address,
                    'data_centre': 'one',
                    'labels': {POOL_LABEL: _POOL},
                    'born': 1,
                    'cold_remaining_ms': 0,
                }
            )
        )
        self.node.record_listed()


def _close_all(server):
    if server.channel != 'paced':
        server.stop_listening()
        for sock in tuple(server._clients):  # noqa: SLF001, WPS437
            server._close(sock)  # noqa: SLF001, WPS437


def _make_route(prefix, kind):
    return {
        'host': _HOST,
        'path-prefix': prefix,
        'kind': kind,
        'service': _POOL,
        'timeout-ms': _DEADLINE_MS,
        'target-latency-ms': _GOAL_MS,
        'gap_aim_ms': 1000,
        'max-attempts': 2,
    }


def _make_settings(grace_ms=GRACE_MS):
    *ports, metrics_port = pick_ports(4)
    callers, readiness, control = (f'{LOOPBACK}:{port}' for port in ports)
    settings = read_settings(
        {
            'node-name': 'edge-1',
            'zone': 'one',
            'zones': {'one': 'r'},
            'internal-port-range': [7340, 7355],
            'listen': {
                'frontend': callers,
                'readiness': readiness,
                'control': control,
            },
            'bounds': {'grace-s': grace_ms / 1000},
            'platform': {'address': f'{LOOPBACK}:1'},
        }
    )
    settings.listeners.set_metrics_port(metrics_port)
    return settings
