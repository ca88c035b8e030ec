"""The instance list as one process knows it."""

import orjson

from crankchute.core.fleet import KIND_ENTRY, Listed
from crankchute.core.replica import Replica
from crankchute.errors import StaleRevisionError


class Inventory:
    """Holds the newest instance list; its revision only rises.

    Attributes:
      records: The Listed records, a list.
    """

    def __init__(self):
        """Create an empty list."""
        self._replica = Replica()
        self._listeners = []
        self.records = []

    @property
    def seen_revision(self):
        """The list's revision, an int."""
        return self._replica.revision

    @property
    def revision(self):
        """The list's revision, which is always in force."""
        return self._replica.revision

    def subscribe(self, listener):
        """Be told of each new list.

        Args:
          listener: A function of a list of Listed.
        """
        self._listeners.append(listener)

    def changes_for(self, in_force, _seen):
        """Return what another instance lacks, or None; see ConfigHolder."""
        if self._replica.revision > in_force:
            return self._replica.changes_since(in_force)
        return None

    def offer(self, changes):
        """Take a change set if it leads higher.

        Args:
          changes: A ChangeSet.
        Returns:
          True if the revision rose.
        """
        try:
            documents = self._replica.preview(changes)
        except StaleRevisionError:
            return False
        self._replica = self._replica.advanced(changes)
        self.records = [
            Listed(orjson.loads(document)) for document in documents.values()
        ]
        for listener in self._listeners:
            listener(self.records)
        return True

    def entry_instances(self):
        """Return the listed entry instances, a list of Listed."""
        return [one for one in self.records if one.kind == KIND_ENTRY]
