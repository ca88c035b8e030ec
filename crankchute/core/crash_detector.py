"""Detects servers that crashed, and records which requests they were running.

A connection that closes without an answer is no proof of a crash: a server or
the network may drop connections.  So the instance then probes the server's
address.  If nothing listens there, and no other instance reaches the server,
the process has exited, and any request in progress there may be the cause, or a
part of its prompt.
"""

from functools import partial

from crankchute.core.call_for_each import call_for_each
from crankchute.core.crash_attribution import CRASHES_TO_QUARANTINE
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.quarantines import RETENTION_MS
from crankchute.core.server_paths import AlwaysReached

#: How long an exiting process may take to close its listening socket.
_PROBE_DELAY_MS = 20
_EXPIRY_INTERVAL_MS = 10_000


class _Probe:
    """A pending check of a server that closed connections.

    Attributes:
      at_ms: When the first connection closed.
      begun_ms: A map from the fingerprints of the suspects on the closed
        connections to when each was first sent.
      pool: The name of the server's pool.
      requests: The fingerprints of the requests, a set.
      waiting: Functions to call with whether the server still listens, or None
        if that is unknown; a list.
    """

    __slots__ = ('at_ms', 'begun_ms', 'pool', 'requests', 'waiting')

    def __init__(self, at_ms, pool):
        """Create a check without connections."""
        self.at_ms = at_ms
        self.begun_ms = {}
        self.pool = pool
        self.requests = set()
        self.waiting = []

    def add(self, job, sent_ms):
        """Add the request of a closed connection.

        Args:
          job: Its job.
          sent_ms: When the request was sent.
        """
        self.requests.add(job.fingerprint)
        for one in (job.fingerprint, *job.part_fingerprints):
            begun_ms = self.begun_ms.get(one, sent_ms)
            self.begun_ms[one] = min(begun_ms, sent_ms)


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

    def record_connection_lost(self, attempt, job, on_known):
        """Record that a server closed the connection of a request.

        Args:
          attempt: The Attempt.
          job: The request's job.
          on_known: A function without arguments, called when the request may
            be retried.  That is at once, unless a crash would quarantine the
            request; then it waits for the probe, so that the retry doesn't
            interrupt the requests of one more server.
        """
        probe = self._start_probe(attempt.backend, job.pool)
        probe.add(job, attempt.sent_ms)
        self._history.end_trial(job.request_id)
        suspects = (job.fingerprint, *job.part_fingerprints)
        crashes = max(self._history.count_crashes(one) for one in suspects)
        if crashes + 1 < CRASHES_TO_QUARANTINE:
            on_known()
        else:
            probe.waiting.append(lambda _is_listening: on_known())

    def record_answered(self, attempt, job, head):
        """Record that a server answered a request completely.

        Other answers than successes clear no parts of the prompt, since the
        server may have sent them without reading it.

        Args:
          attempt: The Attempt.
          job: The request's job.
          head: The AnswerHead.
        """
        parts = job.part_fingerprints if head.is_success else ()

        def record():
            self._history.record_answered(job.fingerprint)
            if head.is_success:
                self._history.record_parts_answered(
                    parts, job.pool, attempt.sent_ms
                )

        suspects = (job.fingerprint, *parts)
        if head.ends_with_connection and any(
            self._history.count_crashes(one) for one in suspects
        ):
            self._record_if_alive(attempt, job, record)
        else:
            record()

    def is_suspect(self, job):
        """Return whether a request is sent to a server without other requests.

        Args:
          job: The request's job; any server crashed while running it, or it
            is the trial of quarantined parts.
        """
        if self._history.count_crashes(job.fingerprint):
            return True
        return self._history.is_quarantined(
            job.fingerprint, *job.part_fingerprints
        )

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

    def find_refusal(self, job):
        """Return the Refusal of a quarantined request, else None.

        The refusal says that the request did not run, and when its quarantine
        ends if it is not submitted before.

        Args:
          job: The request's job.
        """
        suspects = (job.fingerprint, *job.part_fingerprints)
        if not self._history.is_quarantined(*suspects):
            return None
        if self._history.claim_trial(suspects, job.request_id):
            return None
        return refuse_not_run(
            'crashes_servers',
            'servers that ran this request or a part of its prompt crashed',
            RETENTION_MS,
        )

    def _record_if_alive(self, attempt, job, record):
        """Record an answer that ended with its connection.

        A crash of the server may have ended it too.
        """
        probe = self._start_probe(attempt.backend, job.pool)
        probe.add(job, attempt.sent_ms)

        def on_known(is_listening):
            if is_listening:
                record()

        probe.waiting.append(on_known)

    def _start_probe(self, backend, pool):
        """Return the pending check of a server, which is begun if necessary."""
        probe = self._probes.get(backend.identity)
        if probe is None:
            probe = _Probe(self._timers.clock.now_ms(), pool)
            self._probes[backend.identity] = probe
            self._timers.after(
                _PROBE_DELAY_MS, partial(self._send_probe, backend)
            )
        return probe

    def _send_probe(self, backend):
        self._port.ask_listening(backend, partial(self._finish_probe, backend))

    def _finish_probe(self, backend, is_listening):
        # None means that the probe got no answer: perhaps a network failure.
        if is_listening is False:
            self._confirm(backend, partial(self._on_confirmed, backend))
        else:
            self._end_probe(backend, is_listening)

    def _on_confirmed(self, backend, has_crashed):
        if has_crashed:
            self._record_crash(backend, self._probes[backend.identity])
        self._end_probe(backend, is_listening=None)

    def _end_probe(self, backend, is_listening):
        probe = self._probes.pop(backend.identity)
        call_for_each(
            lambda on_known: on_known(is_listening),
            probe.waiting,
            server=backend.identity,
        )

    def _record_crash(self, backend, probe):
        # The server stays listed until it has missed three heartbeats.
        backend.breaker.trip(self._timers.clock.now_ms())
        if self._on_crashed is not None:
            self._on_crashed(backend, probe.begun_ms)
        self._history.record_crash(
            backend.identity,
            probe.at_ms,
            probe.requests,
            probe.begun_ms,
            parts=probe.begun_ms.keys() - probe.requests,
            pool=probe.pool,
        )
