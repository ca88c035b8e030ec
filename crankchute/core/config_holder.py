"""The configuration in force in one process.

A revision is taken whole after all its findings are collected, or refused
whole.  Two copies are kept: the newest revision accepted, which a restarted
instance must be able to get from its peers, and the newest revision seen,
which may have been refused.  Neither ever falls.
"""

from crankchute.core.config_check import load_config
from crankchute.core.replica import Replica
from crankchute.errors import ConfigError, StaleRevisionError


class ConfigHolder:
    """Holds the newest accepted configuration and what was refused.

    Attributes:
      config: The Config in force, or None before the first.
      findings: The findings of the newest refused revision, a tuple.
      refused_revision: That revision, or None if the newest is in force.
    """

    def __init__(self):
        """Create the holder without a configuration."""
        self._accepted = Replica()
        self._seen = Replica()
        self._listeners = []
        self._cache = {}
        self.config = None
        self.findings = ()
        self.refused_revision = None

    @property
    def seen_revision(self):
        """The highest revision seen, accepted or not, an int."""
        return self._seen.revision

    @property
    def revision(self):
        """The revision in force, an int; 0 before the first."""
        return self._accepted.revision

    @property
    def version(self):
        """The revision in force, as log lines name it."""
        return self.revision

    def proof_age_ms(self, _now_ms):
        """Return None: the age of a revision is not proved here."""

    def subscribe(self, listener):
        """Be told of each configuration that comes into force.

        Args:
          listener: A function of a Config.
        """
        self._listeners.append(listener)

    def changes_for(self, in_force, seen):
        """Return what another instance lacks.

        Args:
          in_force: The revision in force at the other instance.
          seen: The highest revision that it has seen.
        Returns:
          A ChangeSet, or None if it lacks nothing.
        """
        if self._accepted.revision > in_force:
            return self._accepted.changes_since(in_force)
        if self._seen.revision > seen:
            return self._seen.changes_since(seen)
        return None

    def offer(self, changes):
        """Take a change set if it leads higher.

        Args:
          changes: A ChangeSet from the platform or from a peer.
        Returns:
          True if the revision seen or the revision in force rose.
        """
        is_newest = changes.revision > self._seen.revision
        base = self._seen if is_newest else self._accepted
        try:
            documents = base.preview(changes)
        except StaleRevisionError:
            return False
        if is_newest:
            self._seen = base.advanced(changes)
        try:
            config = load_config(
                changes.revision,
                documents,
                self._cache,
            )
        except ConfigError as exc:
            self._note_refusal(changes.revision, exc.findings)
            return is_newest
        self._put_in_force(config, base.advanced(changes))
        return True

    def _note_refusal(self, revision, findings):
        if revision == self._seen.revision:
            self.findings = findings
            self.refused_revision = revision

    def _put_in_force(self, config, replica):
        self.config = config
        self._accepted = replica
        if config.revision == self._seen.revision:
            self.findings = ()
            self.refused_revision = None
        for listener in self._listeners:
            listener(config)
