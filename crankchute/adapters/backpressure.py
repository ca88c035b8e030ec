"""Applies the decisions of SendBuffers to the sockets of a process.

DirectServer reports the bytes that a socket does not accept to the listener in
its attribute `unsent`.  There is one listener for the connections to callers
and one for those to servers; both share one SendBuffers.
"""

from crankchute.adapters.log import log_change
from crankchute.adapters.request_gate import RequestGate
from crankchute.core.request_memory import RequestMemory
from crankchute.core.send_buffers import SendBuffers, Transfer

_CHECK_MS = 100
#: How many transfers the state dump lists, the largest first.
_DUMPED = 20


class Backpressure:
    """Pauses, resumes and ends transfers, and bounds requests in memory.

    Attributes:
      buffers: The SendBuffers.
      gate: The RequestGate.
    """

    def __init__(self, memory_bytes, timers, metrics):
        """Start the periodic check.

        Args:
          memory_bytes: The memory limit of the process.
          timers: A TimerService.
          metrics: A Metrics port.
        """
        self.buffers = SendBuffers(memory_bytes)
        self.gate = RequestGate(RequestMemory(memory_bytes), timers, metrics)
        self._timers = timers
        self._metrics = metrics
        self._listeners = []
        self._hubs = []
        self._servers = []
        self._is_check_due = False
        timers.every(_CHECK_MS, self._check)

    @property
    def total(self):
        """The bytes of requests and answers, read or not, an int."""
        unread = sum(server.count_unread() for server in self._servers)
        return self.buffers.total + self.gate.memory.used + unread

    def change_memory(self, memory_bytes):
        """Change the memory limit of the process.

        Args:
          memory_bytes: The limit in bytes.
        """
        self.buffers.change_memory(memory_bytes)
        self.gate.memory.change_memory(memory_bytes)

    def watch_callers(self, server):
        """Bound the bytes held for the callers of a server.

        Args:
          server: A ForwardServer.
        """
        server.gate = self.gate
        self._servers.append(server)
        server.unsent = CallerListener(self, server)
        self._listeners.append(server.unsent)

    def watch_servers(self, client):
        """Bound the bytes held for backend servers.

        Args:
          client: An HttpClient.
        """
        client.hub.unsent = ServerListener(self, client)
        self._listeners.append(client.hub.unsent)
        self._hubs.append(client.hub)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._timers.clock.now_ms()

    def record_paused(self):
        """Count a pause."""
        self._metrics.count('answers_paused')

    def check_total(self):
        """End transfers soon if the total is over its bound.

        The check does not run immediately, since its caller may be in the
        middle of the answer that is ended.
        """
        is_over = self.buffers.total > self.buffers.end_total
        if is_over and not self._is_check_due:
            self._is_check_due = True
            self._timers.after(0, self._end_excess)

    def log_end(self, transfer, kind, cause):
        """Log and count that a transfer is ended.

        Args:
          transfer: The Transfer.
          kind: `caller_too_slow` or `server_too_slow`.
          cause: `no_progress` or `total`.
        """
        self._metrics.count(kind, cause)
        log_change(
            kind,
            failed=True,
            cause=cause,
            total=self.buffers.total,
            **_dump(transfer, self.now_ms()),
        )

    def dump(self):
        """Return the state for operators, a dict of JSON values."""
        now_ms = self.now_ms()
        largest = sorted(
            self.buffers.transfers, key=lambda one: one.size, reverse=True
        )
        return {
            'total': self.total,
            'unread': self.buffers.unread,
            'requests': self._dump_requests(),
            'pause_total': self.buffers.pause_total,
            'end_total': self.buffers.end_total,
            'transfers': len(largest),
            'largest': [_dump(one, now_ms) for one in largest[:_DUMPED]],
        }

    def _dump_requests(self):
        memory = self.gate.memory
        return {
            'used': memory.used,
            'limit': memory.limit,
            'large': memory.large_used,
            'waiting': len(memory.waiting),
        }

    def _check(self):
        now_ms = self.now_ms()
        for listener in self._listeners:
            listener.update_queues(now_ms)
        for stalled in self.buffers.list_stalled(now_ms):
            self._end(stalled, 'no_progress')
        for interrupted in self.buffers.list_interrupted(now_ms):
            for caller_listener in self._listeners:
                caller_listener.resume(interrupted)
        self._end_excess()

    def _end_excess(self):
        self._is_check_due = False
        while self._update_total() > self.buffers.end_total:
            transfer = self.buffers.find_excess(self.now_ms())
            if transfer is None:
                return
            self._end(transfer, 'total')

    def _update_total(self):
        self.buffers.unread = sum(hub.count_unread() for hub in self._hubs)
        return self.buffers.total

    def _end(self, transfer, cause):
        for listener in self._listeners:
            listener.end(transfer, cause)
        self.buffers.close(transfer)


