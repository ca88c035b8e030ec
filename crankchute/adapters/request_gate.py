"""Applies the decisions of RequestMemory to the connections of callers."""

from http import HTTPStatus

from crankchute.adapters.log import log_change
from crankchute.adapters.sockets import has_input
from crankchute.core.request_claim import Decision, MemoryClaim
from crankchute.core.request_memory import SMALL_BYTES
from crankchute.errors import RequestRefused

_CHECK_MS = 100
#: How long a caller is assumed to wait if it does not say so, in milliseconds.
_DEFAULT_WAIT_MS = 10_000
NO_MEMORY = 'no_memory'


class Sender:
    """What the head of a request says about its caller.

    Attributes:
      owner: A label of the client account, or None.
      allowed_ms: How long the caller waits for the answer, or None.
      request_id: The id of the request for logs, or None.
    """

    __slots__ = ('allowed_ms', 'owner', 'request_id')

    def __init__(self, owner=None, allowed_ms=None, request_id=None):
        """Create the record.

        Args:
          owner: See the class.
          allowed_ms: See the class.
          request_id: See the class.
        """
        self.owner = owner
        self.allowed_ms = allowed_ms
        self.request_id = request_id


class OpenGate:
    """Lets all requests into the memory of the process."""

    def admit(self, _server, _sock, reader):
        """See RequestGate."""
        reader.allow_body()
        return True

    def release(self, sock):
        """See RequestGate."""


