"""An instance's record of server crashes and of the suspects behind them.

A request that crashes servers may be retried at any instance, also at one that
has just started, so instances replicate their histories to each other.  A
history is bounded in size, so that requests that change with each submission
cannot fill it, and entries expire some time after their suspect was last
submitted.

Instances exchange whole histories when their digests differ.  Merging is
independent of order: the earliest notice of a crash, the union of the suspects,
the latest answer.  Times are sent as ages, so they shift by the delay of the
message; a received time counts as later only by a clear margin.
"""

from functools import partial

import xxhash

from crankchute.core.cleared_suspects import ClearedSuspects
from crankchute.core.crash_attribution import attribute_to_common_cause
from crankchute.core.crash_culprits import find_culprits
from crankchute.core.crash_evidence import is_likely_cause
from crankchute.core.crash_log import CrashLog
from crankchute.core.crash_report import (
    ClearedSuspect,
    Crash,
    CrashReport,
    Quarantine,
)
from crankchute.core.quarantines import (
    RETENTION_MS,
    Quarantines,
    is_later,
    is_trial_due,
)
from crankchute.core.recent_answers import RecentAnswers


class CrashHistory:
    """Recent crashes, quarantined suspects, and suspects that were cleared."""

    def __init__(
        self,
        now_ms,
        on_quarantined=None,
        blame=attribute_to_common_cause,
        is_likely_cause=is_likely_cause,
    ):
        """Create an empty history.

        Args:
          now_ms: A function that returns the time.
          on_quarantined: A function called when suspects are quarantined, with
            their fingerprints and the ids of the servers that crashed; or None.
          blame: One of the functions of crash_attribution.attributions.
          is_likely_cause: See crash_evidence; another one is for comparison.
        """
        self._now_ms = now_ms
        self._on_quarantined = on_quarantined
        self._find_culprits = partial(
            find_culprits, attribute=blame, is_likely_cause=is_likely_cause
        )
        self._answers = RecentAnswers()
        self._subscribers = []
        self._log = CrashLog()
        self._quarantines = Quarantines()
        self._cleared = ClearedSuspects()
        self._digest = None

    @property
    def digest(self):
        """A hash of the contents, 0 for an empty history."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    @property
    def quarantined(self):
        """A list of Quarantine."""
        return self._quarantines.records

    def __len__(self):
        """Return the number of crashes on record."""
        return len(self._log.crashes)

    def subscribe(self, callback):
        """Call a function when this instance learns what others may lack.

        Args:
          callback: A function without arguments.
        """
        self._subscribers.append(callback)

    def count_crashes(self, fingerprint):
        """Return how many servers crashed while running a request.

        Args:
          fingerprint: The fingerprint of the request or of a part.
        """
        return self._log.counts[fingerprint]

    def is_quarantined(self, *fingerprints):
        """Return whether a submitted request is quarantined.

        This extends the quarantine, since the request is still submitted.

        Args:
          fingerprints: Those of the request and of the parts of its prompt.
        """
        held = self._quarantines.find(frozenset(fingerprints))
        if held is None:
            return False
        held.asked_ms = self._now_ms()
        return True

    def claim_trial(self, fingerprints, request_id):
        """Return whether a quarantined request may be sent as a trial.

        Args:
          fingerprints: Those of the request and of the parts of its prompt.
          request_id: The id of the request.
        """
        held = self._quarantines.find(frozenset(fingerprints))
        if held is None or fingerprints[0] in held.suspects:
            return False
        if held.trial != request_id:
            if not is_trial_due(held, self._now_ms()):
                return False
            held.trial = request_id
            held.trials += 1
            held.held_ms = self._now_ms()
            self._digest = None
            self._notify_subscribers()
        return True

    def end_trial(self, request_id):
        """Stop sending a request whose attempt was cut off.

        Args:
          request_id: The id of the request.
        """
        self._quarantines.end_trial(request_id)

    def record_crash(
        self, server, at_ms, requests, begun_ms=None, *, parts=(), pool=''
    ):
        """Record a server crash that this instance noticed.

        Args:
          server: The server's id.
          at_ms: When it was noticed.
          requests: The fingerprints of the requests in progress there.
          begun_ms: See Crash.
          parts: The fingerprints of the parts of their prompts.
          pool: The name of the server's pool.
        """
        crash = Crash(server, at_ms, requests, begun_ms, parts=parts, pool=pool)
        if self._log.merge(crash, self._cleared.by_fingerprint):
            self._update_quarantine()
            self._notify_subscribers()

    def record_answered(self, fingerprint):
        """Clear a request: it was answered, so it does not crash servers.

        Args:
          fingerprint: The request's fingerprint.
        """
        if self._clear_answered((fingerprint,), self._now_ms()):
            self._notify_subscribers()

    def record_parts_answered(self, parts, pool, sent_ms):
        """Clear the parts of a prompt whose answer was complete.

        The answer shows that the parts were sound when the request was sent: a
        part may begin to crash servers while such requests are in progress.

        Args:
          parts: Their fingerprints, a tuple; may be empty.
          pool: The name of the pool whose server answered.
          sent_ms: When the request was sent.
        """
        self._answers.record(pool, sent_ms, parts)
        self._answers.record_time(pool, self._now_ms())
        version = self._quarantines.version
        self._clear_answered(parts, sent_ms)
        # Sound parts are answered all the time; others learn of that soon.
        if self._quarantines.version != version:
            self._notify_subscribers()

    def make_report(self):
        """Return the whole contents as CrashReport."""
        return CrashReport(
            list(self._log.crashes),
            self.quarantined,
            list(self._cleared.by_fingerprint.values()),
            {
                crash.pool: self._answers.latest_ms[crash.pool]
                for crash in self._log.crashes
                if crash.pool in self._answers.latest_ms
            },
        )

    def merge_report(self, report):
        """Merge the history of another instance.

        Args:
          report: CrashReport.
        """
        for pool, at_ms in report.answered_ms.items():
            self._answers.record_time(pool, at_ms)
        for cleared in report.cleared:
            if self._cleared.is_news(cleared):
                self._clear(cleared)
            elif self._log.is_cleared(cleared.fingerprint, cleared.at_ms):
                self._log.clear(cleared)
        for crash in report.crashes:
            self._log.merge(crash, self._cleared.by_fingerprint)
        for held in report.quarantined:
            self._merge_quarantined(held)
        self._digest = None
        if self._update_quarantine():
            self._notify_subscribers()

    def discard_expired(self):
        """Discard expired records, and the oldest ones beyond the bounds."""
        now_ms = self._now_ms()
        self._log.discard_expired(now_ms)
        self._quarantines.discard_expired(now_ms)
        self._answers.discard_before(now_ms - RETENTION_MS)
        self._cleared.discard_expired(now_ms)
        self._digest = None

    def _clear_answered(self, fingerprints, at_ms):
        """Clear suspects that were sound at a time; return how many."""
        suspects = [
            one
            for one in fingerprints
            if self._log.is_cleared(one, at_ms)
            or self._quarantines.has_until(one, at_ms)
        ]
        for fingerprint in suspects:
            self._clear(ClearedSuspect(fingerprint, at_ms))
        if suspects:
            self._update_quarantine()
        return len(suspects)

    def _clear(self, cleared):
        """Remove a suspect from crashes and quarantine before its answer."""
        self._cleared.add(cleared)
        self._quarantines.discard_cleared(cleared)
        self._log.clear(cleared)

    def _merge_quarantined(self, received):
        for fingerprint in received.suspects:
            cleared = self._cleared.by_fingerprint.get(fingerprint)
            if cleared is not None and not is_later(
                received.held_ms, cleared.at_ms
            ):
                return
        self._quarantine(received)

    def _update_quarantine(self):
        """Apply the bounds, then quarantine the suspects found as culprits.

        Called once per change, not per record: merging a full history would
        take several times as long otherwise.

        Returns:
          Whether any suspects were quarantined.
        """
        self.discard_expired()
        now_ms = self._now_ms()
        culprits = [
            suspects
            for suspects in self._find_culprits(
                self._log, self._quarantines, self._answers
            )
            if suspects not in self._quarantines
        ]
        for suspects in culprits:
            crashes = self._log.list_with(suspects)
            first_ms = min((one.at_ms for one in crashes), default=now_ms)
            self._quarantine(Quarantine(suspects, first_ms, now_ms))
        return bool(culprits)

    def _quarantine(self, held):
        if not self._quarantines.add(held):
            return
        self._digest = None
        if self._on_quarantined is not None:
            crashes = self._log.list_with(held.suspects)
            servers = [crash.server for crash in crashes]
            self._on_quarantined(held.suspects, servers)

    def _compute_digest(self):
        if not (
            self._log.crashes
            or self.quarantined
            or self._cleared.by_fingerprint
        ):
            return 0
        crashes = sorted(
            (crash.server, sorted(crash.suspects))
            for crash in self._log.crashes
        )
        hashed = (
            crashes,
            self._quarantines.keys,
            sorted(self._cleared.by_fingerprint),
        )
        return xxhash.xxh64_intdigest(repr(hashed).encode())

    def _notify_subscribers(self):
        for callback in self._subscribers:
            callback()
