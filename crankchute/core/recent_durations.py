"""How long the last requests of each pool took."""

from collections import defaultdict, deque

#: How many requests of a pool are remembered.
_REMEMBERED = 64
_USUAL_SHARE = 0.9
#: Used as a multiple of the latency target while no request has ended.
_GOAL_FACTOR = 3


class RecentDurations:
    """The durations of complete answers, for each pool and kind of answer."""

    def __init__(self):
        """Create an empty record."""
        self._by_kind = defaultdict(lambda: deque(maxlen=_REMEMBERED))

    def record(self, job, took_ms):
        """Record that a request was answered.

        Args:
          job: Its ForwardJob.
          took_ms: The time from its arrival to its end, in milliseconds.
        """
        self._by_kind[_kind_of(job)].append(took_ms)

    def usual_ms(self, job):
        """Return how long nine in ten requests like this one take at most.

        Args:
          job: A ForwardJob.
        Returns:
          Milliseconds; 0 if no such request has ended.
        """
        durations = sorted(self._by_kind.get(_kind_of(job), ()))
        if not durations:
            return 0
        return durations[int((len(durations) - 1) * _USUAL_SHARE)]

    def longest_ms(self, job, flows):
        """Return how long a request like this one takes at most.

        Requests in progress count with their age, since servers that have just
        become slow have not answered any yet.

        Args:
          job: A ForwardJob.
          flows: The ForwardFlows in progress.
        Returns:
          Milliseconds.
        """
        kind = _kind_of(job)
        ages = [
            flow.now_ms() - flow.job.arrived_ms
            for flow in flows
            if _kind_of(flow.job) == kind
        ]
        ended = self._by_kind.get(kind) or (job.goal_ms * _GOAL_FACTOR,)
        return max(*ended, *ages, 0)


def _kind_of(job):
    return job.pool, job.is_stream
