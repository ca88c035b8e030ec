"""A whole instance on a simulated clock that is stopped under load, for tests.

Callers, the instance and a server talk over loopback connections on one event
loop.  The clock advances by a fixed step for each iteration of the loop.
"""

import enum
import socket
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import orjson

from crankchute.adapters.early_listen import listen_on
from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.loop import Loop
from crankchute.core.fleet import ListedServer
from crankchute.platform.node import PlatformNode
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.settings import read_settings
from crankchute.platform.wire import REQUEST_ID, SIGNATURE
from crankchute.ports.time import Clock
from crankchute.standins.ports import LOOPBACK, pick_ports

_HOST = 'a.example'
_POOL = 'pool'
_STEP_MS = 4
_TICK_S = 0.001
_IDLE_MS = 60_000
_EVENT_INTERVAL_MS = 100
_READ_SIZE = 65_536
#: The time after the signal at which the platform kills the process.
GRACE_MS = 8000


class Ending(enum.Enum):
    """What a caller received for a request."""

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    FAILED = 'failed'
    #: The connection ended without a complete response.
    CUT = 'cut'


class StepClock(Clock):
    """A clock that a test advances.

    Attributes:
      time_ms: The time.
    """

    def __init__(self):
        """Start the clock at zero."""
        self.time_ms = float(0)

    def now_ms(self):
        """See Clock."""
        return self.time_ms


class PacedServer:
    """A server that works for as long as each request's query says.

    Attributes:
      runs: The ids of the requests that it began to process, a set.
    """

    def __init__(self, loop):
        """Start the server.

        Args:
          loop: The Loop.
        """
        self._timers = loop.timers
        self._server = ForwardServer(
            (LOOPBACK, 0),
            self._on_request,
            loop.timers,
            channel='paced',
            idle_ms=_IDLE_MS,
        ).register(loop)
        self.runs = set()

    @property
    def address(self):
        """The address that it listens on, "IP:port"."""
        return f'{LOOPBACK}:{self._server.port}'

    def _on_request(self, exchange):
        request_id = exchange.header(REQUEST_ID)
        self.runs.add(request_id)
        headers = [(REQUEST_ID, request_id), (SIGNATURE, 'signed')]
        target = urlsplit(exchange.target)
        takes_ms = int(parse_qs(target.query)['ms'][0])
        if target.path.startswith('/stream/'):
            exchange.start(HTTPStatus.OK, headers)
            self._send_event(exchange, takes_ms, 0)
            return
        timer = self._timers.after(
            takes_ms, lambda: exchange.reply(HTTPStatus.OK, b'done', headers)
        )
        exchange.on_gone = timer.cancel

    def _send_event(self, exchange, left_ms, number):
        exchange.send(b'id: %d\ndata: piece\n\n' % number)
        if left_ms <= 0:
            exchange.finish()
            return
        pause_ms = min(left_ms, _EVENT_INTERVAL_MS)
        timer = self._timers.after(
            pause_ms,
            lambda: self._send_event(exchange, left_ms - pause_ms, number + 1),
        )
        exchange.on_gone = timer.cancel


class Caller:
    """A request of a caller.

    Attributes:
      request_id: The request's id, a string.
      sent_ms: When it was sent, in milliseconds after the signal.
      ending: An Ending, or None while the caller waits.
      status: The HTTP status, an int, or None.
      reads: Whether the caller reads what arrives, a bool.
    """

    def __init__(self, sock, request_id, sent_ms):
        """Wait for the response to a request.

        Args:
          sock: The connection on which it was sent.
          request_id: A string.
          sent_ms: See the class.
        """
        self.sock = sock
        self.request_id = request_id
        self.sent_ms = sent_ms
        self.ending = None
        self.status = None
        self.reads = True
        self._received = b''

    @property
    def keeps_connection(self):
        """Whether the connection can be used again, a bool."""
        return self.ending != Ending.CUT and b'\r\nConnection: close' not in (
            self._received
        )

    def poll(self):
        """Read what has arrived."""
        if self.ending is not None or not self.reads:
            return
        try:
            chunk = self.sock.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        self._received += chunk
        if self._is_complete():
            self.status = int(self._received.split(b' ', 2)[1])
            self.ending = _classify(self.status)
        elif not chunk:
            self.ending = Ending.CUT

    def _is_complete(self):
        head, separator, body = self._received.partition(b'\r\n\r\n')
        if not separator:
            return False
        if b'Transfer-Encoding' in head:
            return body.endswith(b'0\r\n\r\n')
        length = head.split(b'Content-Length: ')[1].split(b'\r\n')[0]
        return len(body) >= int(length)


def _classify(status):
    if status == HTTPStatus.OK:
        return Ending.WHOLE
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Ending.NOT_RUN
    return Ending.FAILED


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

    def send(self, target, *, sock=None, deadline_ms=10_000, body=b''):
        """Send a request.

        Args:
          target: `/once/`, `/again/` or `/stream/`, with `?ms=` and how long
            the server works.
          sock: The connection; a new one by default.
          deadline_ms: For how long the caller waits.
          body: Bytes.
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
            f'X-Crankchute-Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
            '\r\n',
        )
        sock.sendall('\r\n'.join(lines).encode() + body)
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
        for caller in self.requests:
            caller.poll()
        if self._has_stopped and self.ended_ms is None:
            self._end_process()
        self.clock.time_ms += _STEP_MS
        return self.clock.time_ms

    def _on_stopped(self):
        self._has_stopped = True

    def _end_process(self):
        """End all connections, as the system does for a process that ends."""
        self.ended_ms = self.since_stop_ms()
        for component in tuple(self.loop.components):
            if isinstance(component, ForwardServer):
                _close_all(component)
        _close_all(self.platform.http_client.hub)

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
        'timeout-ms': 10_000,
        'target-latency-ms': 300,
        'gap_aim_ms': 1000,
        'max-attempts': 2,
    }


def _make_settings():
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
            'bounds': {'grace-s': GRACE_MS / 1000},
            'platform': {'address': f'{LOOPBACK}:1'},
        }
    )
    settings.listeners.set_metrics_port(metrics_port)
    return settings
