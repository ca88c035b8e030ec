"""The configuration in force in one process.

A revision is validated and then accepted or refused as a whole.  Two replicas
are kept: the newest accepted revision, which peers pass on to restarted
instances, and the newest seen revision, which may have been refused.  Neither
revision number ever decreases.
"""

from crankchute.core.config_loader import load_config
from crankchute.core.replica import Replica
from crankchute.errors import ConfigError, StaleRevisionError


class ConfigHolder:
    """Holds the newest accepted configuration and the last refusal.

    Attributes:
      config: The Config in force, or None before the first.
      findings: A tuple of the findings of the refused revision; empty if the
        newest seen revision is in force.
      refused_revision: The newest seen revision if it was refused, else
        None.
    """

    def __init__(self):
        """Create a holder without a configuration."""
        self._accepted = Replica()
        self._seen = Replica()
        self._listeners = []
        self._cache = {}
        self.config = None
        self.findings = ()
        self.refused_revision = None

    @property
    def seen_revision(self):
        """The highest revision seen, accepted or refused, an int."""
        return self._seen.revision

    @property
    def revision(self):
        """The revision in force, an int; 0 before the first one."""
        return self._accepted.revision

    @property
    def version(self):
        """The revision in force, under the name used in log lines."""
        return self.revision

    def proof_age_ms(self, _now_ms):
        """Return None: this holder does not track how fresh a revision is."""

    def subscribe(self, listener):
        """Register a listener for each configuration that takes effect.

        Args:
          listener: A function that is called with the new Config.
        """
        self._listeners.append(listener)

    def list_missing_changes(self, in_force, seen):
        """Return the changes that another instance is missing.

        Args:
          in_force: The revision in force on the other instance.
          seen: The highest revision that it has seen.
        Returns:
          A ChangeSet, or None if it is up to date.
        """
        if self._accepted.revision > in_force:
            return self._accepted.changes_since(in_force)
        if self._seen.revision > seen:
            return self._seen.changes_since(seen)
        return None

    def offer(self, changes):
        """Apply a change set if it leads to a newer revision.

        Args:
          changes: A ChangeSet from the platform or a peer.
        Returns:
          True if the seen revision or the revision in force increased.
        """
        is_newest = changes.revision > self._seen.revision
        base = self._seen if is_newest else self._accepted
        try:
            documents = base.preview(changes)
        except StaleRevisionError:
            return False
        if is_newest:
            self._seen = base.with_changes(changes)
        try:
            config = load_config(
                changes.revision,
                documents,
                self._cache,
            )
        except ConfigError as exc:
            self._record_refusal(changes.revision, exc.findings)
            return is_newest
        self._activate(config, base.with_changes(changes))
        return True

    def _record_refusal(self, revision, findings):
        if revision == self._seen.revision:
            self.findings = findings
            self.refused_revision = revision

    def _activate(self, config, replica):
        self.config = config
        self._accepted = replica
        if config.revision == self._seen.revision:
            self.findings = ()
            self.refused_revision = None
        for listener in self._listeners:
            listener(config)
