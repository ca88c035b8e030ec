"""The platform's list of backend servers, as passed between instances.

Only a few instances read the platform's store; they pass changed entries on to
the others.  Each entry keeps the store revision of its last change, so an
instance whose list is at some revision lacks exactly the entries with a higher
one, whichever instance read them.
"""

from crankchute.core.freshness_proof import FreshnessProof
from crankchute.core.replica import Replica

#: How many deleted entries are kept for lists that still have them; a list that
#: is further behind is replaced as a whole.
_MAX_DELETED = 512


class ServerList:
    """The entries of the backend servers at some revision."""

    def __init__(self):
        """Create an empty list of revision 0."""
        self._replica = Replica()
        self._complete_from = 0
        self._proof = FreshnessProof()

    @property
    def revision(self):
        """The revision of the list, 0 before the first one."""
        return self._replica.revision

    def changes_since(self, revision):
        """Return the changes that a list at another revision lacks, or None.

        Args:
          revision: The revision of the other list.
        Returns:
          A ChangeSet; it starts at 0 if it is the whole list.
        """
        if revision >= self.revision:
            return None
        if revision < self._complete_from:
            return self._replica.changes_since(0)
        return self._replica.changes_since(revision)

    def replace_all(self, entries, revision):
        """Replace the list by one read from the platform.

        Args:
          entries: A map from id to Entry; some may be newer than the revision.
          revision: The store's revision when the list was read, not lower than
            that of this list.
        """
        # Entries deleted below this revision are unknown.
        self._complete_from = revision
        self._replica = Replica(revision, entries)

    def apply_changes(self, changes):
        """Apply changes from the platform or from another instance.

        Args:
          changes: A ChangeSet that starts no later than this list.
        """
        if changes.revision > self.revision:
            self._replica = self._replica.with_changes(changes)
            # The scan of all entries is slow for long lists, so it runs only
            # after a deletion.
            if any(one.payload is None for one in changes.entries.values()):
                self._discard_deleted()

    def confirm(self, revision, asked_ms):
        """Record that a revision was the newest at a time.

        Args:
          revision: The revision.
          asked_ms: The time on this process's clock.
        """
        if revision == self.revision:
            self._proof.record(asked_ms)

    def proof_age_ms(self, now_ms):
        """Return how long ago this list was known to be the newest, or None.

        Args:
          now_ms: The time on this process's clock.
        """
        return self._proof.age_ms(now_ms)

    def _discard_deleted(self):
        """Discard the oldest deleted entries beyond the bound."""
        entries = self._replica.changes_since(0).entries
        deleted = sorted(
            (entry.revision, identity)
            for identity, entry in entries.items()
            if entry.payload is None
        )
        for revision, identity in deleted[:-_MAX_DELETED]:
            entries.pop(identity)
            self._complete_from = max(self._complete_from, revision)
        self._replica = Replica(self.revision, entries)
