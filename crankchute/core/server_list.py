"""The platform's list of backend servers, as passed between instances.

Only a few instances read the platform's store; they pass changed entries on to
the others.  Each entry keeps the store revision of its last change, so an
instance whose list is at some revision lacks exactly the entries with a higher
one, whichever instance read them.
"""

from crankchute.core.freshness_proof import FreshnessProof
from crankchute.core.list_coverage import ListCoverage
from crankchute.core.replica import ChangeSet, Entry

#: How many deleted entries are kept for lists that still have them; a list that
#: is further behind is replaced as a whole.
_MAX_DELETED = 512


class ServerList:
    """The entries of the backend servers at some revision.

    Attributes:
      coverage: The ListCoverage.
    """

    def __init__(self):
        """Create an empty list of revision 0."""
        self._entries = {}
        self.coverage = ListCoverage()
        self._proof = FreshnessProof()

    @property
    def revision(self):
        """The revision of the list, 0 before the first one."""
        return self.coverage.revision

    def live_entries(self):
        """Return a map from id to Entry, without deleted ones."""
        return {
            identity: entry
            for identity, entry in self._entries.items()
            if entry.payload is not None
        }

    def changes_since(self, revision):
        """Return the changes that a list at another revision lacks, or None.

        Args:
          revision: The revision of the other list.
        Returns:
          A ChangeSet; it starts at 0 if it is the whole list.
        """
        if revision >= self.revision:
            return None
        since = revision if self.coverage.can_update(revision) else 0
        entries = {
            identity: entry
            for identity, entry in self._entries.items()
            if entry.revision > since
        }
        return ChangeSet(
            since, self.revision, entries, self.coverage.deletions_since
        )

    def accepts(self, changes):
        """Return whether changes lead from this list to a newer one.

        Changes that were asked for before this list got others may lack
        deletions of entries that it has since then.

        Args:
          changes: A ChangeSet.
        """
        if changes.revision <= self.revision:
            return False
        if changes.since in {0, self.revision}:
            return True
        return (
            changes.since < self.revision
            and changes.deletions_since <= self.revision
        )

    def replace_all(self, changes, *, may_have_expired=False):
        """Replace the list by a whole one, from the store or another instance.

        What only this list has counts as deleted.  It stays listed as deleted,
        so that most lists of other instances need not be replaced as a whole.

        Args:
          changes: A ChangeSet that starts at 0 and is not older than this list;
            some entries may be newer than its revision.
          may_have_expired: Whether entries that the whole list lacks may have
            expired rather than been deleted.
        """
        merged = dict(changes.entries)
        for identity, known in self._entries.items():
            entry = merged.get(identity)
            until = changes.revision if entry is None else entry.revision
            if known.revision > until:
                merged[identity] = known
            elif entry is None:
                merged[identity] = _mark_deleted(
                    known, until, may_have_expired=may_have_expired
                )
        self._entries = merged
        self.coverage = self.coverage.join(changes)
        self._discard_deleted()

    def start_history(self, changes):
        """Replace the list by one of a store restored from an older copy.

        Args:
          changes: A ChangeSet that starts at 0.
        """
        self._entries = {}
        self.coverage = ListCoverage()
        self.replace_all(changes)

    def apply_changes(self, changes):
        """Apply changes from the platform or from another instance.

        Entries that are not newer than what this list has are ignored.

        Args:
          changes: A ChangeSet that this list accepts, and that is not a whole
            list.
        Returns:
          A map from id to Entry of what has changed.
        """
        changed = {
            identity: entry
            for identity, entry in changes.entries.items()
            if entry.revision > self._known_until(identity)
        }
        self._entries.update(changed)
        self.coverage = self.coverage.join(changes)
        # The scan of all entries is slow for long lists, so it runs only
        # after a deletion.
        if any(one.payload is None for one in changed.values()):
            self._discard_deleted()
        return changed

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

    def _known_until(self, identity):
        """Return the revision up to which a server's entry is known."""
        known = self._entries.get(identity)
        if known is None:
            return self.revision
        return max(known.revision, self.revision)

    def _discard_deleted(self):
        """Discard the oldest deleted entries beyond the bound."""
        deleted = sorted(
            (entry.revision, identity)
            for identity, entry in self._entries.items()
            if entry.payload is None
        )
        for revision, identity in deleted[:-_MAX_DELETED]:
            self._entries.pop(identity)
            self.coverage = self.coverage.discard_until(revision)


def _mark_deleted(known, revision, *, may_have_expired):
    """Return the entry of a server that a newer whole list lacks."""
    if known.payload is None:
        return known
    return Entry(revision, None, may_have_expired=may_have_expired)
