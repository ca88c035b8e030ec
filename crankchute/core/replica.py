"""A copy of what the platform publishes, whose revision only rises.

Instances pass changed entries on to one another.  A change set says which
revision it starts from; one that starts later than the copy's revision would
leave a gap and is not taken.
"""

from crankchute.errors import StaleRevisionError


class Entry:
    """One published value; a value of None says that it was deleted."""

    __slots__ = ('may_lapse', 'payload', 'revision')

    def __init__(self, revision, payload, *, may_lapse=False):
        """Create an entry.

        Args:
          revision: The platform's revision that brought it, an int.
          payload: Bytes, or None if the key was deleted.
          may_lapse: Whether it was deleted around trouble of the platform,
            and perhaps only lapsed.
        """
        self.revision = revision
        self.payload = payload
        self.may_lapse = may_lapse


class ChangeSet:
    """The entries that changed after one revision, up to another."""

    __slots__ = ('entries', 'revision', 'since')

    def __init__(self, since, revision, entries):
        """Create a change set.

        Args:
          since: The revision after which changes are listed; 0 for all.
          revision: The revision that the changes lead to.
          entries: A map from key to Entry.
        """
        self.since = since
        self.revision = revision
        self.entries = entries


class Replica:
    """The copy that one process holds.

    Attributes:
      revision: The revision in force, an int; 0 before the first.
    """

    __slots__ = ('_entries', 'revision')

    def __init__(self, revision=0, entries=None):
        """Create a copy, empty if nothing is given.

        Args:
          revision: The revision of the entries, an int.
          entries: A map from key to Entry.
        """
        self._entries = entries or {}
        self.revision = revision

    def changes_since(self, since):
        """Return what a copy at another revision lacks.

        Args:
          since: The other copy's revision.
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
        """Return the documents as they would be after a change set.

        Args:
          changes: A ChangeSet.
        Returns:
          A map from key to bytes, without deleted keys.
        Raises:
          StaleRevisionError: If the change set does not lead higher, or
            starts after this copy's revision.
        """
        if changes.revision <= self.revision:
            raise StaleRevisionError('the revision in force is not lower')
        if changes.since > self.revision:
            raise StaleRevisionError('changes are missing in between')
        merged = self._merge(changes)
        return {
            key: entry.payload
            for key, entry in merged.items()
            if entry.payload is not None
        }

    def advanced(self, changes):
        """Return the copy that a change set accepted by preview leads to.

        Args:
          changes: A ChangeSet.
        Returns:
          A new Replica; this one stays as it is.
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