class _Listener:
    """Keeps the Transfer of each socket of a server that holds bytes for it."""

    _is_answer = False
    _kind = 'server_too_slow'

    def __init__(self, owner, endpoint):
        """Create the listener.

        Args:
          owner: The Backpressure.
          endpoint: The component that the sockets belong to.
        """
        self._owner = owner
        self._buffers = owner.buffers
        self._endpoint = endpoint
        self._transfers = {}
        self._sockets = {}

    def record_unsent(self, sock, size):
        """Record bytes that a socket did not accept.

        Args:
          sock: A socket.
          size: The number of bytes.
        """
        transfer = self._transfers.get(sock) or self._open(sock)
        was_paused = transfer.is_paused
        if self._buffers.add_unsent(transfer, size, self._owner.now_ms()):
            self._endpoint.pause_source(sock)
            if not was_paused:
                self._owner.record_paused()
        self._owner.check_total()

    def record_sent(self, sock, size):
        """Record that a socket accepted buffered bytes.

        Args:
          sock: A socket.
          size: The number of bytes.
        """
        transfer = self._transfers.get(sock)
        if transfer is None:
            return
        if self._buffers.record_sent(transfer, size, self._owner.now_ms()):
            self._endpoint.resume_source(sock)
        if not transfer.size:
            self.forget(sock)

    def record_held(self, sock, size):
        """Set the bytes of an answer that is being collected.

        Args:
          sock: A socket.
          size: The number of bytes.
        """
        transfer = self._transfers.get(sock)
        if transfer is None and not size:
            return
        transfer = transfer or self._open(sock)
        self._buffers.record_held(transfer, size, self._owner.now_ms())
        if transfer.size:
            self._owner.check_total()
        else:
            self.forget(sock)

    def forget(self, sock):
        """Forget a socket that is closed or holds no bytes.

        Args:
          sock: A socket.
        """
        transfer = self._transfers.pop(sock, None)
        if transfer is not None:
            self._sockets.pop(transfer)
            self._buffers.close(transfer)

    def resume(self, transfer):
        """Resume reading the answer of a Transfer if it belongs here."""
        sock = self._sockets.get(transfer)
        if sock is not None:
            self._endpoint.resume_source(sock)

    def end(self, transfer, cause):
        """End a Transfer if it belongs here.

        Args:
          transfer: A Transfer.
          cause: See Backpressure.log_end.
        """
        sock = self._sockets.get(transfer)
        if sock is not None:
            self._owner.log_end(transfer, self._kind, cause)
            self._endpoint.end_slow(sock)
            self.forget(sock)

    def update_queues(self, now_ms):
        """Record the progress that the sockets make by themselves.

        Args:
          now_ms: The time in milliseconds.
        """
        for sock, transfer in self._transfers.items():
            if transfer.unsent:
                queued = self._endpoint.count_queued(sock)
                transfer.record_queue(queued, now_ms)

    def _open(self, sock):
        transfer = Transfer(
            is_answer=self._is_answer,
            label=self._endpoint.label_of(sock),
        )
        self._transfers[sock] = transfer
        self._sockets[transfer] = sock
        return transfer


class CallerListener(_Listener):
    """Bounds the answers to callers."""

    _is_answer = True
    _kind = 'caller_too_slow'


class ServerListener(_Listener):
    """Ends requests that backend servers do not read."""


def _dump(transfer, now_ms):
    return {
        'request' if transfer.is_answer else 'server': transfer.label,
        'unsent': transfer.unsent,
        'held': transfer.held,
        'idle_ms': round(transfer.idle_ms(now_ms)),
        'paused': transfer.is_paused,
    }
