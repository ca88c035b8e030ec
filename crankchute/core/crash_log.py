"""The latest crashes of servers, a bounded number."""

import operator
from collections import Counter

from crankchute.core.crash_report import Crash
from crankchute.core.quarantines import RETENTION_MS, keep_latest

_MAX_CRASHES = 64
#: About the slots and queue places of one server.
_MAX_REQUESTS_PER_CRASH = 32
#: A few shared parts for each request.
_MAX_PARTS_PER_CRASH = 96
#: Reports of one server within this time are of the same crash: some instances
#: notice it only when the server has been silent for 2.5 s.
_SAME_CRASH_MS = 3000


class CrashLog:
    """Crashes, and how many of them each suspect was present at.

    Attributes:
      crashes: A list of Crash.
      counts: A Counter of crashes by fingerprint.
    """

    __slots__ = ('_first', 'counts', 'crashes')

    def __init__(self):
        """Create an empty log."""
        self.crashes = []
        self.counts = Counter()
        self._first = {}

    def merge(self, crash, cleared):
        """Add a crash, or what it adds to the known record of the same crash.

        Args:
          crash: A Crash.
          cleared: A map from fingerprint to ClearedSuspect.
        Returns:
          Whether it adds any suspect.
        """
        known = self._find_known(crash) or Crash(crash.server, crash.at_ms, ())
        before = known.suspects
        known.at_ms = min(known.at_ms, crash.at_ms)
        known.pool = known.pool or crash.pool
        known.requests |= crash.requests
        known.size = max(known.size, crash.size, len(known.requests))
        known.parts |= crash.parts
        for fingerprint in cleared.keys() & known.suspects:
            if known.was_not_caused_by(fingerprint, cleared[fingerprint].at_ms):
                known.discard(fingerprint)
        known.requests = self._limit(known.requests, _MAX_REQUESTS_PER_CRASH)
        known.parts = self._limit(known.parts, _MAX_PARTS_PER_CRASH)
        known.begun_ms = _merge_begun(known, crash)
        if known.suspects == before:
            return False
        if not before:
            self.crashes.append(known)
        return True

    def clear(self, cleared):
        """Remove a suspect from the crashes before its answer.

        Args:
          cleared: A ClearedSuspect.
        """
        for crash in self.crashes:
            if crash.was_not_caused_by(cleared.fingerprint, cleared.at_ms):
                crash.discard(cleared.fingerprint)
        self.crashes = [one for one in self.crashes if one.suspects]

    def discard_expired(self, now_ms):
        """Discard the expired crashes and count the rest again.

        Args:
          now_ms: The current time.
        """
        self.crashes = keep_latest(
            self.crashes,
            operator.attrgetter('at_ms'),
            now_ms - RETENTION_MS,
            _MAX_CRASHES,
        )
        self.counts = Counter()
        self._first = {}
        for crash in self.crashes:
            self.counts.update(crash.suspects)
            for one in crash.suspects:
                self._first.setdefault(one, crash)

    def is_cleared(self, fingerprint, sound_ms):
        """Return whether a suspect is cleared of any crash.

        Args:
          fingerprint: Its fingerprint.
          sound_ms: When it was sound; see ClearedSuspect.
        """
        first = self._first.get(fingerprint)
        return first is not None and first.was_not_caused_by(
            fingerprint, sound_ms
        )

    def list_with(self, suspects):
        """Return the Crashes at which all of some suspects were present.

        Args:
          suspects: A frozenset of fingerprints.
        """
        return [one for one in self.crashes if suspects <= one.suspects]

    def _find_known(self, crash):
        """Return the record of the same crash, or None."""
        for known in self.crashes:
            difference_ms = abs(known.at_ms - crash.at_ms)
            if known.server == crash.server and difference_ms <= _SAME_CRASH_MS:
                return known
        return None

    def _limit(self, fingerprints, limit):
        """Return at most the limit, preferring those with most crashes."""
        if len(fingerprints) <= limit:
            return fingerprints
        ranked = sorted(fingerprints, key=lambda one: (-self.counts[one], one))
        return set(ranked[:limit])


def _merge_begun(known, crash):
    """Return when each suspect was first sent to a server that crashed.

    Args:
      known: A Crash with all its suspects.
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
        for one in both & known.suspects
    }
