"""The list of backend servers as the platform publishes it, for passing on.

Few instances read the platform's store; the others get the entries that
changed through them.  Entries keep the revision at which the store took them,
so whoever has a list of some revision lacks just the entries above it, whoever
read them.
"""

from crankchute.core.proof import Proof
from crankchute.core.replica import Replica

#: How many entries that are gone are kept for those that lack the end of
#: them; whoever is further behind gets the whole list.
_MOST_ENDED = 512


class ServerList:
    """The entries of the backend servers, at some revision."""

    def __init__(self):
        """Create an empty list, older than any."""
        self._replica = Replica()
        self._whole_below = 0
        self._proof = Proof()

    @property
    def revision(self):
        """The revision of the newest entry, 0 before the first list."""
        return self._replica.revision

    def changes_since(self, revision):
        """Return what a list at another revision lacks, or None.

        Args:
          revision: The revision of the other list.
        Returns:
          A ChangeSet; since 0 if it is the whole list.
        """
        if revision >= self.revision:
            return None
        if revision < self._whole_below:
            return self._replica.changes_since(0)
        return self._replica.changes_since(revision)

    def take_all(self, entries, revision):
        """Take the whole list as the platform told it.

        Args:
          entries: A map from id to Entry; some may be newer than the list.
          revision: The store's revision that the list holds for, not lower
            than that of this one.
        """
        # What came and went below it is not known here.
        self._whole_below = revision
        self._replica = Replica(revision, entries)

    def take(self, changes):
        """Take what changed, from the platform or another instance.

        Args:
          changes: A ChangeSet that starts no later than this list.
        """
        if changes.revision > self.revision:
            self._replica = self._replica.advanced(changes)
            # To look through all entries for ended ones with each change took
            # a fifth of the time of learning of 3000 servers, 30 at a time.
            if any(one.payload is None for one in changes.entries.values()):
                self._forget_ended()

    def prove(self, revision, asked_ms):
        """Note that a revision was the newest at a moment.

        Args:
          revision: The revision that was proved.
          asked_ms: The moment, on this process's clock.
        """
        if revision == self.revision:
            self._proof.note(asked_ms)

    def proof_age_ms(self, now_ms):
        """Return the age of the proof in milliseconds, or None.

        Args:
          now_ms: The time on this process's clock.
        """
        return self._proof.age_ms(now_ms)

    def _forget_ended(self):
        """Forget the oldest ends beyond the number that is kept."""
        entries = self._replica.changes_since(0).entries
        ended = sorted(
            (entry.revision, identity)
            for identity, entry in entries.items()
            if entry.payload is None
        )
        for revision, identity in ended[:-_MOST_ENDED]:
            entries.pop(identity)
            self._whole_below = max(self._whole_below, revision)
        self._replica = Replica(self.revision, entries)
