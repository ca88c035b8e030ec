"""Detects servers that crashed, and records which requests they were running.

A connection that closes without an answer is no proof of a crash: a server or
the network may drop connections.  So the instance then probes the server's
address.  If nothing listens there, and no other instance reaches the server,
the process has exited, and any request in progress there may be the cause.
"""

from functools import partial

from crankchute.core.crash_attribution import CRASHES_TO_QUARANTINE
from crankchute.core.crash_history import RETENTION_MS
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.server_paths import AlwaysReached

#: How long an exiting process may take to close its listening socket.
_PROBE_DELAY_MS = 20
_EXPIRY_INTERVAL_MS = 10_000


class _Probe:
    """A pending check of a server that closed connections.

    Attributes:
      at_ms: When the first connection closed.
      begun_ms: A map from the fingerprints of the requests on the closed
        connections to when each was first sent.
      waiting: Functions to call when the result is known, a list.
    """

    __slots__ = ('at_ms', 'begun_ms', 'waiting')

    def __init__(self, at_ms):
        self.at_ms = at_ms
        self.begun_ms = {}
        self.waiting = []


class CrashDetector:
    """Probes servers that close connections, and updates the crash history."""

    __slots__ = (
        '_confirm',
        '_history',
        '_on_crashed',
        '_port',
        '_probes',
        '_timers',
    )

    def __init__(self, history, port, timers, on_crashed=None, *, confirm=None):
        """Create the watch.

        Args:
          history: The CrashHistory.
          port: A ForwardPort.
          timers: A TimerService.
          on_crashed: A function of the Backend that crashed and of the
            fingerprints of the requests in progress there; or None.
          confirm: A function of a Backend that refuses connections and of a
            callback, which gets whether the server crashed; None if every
            such server did.
        """
        self._confirm = confirm or AlwaysReached().confirm_crash
        self._on_crashed = on_crashed
        self._history = history
        self._port = port
        self._timers = timers
        self._probes = {}
        timers.every(_EXPIRY_INTERVAL_MS, history.discard_expired)

    def record_connection_lost(self, attempt, fingerprint, on_known):
        """Record that a server closed the connection of a request.

        Args:
          attempt: The Attempt.
          fingerprint: The request's fingerprint.
          on_known: A function without arguments, called when the request may
            be retried.  That is at once, unless a crash would quarantine the
            request; then it waits for the probe, so that the retry doesn't
            interrupt the requests of one more server.
        """
        backend = attempt.backend
        probe = self._probes.get(backend.identity)
        if probe is None:
            probe = _Probe(self._timers.clock.now_ms())
            self._probes[backend.identity] = probe
            self._timers.after(
                _PROBE_DELAY_MS, partial(self._send_probe, backend)
            )
        begun_ms = probe.begun_ms.get(fingerprint, attempt.sent_ms)
        probe.begun_ms[fingerprint] = min(begun_ms, attempt.sent_ms)
        if self._history.count_crashes(fingerprint) + 1 < CRASHES_TO_QUARANTINE:
            on_known()
        else:
            probe.waiting.append(on_known)

    def record_answered(self, fingerprint):
        """Record that a server answered a request completely.

        Args:
          fingerprint: The request's fingerprint.
        """
        self._history.record_answered(fingerprint)

    def is_suspect(self, fingerprint):
        """Return whether any server crashed while running a request.

        Args:
          fingerprint: The request's fingerprint.
        """
        return self._history.count_crashes(fingerprint) > 0

    def may_retry(self, fingerprint):
        """Return whether a failed request may be retried at another server.

        A request present at enough crashes may be their cause even if it is not
        quarantined, because another request was present as well.  The client
        may submit it again, but each submission gets one attempt: with two,
        concurrent copies can crash a fourth server before the quarantine.

        Args:
          fingerprint: The request's fingerprint.
        """
        return self._history.count_crashes(fingerprint) < CRASHES_TO_QUARANTINE

    def find_refusal(self, fingerprint):
        """Return the Refusal of a quarantined request, else None.

        The refusal says that the request did not run, and when its quarantine
        ends if it is not submitted before.

        Args:
          fingerprint: The request's fingerprint.
        """
        if not self._history.is_quarantined(fingerprint):
            return None
        return refuse_not_run(
            'crashes_servers',
            'servers that ran this request crashed',
            RETENTION_MS,
        )

    def _send_probe(self, backend):
        self._port.ask_listening(backend, partial(self._finish_probe, backend))

    def _finish_probe(self, backend, is_listening):
        # None means that the probe got no answer: perhaps a network failure.
        if is_listening is False:
            self._confirm(backend, partial(self._on_confirmed, backend))
        else:
            self._on_confirmed(backend, has_crashed=False)

    def _on_confirmed(self, backend, has_crashed):
        probe = self._probes.pop(backend.identity)
        if has_crashed:
            self._record_crash(backend, probe)
        for on_known in probe.waiting:
            on_known()

    def _record_crash(self, backend, probe):
        # The server stays listed until it has missed three heartbeats.
        backend.breaker.trip(self._timers.clock.now_ms())
        if self._on_crashed is not None:
            self._on_crashed(backend, probe.begun_ms)
        self._history.record_crash(
            backend.identity,
            probe.at_ms,
            probe.begun_ms,
            probe.begun_ms,
        )
