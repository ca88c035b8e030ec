"""Passes the operator's keys in the platform's store to the core."""

from crankchute.core.evacuations import Evacuation
from crankchute.platform.wire import EVACUATE_PREFIX


class PublishedOperatorKeys:
    """Passes the evacuations and the configuration to their holders.

    The evacuations are applied first: a proof that the configuration is
    current, which other instances get, covers them as well.
    """

    def __init__(self, control, config):
        """Create the listener of a watch.

        Args:
          control: An EvacuationControl.
          config: A PublishedConfig.
        """
        self._control = control
        self._config = config

    def on_entries(self, entries, sent_ms, position):
        """Process all entries under the prefix."""
        self._control.replace_all(
            list_evacuations(entries),
            position,
            is_current=sent_ms is not None,
        )
        self._config.on_entries(entries, sent_ms, position)

    def on_changes(self, entries, sent_ms):
        """Process changed entries."""
        self._control.apply_changes(list_evacuations(entries))
        self._config.on_changes(entries, sent_ms)


def list_evacuations(entries):
    """Return the requests to evacuate data centres.

    Args:
      entries: A list of StoreEntry; those of other keys are ignored.
    Returns:
      A list of Evacuation.
    """
    return [
        Evacuation(
            entry.key.removeprefix(EVACUATE_PREFIX),
            entry.position,
            is_evacuated=entry.payload is not None,
        )
        for entry in entries
        if entry.key.startswith(EVACUATE_PREFIX)
    ]
