"""The order in which waiting requests start.

Classes go by priority.  Within a priority the accounts share by weight: each
request gets a virtual finish time, and a request of an account that has used
little goes before those of one that has used much.  Requests that compete for
the same engines form a lane, so that a lane without room holds up no other.
"""

from sortedcontainers import SortedDict

from crankchute.core.job import length_band


class FairQueue:
    """One lane: waiting flows, fair among accounts by weight."""

    def __init__(self):
        """Create an empty lane."""
        self._waiting = SortedDict()
        self._ranks = {}
        self._finish = {}
        self._virtual = 0
        self._count = 0

    def __len__(self):
        """Return how many flows wait."""
        return len(self._waiting)

    def add(self, flow, weight):
        """Queue a flow; one that waits already keeps its place.

        Args:
          flow: A flow with a Job as `job`.
          weight: The account's weight, above 0.
        """
        job = flow.job
        if job.request_id in self._ranks:
            return
        start = max(self._virtual, self._finish.get(job.account, 0))
        finish = start + job.tokens / weight
        self._finish[job.account] = finish
        self._count += 1
        rank = (job.priority, finish, self._count)
        self._ranks[job.request_id] = rank
        self._waiting[rank] = flow

    def discard(self, flow):
        """Take a flow out if it waits.

        Args:
          flow: The flow.
        Returns:
          Its rank, or None if it did not wait.
        """
        rank = self._ranks.pop(flow.job.request_id, None)
        if rank is None:
            return None
        self._waiting.pop(rank)
        self._virtual = max(self._virtual, rank[1])
        if not self._waiting:
            self._finish.clear()
            self._virtual = 0
        return rank

    def restore(self, flow, rank):
        """Put a flow back at the place it had.

        Args:
          flow: The flow.
          rank: What discard returned.
        """
        self._ranks[flow.job.request_id] = rank
        self._waiting[rank] = flow

    def first(self):
        """Return the flow whose turn it is, or None."""
        return self._waiting.peekitem(0)[1] if self._waiting else None

    def first_rank(self):
        """Return the rank of the flow whose turn it is."""
        return self._waiting.peekitem(0)[0]

    def tokens_before(self, priority):
        """Return the prompt tokens that wait at a priority or a higher one.

        Args:
          priority: 0 (first) to 9.
        Returns:
          An int.
        """
        return sum(
            flow.job.tokens
            for rank, flow in self._waiting.items()
            if rank[0] <= priority
        )


class LaneQueue:
    """All lanes of one entry instance."""

    def __init__(self):
        """Create without any lane."""
        self._lanes = {}

    def __len__(self):
        """Return how many flows wait in all lanes."""
        return sum(len(lane) for lane in self._lanes.values())

    def add(self, flow, weight):
        """Queue a flow in its lane.

        Args:
          flow: A flow with a Job as `job`.
          weight: The account's weight, above 0.
        """
        key = _lane_of(flow.job)
        lane = self._lanes.setdefault(key, FairQueue())
        lane.add(flow, weight)

    def discard(self, flow):
        """Take a flow out if it waits.

        Args:
          flow: The flow.
        """
        lane = self._lanes.get(_lane_of(flow.job))
        if lane is not None:
            lane.discard(flow)

    def tokens_before(self, job):
        """Return the prompt tokens that wait before a new job.

        Args:
          job: The Job.
        Returns:
          An int.
        """
        lane = self._lanes.get(_lane_of(job))
        return 0 if lane is None else lane.tokens_before(job.priority)

    def start_ready(self, start):
        """Start flows in their order until their lanes have no room.

        Args:
          start: A function of a flow, which returns False if it must wait.
        """
        lanes = [lane for lane in self._lanes.values() if lane]
        lanes.sort(key=FairQueue.first_rank)
        for lane in lanes:
            _start_in_order(lane, start)


def _start_in_order(lane, start):
    flow = lane.first()
    while flow is not None:
        rank = lane.discard(flow)
        if not start(flow):
            lane.restore(flow, rank)
            break
        flow = lane.first()


def _lane_of(job):
    return (job.pools, job.model, length_band(job.tokens))
