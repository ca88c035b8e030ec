"""Finds out which servers crashed under which requests.

A connection that ends without an answer may have been cut by its server, or on
the way: servers that drop one answer in twenty, and networks that reset half of
all connections, crash nothing.  So the server's address is asked at once
whether anybody listens there.  If nobody does, its process has ended, and
whatever was in progress there may have been the cause.
"""

from functools import partial

from crankchute.core.crash_blame import CRASHES_TO_HOLD
from crankchute.core.crash_ledger import REMEMBER_MS
from crankchute.core.outcomes import refuse_not_run

#: How long a process that ends may take to close all that it had open.
_CLOSING_MS = 20
#: How often what is old is forgotten, in milliseconds.
_FORGET_MS = 10_000


class _Doubt:
    """A server that cut connections, and may have crashed.

    Attributes:
      at_ms: When the first of them was cut.
      begun_ms: A map from the fingerprints of what was in progress on them to
        when that was sent first.
      waiting: Functions to call once it is known, a list.
    """

    __slots__ = ('at_ms', 'begun_ms', 'waiting')

    def __init__(self, at_ms):
        self.at_ms = at_ms
        self.begun_ms = {}
        self.waiting = []


class CrashWatch:
    """Asks about servers that cut connections, and keeps the ledger."""

    __slots__ = ('_doubts', '_ledger', '_on_crashed', '_port', '_timers')

    def __init__(self, ledger, port, timers, on_crashed=None):
        """Create the watch.

        Args:
          ledger: The CrashLedger.
          port: A ForwardPort.
          timers: A TimerService.
          on_crashed: A function of the Backend that crashed and of the
            fingerprints of the requests that it worked on; or None.
        """
        self._on_crashed = on_crashed
        self._ledger = ledger
        self._port = port
        self._timers = timers
        self._doubts = {}
        timers.every(_FORGET_MS, ledger.forget_old)

    def note_cut(self, attempt, fingerprint, on_known):
        """Note that a server cut the connection of a request.

        Args:
          attempt: The Attempt.
          fingerprint: The request's fingerprint.
          on_known: A function without arguments, called when the request may
            be sent again: at once, unless it would be held if the server has
            crashed.  Then nobody else's prompts should be broken off by one
            more; it takes 20 ms and a round trip.
        """
        backend = attempt.backend
        doubt = self._doubts.get(backend.identity)
        if doubt is None:
            doubt = _Doubt(self._timers.clock.now_ms())
            self._doubts[backend.identity] = doubt
            self._timers.after(_CLOSING_MS, partial(self._ask, backend))
        begun_ms = doubt.begun_ms.get(fingerprint, attempt.sent_ms)
        doubt.begun_ms[fingerprint] = min(begun_ms, attempt.sent_ms)
        if self._ledger.count_crashes(fingerprint) + 1 < CRASHES_TO_HOLD:
            on_known()
        else:
            doubt.waiting.append(on_known)

    def note_answered(self, fingerprint):
        """Note that a server gave a whole answer to a request.

        Args:
          fingerprint: The request's fingerprint.
        """
        self._ledger.note_answered(fingerprint)

    def is_suspect(self, fingerprint):
        """Tell whether a server crashed under a request, a bool.

        Args:
          fingerprint: The request's fingerprint.
        """
        return self._ledger.count_crashes(fingerprint) > 0

    def may_try_again(self, fingerprint):
        """Tell whether a submission that failed may go to another server.

        One that met as many ends as are enough to hold it may be their cause,
        though another request hides that.  Its caller may come back; but if each
        submission goes to two servers, two copies reach four before it is held:
        so in 1 of 400 simulated days (bench.crash_ways), where three may be.

        Args:
          fingerprint: The request's fingerprint.
        """
        return self._ledger.count_crashes(fingerprint) < CRASHES_TO_HOLD

    def find_refusal(self, fingerprint):
        """Return why a request must not be sent, a Refusal, or None.

        It is refused before it runs, and its caller is told when it would be
        tried again if it did not come meanwhile.

        Args:
          fingerprint: The request's fingerprint.
        """
        if not self._ledger.is_held(fingerprint):
            return None
        return refuse_not_run(
            'crashes_servers',
            'servers that ran this request crashed',
            REMEMBER_MS,
        )

    def _ask(self, backend):
        self._port.ask_listening(backend, partial(self._settle, backend))

    def _settle(self, backend, is_listening):
        doubt = self._doubts.pop(backend.identity)
        # Without an answer the network may be at fault.
        if is_listening is False:
            self._note_crash(backend, doubt)
        for on_known in doubt.waiting:
            on_known()

    def _note_crash(self, backend, doubt):
        # Nobody knows of it before its entry lapses, after three heartbeats.
        backend.breaker.trip(self._timers.clock.now_ms())
        if self._on_crashed is not None:
            self._on_crashed(backend, doubt.begun_ms)
        self._ledger.note_crash(
            backend.identity,
            doubt.at_ms,
            doubt.begun_ms,
            doubt.begun_ms,
        )