class RequestGate(OpenGate):
    """Lets requests into the memory of the process.

    Attributes:
      choose_retry_ms: A function of the time until memory is free, in
        milliseconds, that returns when a refused caller should return.
      memory: The RequestMemory.
    """

    def __init__(self, memory, timers, metrics):
        """Start the periodic check.

        Args:
          memory: A RequestMemory.
          timers: A TimerService.
          metrics: A Metrics port.
        """
        self.choose_retry_ms = round
        self.memory = memory
        self._timers = timers
        self._metrics = metrics
        self._entries = {}
        self._by_claim = {}
        timers.every(_CHECK_MS, self._check)

    def admit(self, server, sock, reader):
        """Decide about a request of which bytes were read.

        Args:
          server: The ForwardServer of the caller.
          sock: The caller's socket.
          reader: The RequestReader.
        Returns:
          Whether the request is read on.  If not, it waits or is refused.
        """
        now_ms = self._timers.clock.now_ms()
        entry = self._entries.get(sock)
        if entry is None:
            claim = MemoryClaim(None, now_ms, now_ms + _DEFAULT_WAIT_MS)
            entry = _Entry(server, sock, reader, claim)
            self._entries[sock] = entry
            self._by_claim[claim] = entry
        claim = entry.claim
        claim.record_progress(now_ms, is_complete=reader.done)
        decision = Decision.GRANTED
        if claim.is_large:
            self._shrink(entry)
        else:
            decision = self._claim(entry, now_ms)
        return self._apply(entry, decision)

    def release(self, sock):
        """Return the memory of a request that ended or was refused.

        Args:
          sock: The caller's socket.
        """
        entry = self._entries.pop(sock, None)
        if entry is not None:
            self._by_claim.pop(entry.claim)
            self.memory.release(entry.claim, self._timers.clock.now_ms())
            self._grant_waiting()

    def _shrink(self, entry):
        """Return the memory that a request turns out not to need."""
        if entry.reader.done:
            self.memory.shrink(entry.claim, entry.reader.size)
            self._grant_waiting()

    def _claim(self, entry, now_ms):
        """Claim memory for a request that has none, or that has grown."""
        reader = entry.reader
        declared = reader.declared_size
        body_size = reader.body_size if declared is None else declared
        if reader.done or body_size <= SMALL_BYTES:
            size = reader.size - reader.body_size + body_size
            return self.memory.claim_small(entry.claim, size)
        sender = entry.describe_sender()
        claim = entry.claim
        claim.owner = sender.owner or entry.find_peer()
        if sender.allowed_ms is not None:
            claim.deadline_ms = claim.arrived_ms + sender.allowed_ms
        size = reader.max_size
        if declared is not None:
            size = reader.size - reader.body_size + declared
        return self.memory.claim_large(
            claim, size, now_ms, may_wait=entry.server.may_wait
        )

    def _apply(self, entry, decision):
        if decision == Decision.GRANTED:
            entry.reader.allow_body()
            return True
        if decision == Decision.WAITS:
            entry.reader.pause(self._timers.clock.now_ms())
            entry.server.pause_reading(entry.sock)
            self._metrics.count('requests_waited')
            self._log('request_waits', entry)
            self._timers.after(0, self._check)
        elif decision == Decision.TOO_LARGE:
            self._refuse(
                entry,
                RequestRefused(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    'body_too_large',
                    'the request exceeds the memory for requests',
                ),
            )
        else:
            self._refuse_for_memory(entry)
        return False

    def _grant_waiting(self):
        now_ms = self._timers.clock.now_ms()
        for claim in self.memory.grant_waiting(now_ms):
            entry = self._by_claim[claim]
            self._log('request_read_on', entry)
            entry.reader.resume(now_ms)
            entry.reader.allow_body()
            entry.server.resume_reading(entry.sock)

    def _check(self):
        now_ms = self._timers.clock.now_ms()
        for late in self.memory.list_late(now_ms):
            self._refuse_as_slow(self._by_claim[late])
        stalled = self._by_claim.get(self.memory.find_stalled(now_ms))
        # Bytes that this process has not read yet are progress of the caller.
        if stalled is not None and not has_input(stalled.sock):
            self._refuse_as_slow(stalled)
        for claim in self.memory.list_hopeless(now_ms):
            # A refusal before may have granted its memory.
            if claim.waits:
                self._refuse_for_memory(self._by_claim[claim])

    def _refuse_for_memory(self, entry):
        now_ms = self._timers.clock.now_ms()
        size = entry.reader.declared_size or entry.reader.max_size
        retry_ms = self.memory.predict_wait_ms(size, now_ms)
        if retry_ms is None:
            retry_ms = (entry.claim.deadline_ms - now_ms) / 2
        self._log('request_refused_for_memory', entry)
        self._refuse(
            entry,
            RequestRefused(
                HTTPStatus.SERVICE_UNAVAILABLE,
                NO_MEMORY,
                'there is no memory for this request',
                retry_after_ms=self.choose_retry_ms(max(retry_ms, _CHECK_MS)),
            ),
        )

    def _refuse_as_slow(self, entry):
        self._log('request_ended_as_slow', entry)
        self._refuse(
            entry,
            RequestRefused(
                HTTPStatus.REQUEST_TIMEOUT,
                'slow_sender',
                'the request did not arrive in time',
            ),
        )

    def _refuse(self, entry, refusal):
        entry.server.refuse(entry.sock, refusal)

    def _log(self, kind, entry):
        """Log a decision with what it rests on."""
        claim = entry.claim
        now_ms = self._timers.clock.now_ms()
        log_change(
            kind,
            request=entry.describe_sender().request_id,
            size=claim.size,
            received=entry.reader.size,
            waited_ms=round(now_ms - claim.arrived_ms),
            remaining_ms=round(claim.deadline_ms - now_ms),
            used=self.memory.used,
            limit=self.memory.limit,
            waiting=len(self.memory.waiting),
        )


class _Entry:
    """A request in memory, and where it comes from."""

    __slots__ = ('claim', 'reader', 'server', 'sock')

    def __init__(self, server, sock, reader, claim):
        self.claim = claim
        self.reader = reader
        self.server = server
        self.sock = sock

    def describe_sender(self):
        """Return the Sender of the request."""
        return self.server.describe_sender(self.reader)

    def find_peer(self):
        """Return the caller's IP number, or None if it has disconnected."""
        try:
            return self.sock.getpeername()[0]
        except OSError:
            return None
