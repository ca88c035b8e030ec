"""Replication of the work in progress between two instances.

Changes are sent in numbered batches.  A receiver that missed a batch, or that
has just subscribed, requests a snapshot of all work.  A lost message therefore
leaves no stale entry behind, and an instance that has just started, or that
clients have just been sent to, learns the load of the engines at once instead
of taking them all for idle.
"""

from crankchute.core.engine_work import Change
from crankchute.core.peer_message import WorkBatch, WorkChange

#: Batches may arrive out of order.  A gap that lasts longer than this, which
#: exceeds the latency between data centres (1 to 5 ms), counts as a loss.
_REORDER_WINDOW_MS = 50


class WorkFeed:
    """Both directions of replication between this instance and a peer."""

    __slots__ = (
        '_applied_number',
        '_boot',
        '_gap_since_ms',
        '_has_snapshot',
        '_highest_number',
        '_owes_snapshot',
        '_pending',
        '_sent_number',
        '_subscribed_ms',
    )

    def __init__(self):
        """Create the feed of a peer without any message."""
        self._sent_number = 0
        self._owes_snapshot = False
        self._subscribed_ms = None
        self._boot = None
        self._reset()

    def has_subscriber(self, now_ms, timeout_ms):
        """Tell whether the peer subscribes to this instance's work.

        Args:
          now_ms: The current time.
          timeout_ms: How long a subscription lasts without renewal.
        """
        if self._subscribed_ms is None:
            return False
        return now_ms - self._subscribed_ms < timeout_ms

    def record_subscription(self, message, now_ms):
        """Record whether the peer subscribes, and whether it needs a snapshot.

        Args:
          message: The peer's PeerMessage.
          now_ms: The current time.
        """
        if message.subscribes_to_work:
            self._subscribed_ms = now_ms
            self._owes_snapshot = self._owes_snapshot or message.needs_snapshot

    def make_batch(self, changes, own_works):
        """Return the batch for the next message to the peer.

        Args:
          changes: A list of WorkChange.
          own_works: A function that returns all WorkItems of this instance.
        Returns:
          A WorkBatch; a snapshot if the peer requested one.
        """
        if self._owes_snapshot:
            self._owes_snapshot = False
            self._sent_number += 1
            snapshot = [
                WorkChange(_last_change(work), work) for work in own_works()
            ]
            return WorkBatch(self._sent_number, snapshot, is_snapshot=True)
        if changes:
            self._sent_number += 1
        return WorkBatch(self._sent_number, changes)

    def is_incomplete(self, now_ms):
        """Tell whether a snapshot of the peer's work is needed.

        Args:
          now_ms: The current time.
        """
        if not self._has_snapshot:
            return True
        return (
            self._gap_since_ms is not None
            and now_ms - self._gap_since_ms > _REORDER_WINDOW_MS
        )

    def receive(self, message, now_ms):
        """Process the batch in a message from the peer.

        Args:
          message: The peer's PeerMessage.
          now_ms: The current time.
        Returns:
          The WorkBatches to apply now, in order.  A batch that arrived early
          is held back until the ones before it arrive.
        """
        if message.boot != self._boot:
            self._boot = message.boot
            self._reset()
        ready = self._reorder(message.batch)
        if self._highest_number == self._applied_number:
            self._gap_since_ms = None
        elif self._gap_since_ms is None:
            self._gap_since_ms = now_ms
        return ready

    def _reorder(self, batch):
        """Add a batch, and return those that are next in sequence."""
        ready = []
        self._highest_number = max(self._highest_number, batch.number)
        if batch.number > self._applied_number and batch.is_snapshot:
            self._has_snapshot = True
            self._applied_number = batch.number
            ready.append(batch)
        elif batch.number > self._applied_number and batch.changes:
            self._pending[batch.number] = batch
        self._pending = {
            number: one
            for number, one in self._pending.items()
            if number > self._applied_number
        }
        while self._applied_number + 1 in self._pending:
            self._applied_number += 1
            ready.append(self._pending.pop(self._applied_number))
        return ready

    def _reset(self):
        """Discard the state received from an earlier process of the peer."""
        self._has_snapshot = False
        self._applied_number = 0
        self._highest_number = 0
        self._pending = {}
        self._gap_since_ms = None


def _last_change(work):
    return Change.STARTED if work.started else Change.SENT


def apply_batch(work_tracker, origin, batch):
    """Apply a batch from another instance to the work_tracker.

    Args:
      work_tracker: An EngineWorkTracker.
      origin: The id of the instance that sent the batch.
      batch: A WorkBatch.
    """
    for one in batch.changes:
        one.work.origin = origin
    if batch.is_snapshot:
        work_tracker.replace(origin, batch.changes)
        return
    for one in batch.changes:
        work_tracker.record(one)
