"""Exchange of crash records between instances, as part of their gossip."""

from crankchute.adapters.crash_records import read_crashes, write_crashes

#: The digests of so many peers are kept; beyond it, records are sent again.
_MAX_PEER_DIGESTS = 1024


class CrashGossip:
    """Sends the local crash records to peers whose digest differs."""

    def __init__(self, history):
        """Create the exchange.

        Args:
          history: The CrashHistory.
        """
        self._history = history
        self._peer_digests = {}

    def add_to(self, gossip, address, now_ms):
        """Add the crash records to a message if the receiver's differ.

        Args:
          gossip: A Gossip message.
          address: The receiver's "IP:port", or None if unknown.
          now_ms: The time on this process's clock.
        """
        gossip.crash_digest = self._history.digest
        if self._peer_digests.get(address, 0) != gossip.crash_digest:
            gossip.crashes.CopyFrom(
                write_crashes(self._history.make_report(), now_ms)
            )

    def merge_from(self, gossip, address, now_ms):
        """Merge the crash records of a received message.

        Args:
          gossip: A Gossip message.
          address: The sender's "IP:port", or None if unknown.
          now_ms: The time on this process's clock.
        """
        if len(self._peer_digests) >= _MAX_PEER_DIGESTS:
            self._peer_digests.clear()
        self._peer_digests[address] = gossip.crash_digest
        records = read_crashes(gossip, now_ms)
        if records is not None:
            self._history.merge_report(records)
