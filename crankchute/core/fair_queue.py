"""Weighted fair queueing of waiting requests.

Requests are ordered by priority.  Within a priority, client accounts share by
weight: requests are ordered by virtual finish time.  Requests that compete for
the same engines share a lane, so that a lane without capacity does not block
the others.
"""

from sortedcontainers import SortedDict

from crankchute.core.job import length_band


class FairQueue:
    """One lane: a weighted fair queue of flows."""

    def __init__(self):
        self._waiting = SortedDict()
        self._ranks = {}
        self._finish_times = {}
        self._virtual_time = 0
        self._sequence = 0

    def __len__(self):
        """Return the number of waiting flows."""
        return len(self._waiting)

    def add(self, flow, weight):
        """Queue a flow; a flow that is already queued keeps its position.

        Args:
          flow: A flow whose `job` is a Job.
          weight: The account's weight, greater than 0.
        """
        job = flow.job
        if job.request_id in self._ranks:
            return
        start_time = max(
            self._virtual_time,
            self._finish_times.get(job.account, 0),
        )
        finish_time = start_time + job.tokens / weight
        self._finish_times[job.account] = finish_time
        self._sequence += 1
        rank = (job.priority, finish_time, self._sequence)
        self._ranks[job.request_id] = rank
        self._waiting[rank] = flow

    def discard(self, flow):
        """Remove a flow if it is queued.

        Args:
          flow: The flow.
        Returns:
          The flow's rank, or None if it was not queued.
        """
        rank = self._ranks.pop(flow.job.request_id, None)
        if rank is None:
            return None
        self._waiting.pop(rank)
        self._virtual_time = max(self._virtual_time, rank[1])
        if not self._waiting:
            self._finish_times.clear()
            self._virtual_time = 0
        return rank

    def restore(self, flow, rank):
        """Put a removed flow back at its former position.

        Args:
          flow: The flow.
          rank: The rank that discard() returned.
        """
        self._ranks[flow.job.request_id] = rank
        self._waiting[rank] = flow

    def peek(self):
        """Return the flow at the head of the queue, or None."""
        return self._waiting.peekitem(0)[1] if self._waiting else None

    def first_rank(self):
        """Return the rank of the flow at the head of the queue."""
        return self._waiting.peekitem(0)[0]

    def tokens_ahead(self, priority):
        """Return the queued prompt tokens at a priority or a higher one.

        Args:
          priority: From 0 (highest) to 9.
        Returns:
          An int.
        """
        return sum(
            flow.job.tokens
            for rank, flow in self._waiting.items()
            if rank[0] <= priority
        )


class LaneQueue:
    """The lanes of one entry instance."""

    def __init__(self):
        self._lanes = {}

    def __len__(self):
        """Return the number of waiting flows in all lanes."""
        return sum(len(lane) for lane in self._lanes.values())

    def add(self, flow, weight):
        """Queue a flow in its lane.

        Args:
          flow: A flow whose `job` is a Job.
          weight: The account's weight, greater than 0.
        """
        key = _lane_key(flow.job)
        lane = self._lanes.setdefault(key, FairQueue())
        lane.add(flow, weight)

    def discard(self, flow):
        """Remove a flow if it is queued.

        Args:
          flow: The flow.
        """
        lane = self._lanes.get(_lane_key(flow.job))
        if lane is not None:
            lane.discard(flow)

    def tokens_ahead(self, job):
        """Return the queued prompt tokens ahead of a new job.

        Args:
          job: The Job.
        Returns:
          An int.
        """
        lane = self._lanes.get(_lane_key(job))
        return 0 if lane is None else lane.tokens_ahead(job.priority)

    def start_ready(self, start):
        """Start flows in queue order, in each lane until one must wait.

        Args:
          start: A function of a flow that returns False if the flow must wait.
        """
        lanes = [lane for lane in self._lanes.values() if lane]
        lanes.sort(key=FairQueue.first_rank)
        for lane in lanes:
            _start_in_order(lane, start)


def _start_in_order(lane, start):
    flow = lane.peek()
    while flow is not None:
        rank = lane.discard(flow)
        if not start(flow):
            lane.restore(flow, rank)
            break
        flow = lane.peek()


def _lane_key(job):
    return (job.pools, job.model, length_band(job.tokens))
