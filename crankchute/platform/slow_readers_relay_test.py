"""A relay with raw sockets for tests of slow callers and servers.

The relay on one event loop forwards requests from raw sockets to raw sockets.
Its clock advances only when a test says so.
"""

import random
import socket
import time

from crankchute.adapters import backpressure, forward_server
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.loop import Loop
from crankchute.core.crash_history import CrashHistory
from crankchute.core.fakes import ManualClock
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_fakes import (
    POOL,
    FakeJournal,
    FakeReservations,
    FirstChooser,
    make_chooser_parts,
    make_job,
)
from crankchute.core.answer_reading import AnswerReading
from crankchute.core.forward_job import RetryMode
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.reservations import ReservationManager
from crankchute.core.retry_hints import RetryHints
from crankchute.core.sliding_budget import RetryLimits
from crankchute.platform.answers import ExchangeAnswer
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.requests import RequestPayload
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.slow_readers_peers_test import (
    Caller,
    ServerConnection,
)
from crankchute.platform.wire import REQUEST_ID
from crankchute.ports.metrics import Metrics

_LOOPBACK = '127.0.0.1'
MEMORY = 200 * 1_048_576
#: Real time after which a test gives up; far above what a busy machine needs.
_GIVE_UP_S = 120


class Relay:
    """Forwards requests between the callers and servers of a test."""

    def __init__(self, memory=MEMORY):
        self.clock = ManualClock()
        self.loop = Loop(self.clock)
        self.metrics = Metrics()
        self.journal = FakeJournal()
        self.connections = []
        self.callers = []
        self.listener = socket.socket()
        # A small buffer of the server shows soon that it does not read.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self.listener.bind((_LOOPBACK, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        timers = self.loop.timers
        client = HttpClient(timers=timers).register(self.loop)
        self.hub = client.hub
        self.forwarder = self._make_forwarder(client)
        self.server = forward_server.ForwardServer(
            (_LOOPBACK, 0),
            self._on_request,
            timers,
            channel='relay',
            idle_ms=600_000,
        ).register(self.loop)
        self.backpressure = backpressure.Backpressure(
            memory, timers, self.metrics
        )
        self.backpressure.watch_servers(client)
        self.backpressure.watch_callers(self.server)
        self.repeat = RetryMode.RESUME

    @property
    def total(self):
        return self.backpressure.total

    @property
    def paused(self):
        return len(self.hub._paused)  # noqa: WPS437

    def call(self, path='/stream', body=b''):
        """Send a request and return its caller, not waiting for the server."""
        caller = Caller(self.server.port, path, body)
        self.callers.append(caller)
        return caller

    def open(self, path='/stream'):
        """Send a request; return its caller and the server's connection."""
        caller = self.call(path)
        known = len(self.connections)
        self.run(lambda: len(self.connections) > known)
        connection = self.connections[-1]
        self.run(lambda: b'\r\n\r\n' in connection.received)
        return caller, connection

    def run(self, is_done):
        """Run the loop and the servers until a condition holds."""
        give_up_s = time.monotonic() + _GIVE_UP_S

        def step():
            assert time.monotonic() < give_up_s
            self._pump()
            return is_done()

        self.loop.run_until(step, 0.001)

    def run_clock(self, is_done):
        """Run as run() does, advancing the clock in small steps.

        Bytes can leave the queue of a socket for some time after its peer
        stopped reading, so the time of the last progress is not known.
        """

        def step():
            self.clock.time_ms += 10
            return is_done()

        self.run(step)

    def settle(self, steps=100):
        """Run the loop a number of times."""
        remaining = iter(range(steps))
        self.run(lambda: next(remaining, None) is None)

    def advance(self, delay_ms):
        """Advance the clock in small steps, running the loop in each."""
        until_ms = self.clock.time_ms + delay_ms
        while self.clock.time_ms < until_ms:
            self.clock.time_ms += 20
            self.settle(3)

    def close(self):
        for opened in (*self.callers, *self.connections):
            opened.sock.close()
        self.listener.close()
        self.server.close()

    def _pump(self):
        try:
            sock, _address = self.listener.accept()
        except BlockingIOError:
            sock = None
        if sock is not None:
            self.connections.append(ServerConnection(sock))
        for connection in self.connections:
            connection.pump()
        for caller in self.callers:
            if caller.pending:
                caller.send()

    def _make_forwarder(self, client):
        timers = self.loop.timers
        calls = ServerCalls(client, timers.clock)
        port = self.listener.getsockname()[1]
        backends = [_list_server(number, port) for number in range(2)]
        self.chooser = FirstChooser(
            make_chooser_parts(timers, lambda: backends)
        )
        self.chooser.max_silence_ms = 1000
        ports = ForwarderPorts(
            forward=BackendCalls(client, calls),
            timers=timers,
            metrics=self.metrics,
            journal=self.journal,
            reservations=ReservationManager(
                FakeReservations(),
                timers,
                self.metrics,
                self.journal,
                'instance-boot',
            ),
            hints=RetryHints(random.Random(1)),
            crashes=CrashHistory(timers.clock.now_ms),
            record_moved=lambda _backend: None,
            find_chooser={POOL: self.chooser}.get,
        )
        limits = RetryLimits(ratio=0, slack=100, window_ms=10_000)
        return Forwarder(ports, limits)

    def _on_request(self, exchange):
        request_id = f'r{len(self.callers)}'
        headers = [(REQUEST_ID, request_id)]
        job = make_job(
            request_id=request_id,
            deadline_ms=self.clock.time_ms + 600_000,
            is_stream=exchange.target == '/stream',
            repeat=self.repeat,
            size=None,
            payload=RequestPayload('POST', '/p', headers, exchange.body),
        )
        flow = self.forwarder.submit(job, ExchangeAnswer(exchange))
        exchange.on_gone = flow.cancel
        exchange.request_id = job.request_id
        exchange.source = AnswerReading(flow)


def _list_server(number, port):
    return Backend(
        ListedServer(
            {
                'id': f'server-{number}',
                'kind': 'backend',
                'address': f'{_LOOPBACK}:{port}',
                'data_centre': 'one',
                'labels': {'pool': POOL},
            }
        )
    )
