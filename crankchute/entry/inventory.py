"""The replicated list of entry instances and backend servers."""

import orjson

from crankchute.core.fleet import KIND_ENTRY, ListedServer
from crankchute.core.replica import Replica
from crankchute.errors import Finding, StaleRevisionError


class Inventory:
    """Holds the newest list; its revision never decreases.

    Attributes:
      records: The ListedServer records, a list.
      findings: A Finding for each invalid record that was left out, a list.
    """

    def __init__(self):
        """Create an empty list."""
        self._replica = Replica()
        self._listeners = []
        self.records = []
        self.findings = []

    @property
    def seen_revision(self):
        """The newest revision received, an int."""
        return self._replica.revision

    @property
    def revision(self):
        """The revision in force, which is always the newest received."""
        return self._replica.revision

    def subscribe(self, listener):
        """Register a listener for new lists.

        Args:
          listener: A function of a list of ListedServer.
        """
        self._listeners.append(listener)

    def list_missing_changes(self, in_force, _seen):
        """Return the changes after a revision, or None; see ConfigHolder."""
        if self._replica.revision > in_force:
            return self._replica.changes_since(in_force)
        return None

    def offer(self, changes):
        """Apply a change set if it raises the revision.

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
        """Return the entry instances, a list of ListedServer."""
        return [record for record in self.records if record.kind == KIND_ENTRY]

    def _read_record(self, key, document):
        """Parse a record; an invalid one becomes a finding."""
        try:
            self.records.append(ListedServer(orjson.loads(document)))
        except (KeyError, TypeError, ValueError) as exc:
            self.findings.append(Finding(f'instances.{key}', repr(exc)))
