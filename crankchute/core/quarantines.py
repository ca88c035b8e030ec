"""The suspects of server crashes with which no requests are sent.

Records expire some time after a request with their suspects was last submitted.
A part of prompts may be submitted all the time, so every so often one request
with it is sent as a trial: if it is answered, the part is cleared.
"""

import operator
from math import inf

#: How long crashes, and quarantined suspects that are not submitted, are kept.
#: A quarantined request that expires may crash three more servers.
RETENTION_MS = 600_000
#: The shortest time between two trials of the same suspects.
_TRIAL_INTERVAL_MS = 600_000
_MAX_QUARANTINED = 256
#: A time counts as later than another one only by more than this.
_TIME_MARGIN_MS = 500


class Quarantines:
    """The quarantined suspects, a bounded number of Quarantines.

    Attributes:
      version: A number that changes when suspects are added or discarded.
    """

    __slots__ = ('_by_member', '_by_suspects', '_first_ms', 'version')

    def __init__(self):
        """Create an empty record."""
        self._by_suspects = {}
        self._by_member = {}
        self._first_ms = {}
        self.version = 0

    @property
    def records(self):
        """A list of the Quarantines."""
        return list(self._by_suspects.values())

    @property
    def keys(self):
        """What instances agree on, as a sorted list: suspects and trials."""
        return sorted(
            (sorted(held.suspects), held.trials)
            for held in self._by_suspects.values()
        )

    def __contains__(self, suspects):
        """Return whether these suspects are quarantined together.

        Args:
          suspects: A frozenset of fingerprints.
        """
        return suspects in self._by_suspects

    def has_until(self, fingerprint, at_ms):
        """Return whether a suspect is quarantined for crashes until a time.

        Args:
          fingerprint: Its fingerprint.
          at_ms: The time.
        """
        return self._first_ms.get(fingerprint, inf) <= at_ms

    def find(self, fingerprints):
        """Return the Quarantine that applies to a request, or None.

        Args:
          fingerprints: Those of the request and of its parts, a frozenset.
        """
        if not self._by_suspects:
            return None
        for one in fingerprints:
            for held in self._by_member.get(one, ()):
                if held.suspects <= fingerprints:
                    return held
        return None

    def add(self, held):
        """Add a Quarantine, or update the known one with the same suspects.

        Args:
          held: A Quarantine.
        Returns:
          True if its suspects were not quarantined.
        """
        own = self._by_suspects.get(held.suspects)
        if own is None:
            self._by_suspects[held.suspects] = held
            self._index()
            return True
        if is_later(held.asked_ms, own.asked_ms):
            own.asked_ms = held.asked_ms
        if held.trials > own.trials:
            own.trials = held.trials
            own.held_ms = held.held_ms
        return False

    def end_trial(self, request_id):
        """Stop sending a request as a trial.

        Args:
          request_id: The id of the request.
        """
        for held in self._by_suspects.values():
            if held.trial == request_id:
                held.trial = None

    def discard_cleared(self, cleared):
        """Discard the Quarantines of a suspect from before its answer.

        Args:
          cleared: A ClearedSuspect.
        """
        kept = [
            held
            for held in self.records
            if cleared.fingerprint not in held.suspects
            or is_later(held.held_ms, cleared.at_ms)
        ]
        self._replace(kept)

    def discard_expired(self, now_ms):
        """Discard expired records, and the oldest ones beyond the bound.

        Args:
          now_ms: The current time.
        """
        kept = keep_latest(
            self.records,
            operator.attrgetter('asked_ms'),
            now_ms - RETENTION_MS,
            _MAX_QUARANTINED,
        )
        self._replace(kept)

    def _replace(self, kept):
        if len(kept) != len(self._by_suspects):
            self._by_suspects = {held.suspects: held for held in kept}
            self._index()

    def _index(self):
        self.version += 1
        self._first_ms = {}
        self._by_member = {}
        for held in self._by_suspects.values():
            for one in held.suspects:
                first_ms = self._first_ms.get(one, held.held_ms)
                self._first_ms[one] = min(first_ms, held.held_ms)
            member = min(held.suspects)
            self._by_member.setdefault(member, []).append(held)


def is_trial_due(held, now_ms):
    """Return whether a request with quarantined suspects may be tried.

    Args:
      held: A Quarantine.
      now_ms: The current time.
    """
    return now_ms - held.held_ms >= _TRIAL_INTERVAL_MS


def is_later(received_ms, known_ms):
    """Return whether a received time is clearly later than a known one.

    Args:
      received_ms: A time that another instance sent as an age.
      known_ms: A time on this process's clock.
    """
    return received_ms > known_ms + _TIME_MARGIN_MS


def keep_latest(records, get_time, oldest_ms, limit):
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
