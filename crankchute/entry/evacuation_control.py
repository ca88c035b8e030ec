"""Puts requests to evacuate data centres into force at one instance."""

from crankchute.adapters.log import log_change
from crankchute.core.forward_attempt import end_waiting

#: The source of records that this instance read itself, in log lines.
_STORE = 'store'
#: How many findings are remembered, to log each only once.
_MAX_FINDINGS = 256
#: The longest part of a name in a log line, in characters.
_LOGGED_NAME_LENGTH = 80


class EvacuationControl:
    """Applies records of the store and of other instances, and logs changes.

    Without effect unless the fleet's Evacuations are enabled.

    Attributes:
      on_known: Called without arguments when the evacuations are known for the
        first time, or None.
    """

    def __init__(self, node, data_centres):
        """Create the control of an instance without records.

        Args:
          node: The ForwardNode.
          data_centres: The names of data centres in the settings, an iterable.
        """
        self._node = node
        self._evacuations = node.fleet.evacuations
        self._data_centres = frozenset(data_centres)
        self.on_known = None
        self._on_news = []
        self._logged = {}

    def subscribe(self, callback):
        """Call a function when records should be sent without delay.

        Args:
          callback: A function without arguments.
        """
        self._on_news.append(callback)

    def replace_all(self, records, position, *, is_current):
        """Apply a read of all requests in the store.

        Args:
          records: A list of Evacuation.
          position: The position of the read, an int.
          is_current: Whether the read shows the state of the store at its time;
            otherwise changes up to then may follow.
        """
        now_ms = self._node.now_ms()
        update = self._evacuations.replace_all(records, position, now_ms)
        self._apply(update, _STORE, is_known=is_current)

    def apply_changes(self, records):
        """Apply all changes since the last read of the store.

        Args:
          records: A list of Evacuation.
        """
        update = self._evacuations.merge(records, self._node.now_ms())
        self._apply(update, _STORE, is_known=True)

    def receive(self, message):
        """Apply the records of another instance.

        Args:
          message: A PeerMessage.
        """
        if self._evacuations.is_enabled:
            update = self._evacuations.merge(
                message.evacuations, self._node.now_ms()
            )
            self._apply(
                update,
                message.instance,
                is_known=message.knows_evacuations,
            )

    def accepts_proof(self, message):
        """Return whether a message can prove a configuration to be current.

        The watch of the store covers the evacuations, too, and pauses while
        other instances prove that the configuration is current.  So only the
        word of an instance that knows the evacuations replaces a read.

        Args:
          message: A PeerMessage.
        """
        return message.knows_evacuations or not self._evacuations.is_enabled

    def check_names(self):
        """Log evacuations of data centres that no server or setting names."""
        if not self._evacuations.evacuated or not len(self._node.fleet):
            return
        known = {
            backend.listed.data_centre for backend in self._node.fleet
        } | self._data_centres
        for record in self._evacuations.records:
            if record.is_evacuated and record.data_centre not in known:
                self._log_finding(
                    record, 'no server and no setting names the data centre'
                )

    def _apply(self, update, source, *, is_known):
        for record, finding in update.rejected:
            self._log_finding(record, finding)
        for changed in update.changed:
            _log_changed(changed, source)
        if update.changed:
            self.check_names()
            end_waiting(self._node.desk.flows, self._is_excluded)
        if update.replaced:
            for callback in self._on_news:
                callback()
        is_first = is_known and self._evacuations.record_known()
        if is_first and self.on_known is not None:
            self.on_known()

    def _is_excluded(self, backend):
        return self._evacuations.excludes(backend.listed.data_centre)

    def _log_finding(self, record, finding):
        key = (record.data_centre, record.position)
        if key in self._logged:
            return
        if len(self._logged) >= _MAX_FINDINGS:
            self._logged.pop(next(iter(self._logged)))
        self._logged[key] = finding
        log_change(
            'evacuation_finding',
            data_centre=record.data_centre[:_LOGGED_NAME_LENGTH],
            position=record.position,
            finding=finding,
        )


def _log_changed(record, source):
    kind = 'evacuation_withdrawn'
    if record.is_evacuated:
        kind = 'evacuation_requested'
    log_change(
        kind,
        data_centre=record.data_centre,
        position=record.position,
        source=source,
    )
