"""What the platform's store tells, handed to the core."""

from crankchute.adapters.log import log_change
from crankchute.errors import ConfigError
from crankchute.platform.documents import read_config, read_server
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

#: Entries that vanish this soon after trouble with the store may have lapsed.
_TROUBLE_MS = 6000


class PublishedConfig:
    """Hands the operator's configuration to its holder."""

    def __init__(self, holder):
        """Create the listener of a watch.

        Args:
          holder: A ForwardConfigHolder.
        """
        self._holder = holder

    def on_entries(self, entries, asked_ms):
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
            config = read_config(payload)
        except ConfigError as exc:
            log_change('config_refused', findings=str(exc))
            return
        self._holder.offer(config, payload)


class PublishedServers:
    """Hands the backend servers' entries to the fleet."""

    def __init__(self, fleet, clock, on_listed):
        """Create the listener of a watch; `watches` are set afterwards.

        Args:
          fleet: A ForwardFleet.
          clock: A Clock.
          on_listed: Called after all entries were taken.
        """
        self._on_listed = on_listed
        self._fleet = fleet
        self._clock = clock
        self.watches = ()

    def on_entries(self, entries, _asked_ms):
        """Take all entries that stand there."""
        listed = [self._read(entry) for entry in entries]
        present = [record for record in listed if record is not None]
        self._fleet.replace(present, may_lapse=self._is_troubled())
        log_change('servers_listed', servers=len(present))
        self._on_listed()

    def on_changes(self, entries, _asked_ms):
        """Take the entries that changed."""
        for entry in entries:
            if entry.payload is None:
                identity = entry.key.removeprefix(SERVERS_PREFIX)
                self._fleet.remove(identity, may_lapse=self._is_troubled())
                log_change('server_gone', server=identity)
                continue
            record = self._read(entry)
            if record is not None:
                self._fleet.put(record)
                log_change(
                    'server_listed',
                    server=record.identity,
                    state=record.state,
                )

    def _read(self, entry):
        identity = entry.key.removeprefix(SERVERS_PREFIX)
        try:
            return read_server(identity, entry.payload)
        except ConfigError as exc:
            log_change('server_refused', findings=str(exc))
            return None

    def _is_troubled(self):
        """Tell whether any watch of the store failed lately."""
        now_ms = self._clock.now_ms()
        return any(
            watch.failed_ms is not None
            and now_ms - watch.failed_ms < _TROUBLE_MS
            for watch in self.watches
        )
