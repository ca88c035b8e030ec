"""News of crashes, with the gossip that instances exchange anyway."""

from crankchute.adapters.crash_records import read_crashes, write_crashes

#: Of so many instances is kept what they remember; others are told again.
_MOST_HEARD = 1024


class CrashGossip:
    """Tells other instances what this one remembers of crashes, where it differs."""

    def __init__(self, history):
        """Create the teller.

        Args:
          history: The CrashHistory.
        """
        self._history = history
        self._heard = {}

    def add_to(self, gossip, address, now_ms):
        """Add to a message what its receiver lacks.

        Args:
          gossip: A Gossip message.
          address: The receiver's "IP:port", or None if it is not known.
          now_ms: The time on this process's clock.
        """
        gossip.crash_digest = self._history.digest
        if self._heard.get(address, 0) != gossip.crash_digest:
            gossip.crashes.CopyFrom(
                write_crashes(self._history.make_report(), now_ms)
            )

    def take(self, gossip, address, now_ms):
        """Take what another instance told.

        Args:
          gossip: A Gossip message.
          address: The teller's "IP:port", or None if it is not known.
          now_ms: The time on this process's clock.
        """
        if len(self._heard) >= _MOST_HEARD:
            self._heard.clear()
        self._heard[address] = gossip.crash_digest
        news = read_crashes(gossip, now_ms)
        if news is not None:
            self._history.merge_report(news)
