"""A replica of a published store; its revision only increases.

Instances pass changed entries on to each other.  A change set states the
revision that it starts from.  One that starts after the replica's revision
would leave a gap and is rejected.
"""

from crankchute.errors import StaleRevisionError


class Entry:
    """The published value of a key; a payload of None marks a deletion."""

    __slots__ = ('may_have_expired', 'payload', 'revision')

    def __init__(self, revision, payload, *, may_have_expired=False):
        """Create an entry.

        Args:
          revision: The platform's revision at which the entry last changed.
          payload: Bytes, or None if the key was deleted.
          may_have_expired: Whether the entry may have expired rather than been
            deleted on purpose, because the platform was faulty at the time.
        """
        self.revision = revision
        self.payload = payload
        self.may_have_expired = may_have_expired


class ChangeSet:
    """The entries that changed between two revisions.

    Attributes:
      deletions_since: All deletions after this revision are included, also
        those of entries that were added after it.
    """

    __slots__ = ('deletions_since', 'entries', 'revision', 'since')

    def __init__(self, since, revision, entries, deletions_since=None):
        """Create a change set.

        Args:
          since: The revision after which changes are included; 0 for a full
            snapshot.
          revision: The revision that the changes lead to.
          entries: A map from key to Entry.
          deletions_since: See the class; by default `since`, and for a full
            snapshot its revision, as it may include no deletions.
        """
        if deletions_since is None:
            deletions_since = since or revision
        self.deletions_since = deletions_since
        self.since = since
        self.revision = revision
        self.entries = entries


class Replica:
    """One process's replica of a published store.

    Attributes:
      revision: The current revision, an int; 0 before the first change set.
    """

    __slots__ = ('_entries', 'revision')

    def __init__(self, revision=0, entries=None):
        """Create a replica, empty by default.

        Args:
          revision: The revision of the entries, an int.
          entries: A map from key to Entry.
        """
        self._entries = entries or {}
        self.revision = revision

    def changes_since(self, since):
        """Return the changes that a replica at another revision lacks.

        Args:
          since: The other replica's revision.
        Returns:
          A ChangeSet.
        """
        entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.revision > since
        }
        return ChangeSet(since, self.revision, entries)

    def preview(self, changes):
        """Return the documents that would result from a change set.

        Args:
          changes: A ChangeSet.
        Returns:
          A map from key to bytes, without deleted keys.
        Raises:
          StaleRevisionError: If the change set does not lead to a higher
            revision, or starts after this replica's revision.
        """
        if changes.revision <= self.revision:
            raise StaleRevisionError('the change set is not newer')
        if changes.since > self.revision:
            raise StaleRevisionError('the change set leaves a gap')
        merged = self._merge(changes)
        return {
            key: entry.payload
            for key, entry in merged.items()
            if entry.payload is not None
        }

    def with_changes(self, changes):
        """Return the replica that results from a change set.

        Args:
          changes: A ChangeSet that preview() accepted.
        Returns:
          A new Replica; this one is not modified.
        """
        return Replica(changes.revision, self._merge(changes))

    def documents(self):
        """Return a map from key to bytes, without deleted keys."""
        return {
            key: entry.payload
            for key, entry in self._entries.items()
            if entry.payload is not None
        }

    def _merge(self, changes):
        merged = {} if changes.since == 0 else dict(self._entries)
        for key, entry in changes.entries.items():
            merged[key] = entry
        return merged
