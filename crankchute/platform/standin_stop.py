"""A whole instance on a simulated clock that is stopped under load, for tests.

Callers, the instance and a server talk over loopback connections on one event
loop.  The clock advances by a fixed step for each iteration of the loop.
"""

import signal
import socket
from types import MappingProxyType

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
#: The name of the pool of all servers.
POOL = 'pool'
_SERVICES = ({'name': POOL},)
_KINDS = MappingProxyType(
    {
        '/once/': 'non_idempotent',
        '/again/': 'idempotent',
        '/stream/': 'streaming',
    }
)
#: How far the clock advances for each iteration of the loop.
STEP_MS = 4
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

    def __init__(self, clock=None):
        """Start the instance.

        Args:
          clock: A StepClock that several instances share, or None.
        """
        self.clock = clock or StepClock()
        self.loop = Loop(self.clock)
        self.server = PacedServer(self.loop)
        self.requests = []
        self.ended_ms = None
        self._has_stopped = False
        self._stopped_at_ms = None
        self._version = 0
        settings = _make_settings()
        sockets = listen_on(settings.listeners.addresses())
        self.address = settings.listeners.callers
        self.platform = PlatformNode(self.loop, settings, sockets)
        self.node = self.platform.node
        self.node.on_stopped = self._on_stopped
        self.loop.on_stop_signal(self.node.stop)
        self.configure()
        self._list_server()

    @property
    def relay_address(self):
        """The address for relayed requests, a pair of IP and port."""
        return self.platform._relay_sock.getsockname()  # noqa: SLF001, WPS437

    def run_for(self, delay_ms):
        """Run the loop for some simulated milliseconds."""
        until_ms = self.clock.time_ms + delay_ms
        self.loop.run_until(
            lambda: self._advance() >= until_ms or self.ended_ms is not None,
            _TICK_S,
        )

    def run_once(self):
        """Run one iteration of the loop without advancing the clock."""
        if self.ended_ms is None:
            turns = iter((False, True))
            self.loop.run_until(lambda: next(turns), 0)
            self._observe()

    def stop(self):
        """Send the signal; the instance notices it at once."""
        self._record_stop()
        self.node.stop()

    def stop_while_busy(self, busy_ms):
        """Send the signal to a process that is busy with something else.

        Args:
          busy_ms: For how long the process does not notice it.
        """
        self._record_stop()
        self.clock.advance(busy_ms)
        # The method that circuits installs as the signal's handler.
        self.loop._signal_handler(signal.SIGTERM, None)  # noqa: SLF001, WPS437

    def reload(self, grace_ms):
        """Deliver the signal of changed settings.

        Args:
          grace_ms: The new grace period.
        """
        self.platform.reload(_make_settings(grace_ms))

    def configure(self, *, services=_SERVICES, kinds=_KINDS, **route_fields):
        """Let a new configuration take effect.

        Args:
          services: The documents of the pools.
          kinds: A map from path prefix to the kind of its route.
          route_fields: Fields of all routes that differ from the default.
        """
        self._version += 1
        config = {
            'version': self._version,
            'services': list(services),
            'routes': [
                {**_make_route(prefix, kind), **route_fields}
                for prefix, kind in kinds.items()
            ],
        }
        self.platform._apply_config(  # noqa: SLF001, WPS437
            orjson.dumps(config),
        )

    def connect(self, address=None):
        """Return a connection to the instance, None if it is refused.

        Args:
          address: A pair of IP and port; the one for callers by default.
        """
        sock = socket.socket()
        try:
            sock.connect(address or self.address)
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

    def _record_stop(self):
        if self._stopped_at_ms is None:
            self._stopped_at_ms = self.clock.time_ms

    def _advance(self):
        self._observe()
        return self.clock.advance(STEP_MS)

    def _observe(self):
        self._poll()
        self._disable_timeouts()
        if self._has_stopped and self.ended_ms is None:
            self._end_process()

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

    def _list_server(self):
        self.node.fleet.put(
            ListedServer(
                {
                    'id': 'i-0',
                    'kind': 'backend',
                    'address': self.server.address,
                    'data_centre': 'one',
                    'labels': {POOL_LABEL: POOL},
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
        'service': POOL,
        'timeout-ms': _DEADLINE_MS,
        'target-latency-ms': _GOAL_MS,
        'gap_aim_ms': 1000,
        'max-attempts': 2,
    }


def _make_settings(grace_ms=GRACE_MS):
    *ports, relay_port, metrics_port = pick_ports(5)
    callers, readiness, control = (f'{LOOPBACK}:{port}' for port in ports)
    settings = read_settings(
        {
            'node-name': 'edge-1',
            'zone': 'one',
            'zones': {'one': 'r'},
            'internal-port-range': [relay_port, relay_port],
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
