"""What the platform's store tells, handed to the core."""

from crankchute.adapters.log import log_change
from crankchute.core.fleet import LEAVING
from crankchute.core.replica import ChangeSet, Entry
from crankchute.errors import ConfigError
from crankchute.platform.documents import decode_config
from crankchute.platform.server_entries import read_server
from crankchute.platform.store_position import era_of
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

#: Entries that vanish this soon after trouble with the store may have lapsed.
_TROUBLE_MS = 6000
#: How many entries that name no server are remembered, so that each is logged
#: once and not whenever the list is read.
_MOST_REFUSED = 256


class PublishedConfig:
    """Hands the operator's configuration to its holder."""

    def __init__(self, holder):
        """Create the listener of a watch.

        Args:
          holder: A ForwardConfigHolder.
        """
        self._holder = holder

    def on_entries(self, entries, asked_ms, _at):
        """Take all that stands under the prefix."""
        self.on_changes(entries, asked_ms)

    def on_changes(self, entries, asked_ms):
        """Take what changed, and that nothing else did."""
        for entry in entries:
            if entry.key == CONFIG_KEY and entry.payload is not None:
                self.take(entry.payload)
        self._holder.prove(self._holder.version, asked_ms)

    def take(self, payload):
        """Take a configuration from the store or from a peer.

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
    """Hands the backend servers' entries to the fleet, whoever told them.

    An entry that names no server is passed on as one that is gone: nobody has
    to carry, read or log what another writer left there.
    """

    def __init__(self, node, clock):
        """Create the listener of a watch; `watches` are set afterwards.

        Args:
          node: A ForwardNode.
          clock: A Clock.
        """
        self._on_listed = node.note_listed
        self._fleet = node.fleet
        self._servers = node.servers
        self._clock = clock
        self._refused = {}
        self.watches = ()

    def on_entries(self, entries, asked_ms, at):
        """Take all entries that stand there."""
        if at >= self._servers.revision:
            found = {
                entry.key.removeprefix(SERVERS_PREFIX): Entry(
                    entry.revision,
                    entry.payload,
                )
                for entry in entries
            }
            listed = self._sift(found)
            came_back = self._came_back(at)
            self._servers.take_all(found, at)
            self._list_all(found, listed, came_back=came_back)
        if asked_ms is not None:
            self._servers.prove(self._servers.revision, asked_ms)

    def on_changes(self, entries, asked_ms):
        """Take the entries that changed."""
        known = self._servers.revision
        may_lapse = self._is_troubled()
        found = {
            entry.key.removeprefix(SERVERS_PREFIX): Entry(
                entry.revision,
                entry.payload,
                may_lapse=may_lapse and entry.payload is None,
            )
            for entry in entries
            if entry.revision > known
        }
        if found:
            newest = max(entry.revision for entry in found.values())
            self.take(ChangeSet(known, newest, found))
        self._servers.prove(self._servers.revision, asked_ms)

    def take(self, changes):
        """Take what changed, from the store or another instance.

        Args:
          changes: A ChangeSet.
        Returns:
          True if the list of servers is newer now.
        """
        known = self._servers.revision
        if changes.revision <= known or changes.since > known:
            return False
        listed = self._sift(changes.entries)
        came_back = self._came_back(changes.revision)
        self._servers.take(changes)
        if changes.since:
            self._take_changed(changes.entries, listed)
        else:
            self._list_all(changes.entries, listed, came_back=came_back)
        return True

    def _sift(self, entries):
        """Read entries, and empty those that name no server.

        Args:
          entries: A map from id to Entry; changed where needed.
        Returns:
          A map from id to Listed.
        """
        listed = {}
        for identity, entry in entries.items():
            if entry.payload is None:
                continue
            try:
                listed[identity] = read_server(identity, entry.payload)
            except ConfigError as exc:
                self._log_refused(identity, entry.revision, exc)
                entry.payload = None
        return listed

    def _came_back(self, at):
        """Tell whether the store came back since the list that is known."""
        known = self._servers.revision
        return known > 0 and era_of(at) != era_of(known)

    def _list_all(self, entries, listed, *, came_back):
        """Take all entries; after a return of the store they may be old ones.

        What is missing in an older copy its server writes again soon, and what
        is there may be of a server that left since.
        """
        may_lapse = any(entry.may_lapse for entry in entries.values())
        self._fleet.replace(
            list(listed.values()),
            may_lapse=may_lapse or came_back or self._is_troubled(),
            may_be_old=came_back,
        )
        log_change('servers_listed', servers=len(listed))
        self._on_listed()

    def _take_changed(self, entries, listed):
        """Take changed entries, and tell of them in one line.

        A line for each of 3000 servers took a quarter of the time of learning
        of them, at every instance.
        """
        for listed_id, entry in entries.items():
            record = listed.get(listed_id)
            if record is None:
                self._remove(listed_id, entry)
            else:
                self._fleet.put(record)
        if listed:
            leaving = [
                record.identity
                for record in listed.values()
                if record.state == LEAVING
            ]
            log_change(
                'servers_changed',
                servers=[record.identity for record in listed.values()],
                leaving=leaving,
            )

    def _remove(self, listed_id, entry):
        gone = self._fleet.remove(listed_id, may_lapse=entry.may_lapse)
        if gone is not None:
            log_change('server_gone', server=gone)

    def _log_refused(self, identity, revision, exc):
        if self._refused.get(identity) == revision:
            return
        if len(self._refused) >= _MOST_REFUSED:
            self._refused.pop(next(iter(self._refused)))
        self._refused[identity] = revision
        log_change('server_refused', findings=str(exc))

    def _is_troubled(self):
        """Tell whether any watch of the store failed lately."""
        now_ms = self._clock.now_ms()
        return any(
            watch.failed_ms is not None
            and now_ms - watch.failed_ms < _TROUBLE_MS
            for watch in self.watches
        )
