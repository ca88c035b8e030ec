"""An instance's record of server crashes and of the requests behind them.

A request that crashes servers may be retried at any instance, also at one that
has just started, so instances replicate their histories to each other.  A
history is bounded in size, so that a request that changes with each submission
cannot fill it, and entries expire some time after their request was last
submitted.

Instances exchange whole histories when their digests differ.  Merging is
independent of order: the earliest notice of a crash, the union of the requests
in progress, the latest answer.  Times are sent as ages, so they shift by the
delay of the message; a received time counts as later only by a clear margin.
"""

import operator
from collections import Counter

import xxhash

from crankchute.core.crash_attribution import attribute_by_lead
from crankchute.core.crash_report import (
    ClearedRequest,
    Crash,
    CrashReport,
    QuarantinedRequest,
)

#: How long crashes, and quarantined requests that are not submitted, are kept.
#: A quarantined request that expires may crash three more servers.
RETENTION_MS = 600_000
#: How long an answer is kept: until all instances have received it.
_CLEARED_RETENTION_MS = 60_000
_MAX_CRASHES = 64
#: About the slots and queue places of one server.
_MAX_REQUESTS_PER_CRASH = 32
_MAX_QUARANTINED = 256
_MAX_CLEARED = 512
#: Reports of one server within this time are of the same crash: some instances
#: notice it only when the server has been silent for 2.5 s.
_SAME_CRASH_MS = 3000
#: A time counts as later than another one only by more than this.
_TIME_MARGIN_MS = 500


