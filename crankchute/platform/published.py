"""Passes data published in the platform's store to the core."""

from crankchute.adapters.log import log_change
from crankchute.core.fleet import LEAVING
from crankchute.core.replica import ChangeSet, Entry
from crankchute.errors import ConfigError
from crankchute.platform.documents import decode_config
from crankchute.platform.server_entries import read_server
from crankchute.platform.store_position import era_of
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

#: Entries removed within this time after a failed call may only have expired.
_RECENT_FAILURE_MS = 6000
#: How many malformed entries are remembered, to log each only once.
_MAX_REJECTED = 256


class PublishedConfig:
    """Passes the operator's configuration to its holder."""

    def __init__(self, holder):
        """Create the listener of a watch.

        Args:
          holder: A ForwardConfigHolder.
        """
        self._holder = holder

    def on_entries(self, entries, sent_ms, _position):
        """Process all entries under the prefix."""
        self.on_changes(entries, sent_ms)

    def on_changes(self, entries, sent_ms):
        """Process changed entries; without any, the version is current."""
        for entry in entries:
            if entry.key == CONFIG_KEY and entry.payload is not None:
                self.apply(entry.payload)
        # Without a time some of the entries may be outdated.
        if sent_ms is not None:
            self._holder.confirm(self._holder.version, sent_ms)

    def apply(self, payload):
        """Apply a configuration from the store or from another instance.

        Args:
          payload: The bytes of the document.
        """
        try:
            config = decode_config(payload)
        except ConfigError as exc:
            log_change('config_refused', findings=str(exc))
            return
        self._holder.offer(config, payload)


class PublishedServers:
    """Passes entries of backend servers to the fleet and the server list.

    The entries come from the store or from other instances.  A malformed entry
    is handled as a deleted one, so that it is neither forwarded to other
    instances nor decoded by them.

    Attributes:
      watches: The watches of the store, set after they are created.
    """

    def __init__(self, node, clock):
        """Create the listener of a watch.

        Args:
          node: A ForwardNode.
          clock: A Clock.
        """
        self._on_listed = node.record_listed
        self._fleet = node.fleet
        self._servers = node.servers
        self._clock = clock
        self._rejected = {}
        self.watches = ()

    def on_entries(self, entries, sent_ms, position):
        """Process all entries under the prefix."""
        if position >= self._servers.revision:
            servers = {
                entry.key.removeprefix(SERVERS_PREFIX): Entry(
                    entry.position,
                    entry.payload,
                )
                for entry in entries
            }
            self._replace_all(ChangeSet(0, position, servers))
        if sent_ms is not None:
            self._servers.confirm(self._servers.revision, sent_ms)

    def on_changes(self, entries, sent_ms):
        """Process changed entries."""
        known = self._servers.revision
        may_have_expired = self._failed_recently()
        servers = {
            entry.key.removeprefix(SERVERS_PREFIX): Entry(
                entry.position,
                entry.payload,
                may_have_expired=may_have_expired and entry.payload is None,
            )
            for entry in entries
            if entry.position > known
        }
        if servers:
            newest = max(entry.revision for entry in servers.values())
            self.apply(ChangeSet(known, newest, servers))
        self._servers.confirm(self._servers.revision, sent_ms)

    def apply(self, changes):
        """Apply changes from the store or from another instance.

        Args:
          changes: A ChangeSet.
        Returns:
          True if the changes were newer than the list and left no gap.
        """
        if not self._servers.accepts(changes):
            return False
        if changes.since:
            listed = self._decode_entries(changes.entries, is_restored=False)
            self._apply_changed(self._servers.apply_changes(changes), listed)
        else:
            self._replace_all(changes)
        return True

    def _decode_entries(self, entries, *, is_restored):
        """Decode entries, and clear the payload of malformed ones.

        Args:
          entries: A map from id to Entry.
          is_restored: Whether they are from a store that was restored since
            the known list.
        Returns:
          A map from id to ListedServer.
        """
        listed = {}
        for identity, entry in entries.items():
            if entry.payload is None:
                continue
            try:
                listed[identity] = read_server(identity, entry.payload)
            except ConfigError as exc:
                self._log_rejected(identity, entry.revision, exc)
                entry.payload = None
        for identity, record in listed.items():
            record.revision = entries[identity].revision
            record.is_restored = is_restored
        return listed

    def _is_restored(self, position):
        """Return whether the store was restored since the known list."""
        known = self._servers.revision
        return known > 0 and era_of(position) != era_of(known)

    def _replace_all(self, changes):
        """Replace the whole list of servers.

        After a restore of the store the list may be outdated: missing entries
        may be written again soon, and some entries may be of removed servers.
        """
        is_restored = self._is_restored(changes.revision)
        may_have_expired = self._failed_recently() or any(
            entry.may_have_expired for entry in changes.entries.values()
        )
        if is_restored:
            self._servers.start_history(changes)
        else:
            self._servers.replace_all(
                changes, may_have_expired=may_have_expired
            )
        listed = self._decode_entries(
            self._servers.live_entries(), is_restored=is_restored
        )
        self._fleet.replace(
            list(listed.values()),
            may_have_expired=may_have_expired or is_restored,
            may_be_old=is_restored,
        )
        log_change('servers_listed', servers=len(listed))
        self._on_listed()

    def _apply_changed(self, entries, listed):
        """Update single servers, and log them together.

        A log line per server is too slow when a whole fleet registers.
        """
        changed = []
        for listed_id, entry in entries.items():
            record = listed.get(listed_id)
            if record is None:
                self._remove(listed_id, entry)
            else:
                self._fleet.put(record)
                changed.append(record)
        if changed:
            log_change(
                'servers_changed',
                servers=[record.identity for record in changed],
                leaving=[
                    record.identity
                    for record in changed
                    if record.state == LEAVING
                ],
            )

    def _remove(self, listed_id, entry):
        removed = self._fleet.remove(
            listed_id, may_have_expired=entry.may_have_expired
        )
        if removed is not None:
            log_change('server_gone', server=removed)

    def _log_rejected(self, identity, revision, exc):
        if self._rejected.get(identity) == revision:
            return
        if len(self._rejected) >= _MAX_REJECTED:
            self._rejected.pop(next(iter(self._rejected)))
        self._rejected[identity] = revision
        log_change('server_refused', findings=str(exc))

    def _failed_recently(self):
        """Return whether a call of the store failed recently."""
        now_ms = self._clock.now_ms()
        return any(
            watch.last_failure_ms is not None
            and now_ms - watch.last_failure_ms < _RECENT_FAILURE_MS
            for watch in self.watches
        )
