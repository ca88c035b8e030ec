"""The instance list as one process knows it."""

import orjson

from crankchute.core.fleet import KIND_ENTRY, ListedServer
from crankchute.core.replica import Replica
from crankchute.errors import Finding, StaleRevisionError


class Inventory:
    """Holds the newest instance list; its revision only rises.

    Attributes:
      records: The ListedServer records, a list.
      findings: What is wrong with records that were left out, a list.
    """

    def __init__(self):
        """Create an empty list."""
        self._replica = Replica()
        self._listeners = []
        self.records = []
        self.findings = []

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
          listener: A function of a list of ListedServer.
        """
        self._listeners.append(listener)

    def list_missing_changes(self, in_force, _seen):
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
        self._replica = self._replica.with_changes(changes)
        self.records = []
        self.findings = []
        for key, document in documents.items():
            self._read_record(key, document)
        for listener in self._listeners:
            listener(self.records)
        return True

    def entry_instances(self):
        """Return the listed entry instances, a list of ListedServer."""
        return [one for one in self.records if one.kind == KIND_ENTRY]

    def _read_record(self, key, document):
        """Take one record, or a finding; the others are not lost by it."""
        try:
            self.records.append(ListedServer(orjson.loads(document)))
        except (KeyError, TypeError, ValueError) as exc:
            self.findings.append(Finding(f'instances.{key}', repr(exc)))