class CrashHistory:
    """Recent crashes, quarantined requests, and requests that were cleared."""

    def __init__(self, now_ms, on_quarantined=None, blame=attribute_by_lead):
        """Create an empty history.

        Args:
          now_ms: A function that returns the time.
          on_quarantined: A function called when a request is quarantined, with
            its fingerprint and the ids of the servers that crashed; or None.
          blame: One of the functions of crash_attribution.attributions.
        """
        self._now_ms = now_ms
        self._on_quarantined = on_quarantined
        self._find_culprits = blame
        self._subscribers = []
        self._crashes = []
        self._quarantined = {}
        self._cleared = {}
        self._crash_counts = Counter()
        self._digest = None

    @property
    def digest(self):
        """A hash of the contents, 0 for an empty history."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    @property
    def quarantined(self):
        """A list of the quarantined requests, QuarantinedRequests."""
        return list(self._quarantined.values())

    def __len__(self):
        """Return the number of crashes on record."""
        return len(self._crashes)

    def subscribe(self, callback):
        """Call a function when this instance learns what others may lack.

        Args:
          callback: A function without arguments.
        """
        self._subscribers.append(callback)

    def count_crashes(self, fingerprint):
        """Return how many servers crashed while running a request.

        Args:
          fingerprint: The request's fingerprint.
        """
        return self._crash_counts[fingerprint]

    def is_quarantined(self, fingerprint):
        """Return whether a submitted request is quarantined.

        This extends the quarantine, since the request is still submitted.

        Args:
          fingerprint: The request's fingerprint.
        """
        found = self._quarantined.get(fingerprint)
        if found is None:
            return False
        found.asked_ms = self._now_ms()
        return True

    def record_crash(self, server, at_ms, requests, begun_ms=None):
        """Record a server crash that this instance noticed.

        Args:
          server: The server's id.
          at_ms: When it was noticed.
          requests: The fingerprints of the requests in progress there.
          begun_ms: See Crash.
        """
        if self._merge_crash(Crash(server, at_ms, requests, begun_ms)):
            self._update_quarantine()
            self._notify_subscribers()

    def record_answered(self, fingerprint):
        """Clear a request: it was answered, so it does not crash servers.

        Args:
          fingerprint: The request's fingerprint.
        """
        if (
            fingerprint in self._crash_counts
            or fingerprint in self._quarantined
        ):
            self._clear(ClearedRequest(fingerprint, self._now_ms()))
            self._update_quarantine()
            self._notify_subscribers()

    def make_report(self):
        """Return the whole contents as CrashReport."""
        return CrashReport(
            list(self._crashes),
            self.quarantined,
            list(self._cleared.values()),
        )

    def merge_report(self, report):
        """Merge the history of another instance.

        Args:
          report: CrashReport.
        """
        for cleared in report.cleared:
            own = self._cleared.get(cleared.fingerprint)
            if own is None or _is_later(cleared.at_ms, own.at_ms):
                self._clear(cleared)
        for crash in report.crashes:
            self._merge_crash(crash)
        for held in report.quarantined:
            self._merge_quarantined(held)
        self._update_quarantine()

    def discard_expired(self):
        """Discard expired records, and the oldest ones beyond the bounds."""
        now_ms = self._now_ms()
        self._crashes = _keep_latest(
            self._crashes,
            operator.attrgetter('at_ms'),
            now_ms - RETENTION_MS,
            _MAX_CRASHES,
        )
        quarantined = _keep_latest(
            self._quarantined.values(),
            operator.attrgetter('asked_ms'),
            now_ms - RETENTION_MS,
            _MAX_QUARANTINED,
        )
        cleared = _keep_latest(
            self._cleared.values(),
            operator.attrgetter('at_ms'),
            now_ms - _CLEARED_RETENTION_MS,
            _MAX_CLEARED,
        )
        self._quarantined = {one.fingerprint: one for one in quarantined}
        self._cleared = {one.fingerprint: one for one in cleared}
        self._recount()

    def _merge_crash(self, crash):
        """Merge a crash; return whether it adds any request."""
        known = self._find_known(crash) or Crash(crash.server, crash.at_ms, ())
        before = known.requests
        known.at_ms = min(known.at_ms, crash.at_ms)
        known.requests = self._limit_requests(
            {
                one
                for one in before | crash.requests
                if self._is_uncleared(one, known)
            },
        )
        known.begun_ms = _merge_begun(known, crash)
        if known.requests == before:
            return False
        if not before:
            self._crashes.append(known)
        return True

    def _find_known(self, crash):
        """Return the record of the same crash, or None."""
        for known in self._crashes:
            difference_ms = abs(known.at_ms - crash.at_ms)
            if known.server == crash.server and difference_ms <= _SAME_CRASH_MS:
                return known
        return None

    def _is_uncleared(self, fingerprint, crash):
        """Return whether a request was not answered since a crash."""
        cleared = self._cleared.get(fingerprint)
        return cleared is None or _is_later(crash.at_ms, cleared.at_ms)

    def _limit_requests(self, requests):
        """Return at most the bound, preferring those with most crashes."""
        if len(requests) <= _MAX_REQUESTS_PER_CRASH:
            return requests
        ranked = sorted(
            requests, key=lambda one: (-self._crash_counts[one], one)
        )
        return set(ranked[:_MAX_REQUESTS_PER_CRASH])

    def _clear(self, cleared):
        """Remove a request from crashes and quarantine before its answer."""
        fingerprint = cleared.fingerprint
        self._cleared[fingerprint] = cleared
        held = self._quarantined.get(fingerprint)
        if held is not None and not _is_later(held.held_ms, cleared.at_ms):
            self._quarantined.pop(fingerprint)
        for crash in self._crashes:
            if not _is_later(crash.at_ms, cleared.at_ms):
                crash.requests.discard(fingerprint)
        self._crashes = [one for one in self._crashes if one.requests]

    def _merge_quarantined(self, received):
        cleared = self._cleared.get(received.fingerprint)
        if cleared is not None and not _is_later(
            received.held_ms, cleared.at_ms
        ):
            return
        own = self._quarantined.get(received.fingerprint)
        if own is None:
            self._quarantine(received)
        elif _is_later(received.asked_ms, own.asked_ms):
            own.asked_ms = received.asked_ms

    def _update_quarantine(self):
        """Apply the bounds, then quarantine the requests found as culprits.

        Called once per change, not per record: merging a full history would
        take several times as long otherwise.
        """
        self.discard_expired()
        now_ms = self._now_ms()
        for fingerprint in self._find_culprits(self._crashes):
            if fingerprint not in self._quarantined:
                self._quarantine(
                    QuarantinedRequest(fingerprint, now_ms, now_ms)
                )

    def _quarantine(self, held):
        self._quarantined[held.fingerprint] = held
        self._digest = None
        if len(self._quarantined) > _MAX_QUARANTINED:
            self.discard_expired()
        if self._on_quarantined is not None:
            servers = [
                crash.server
                for crash in self._crashes
                if held.fingerprint in crash.requests
            ]
            self._on_quarantined(held.fingerprint, servers)

    def _recount(self):
        """Recompute the crashes per request, and drop the cached digest."""
        self._digest = None
        self._crash_counts = Counter()
        for crash in self._crashes:
            self._crash_counts.update(crash.requests)

    def _compute_digest(self):
        if not (self._crashes or self._quarantined or self._cleared):
            return 0
        crashes = sorted(
            (crash.server, sorted(crash.requests)) for crash in self._crashes
        )
        hashed = (
            crashes,
            sorted(self._quarantined),
            sorted(self._cleared),
        )
        return xxhash.xxh64_intdigest(repr(hashed).encode())

    def _notify_subscribers(self):
        for callback in self._subscribers:
            callback()


def _merge_begun(known, crash):
    """Return when each request was first sent to a server that crashed.

    Args:
      known: A Crash with all its requests.
      crash: Another record of the same crash.
    Returns:
      A map; see Crash.
    """
    never = float('inf')
    both = crash.begun_ms.keys() | known.begun_ms.keys()
    return {
        one: min(
            crash.begun_ms.get(one, never),
            known.begun_ms.get(one, never),
        )
        for one in both & known.requests
    }


def _is_later(received_ms, known_ms):
    return received_ms > known_ms + _TIME_MARGIN_MS


def _keep_latest(records, get_time, oldest_ms, limit):
    """Return the records that have not expired, at most the latest few.

    Args:
      records: An iterable of records.
      get_time: A function that returns the time of a record.
      oldest_ms: Records from before this time are dropped.
      limit: The largest number of records to keep.
    Returns:
      A list.
    """
    recent = [one for one in records if get_time(one) >= oldest_ms]
    return sorted(recent, key=get_time)[-limit:]
