"""Predicts how long a request waits for memory."""

#: The weight of the last request in the mean time that requests take.
_MEAN_WEIGHT = 0.2
#: While it is not known how long requests take, one waits no longer than this
#: part of its time.  Another instance can serve it in the rest.
_UNKNOWN_WAIT = 0.5


class WaitPredictor:
    """Predicts when memory is free, from how long requests have held it.

    Requests in memory are expected to end in the order in which they came.
    """

    __slots__ = ('_mean_ms',)

    def __init__(self):
        """Start without a request that has ended."""
        self._mean_ms = None

    def record(self, held_ms):
        """Record how long a request held its memory.

        Args:
          held_ms: Milliseconds.
        """
        if self._mean_ms is None:
            self._mean_ms = held_ms
        else:
            self._mean_ms += (held_ms - self._mean_ms) * _MEAN_WEIGHT

    def predict_ms(self, missing, limit, granted, now_ms):
        """Predict when enough memory is free.

        Args:
          missing: The bytes that are not free yet, an int.
          limit: The most bytes that requests hold.
          granted: The MemoryClaims of the requests that hold memory, the first
            to come first.
          now_ms: The time in milliseconds.
        Returns:
          Milliseconds, or None if no request has ended yet.
        """
        if missing <= 0:
            return 0
        if self._mean_ms is None:
            return None
        rounds, rest = divmod(missing, limit)
        wait_ms = rounds * self._mean_ms
        for claim in granted:
            rest -= claim.size
            if rest <= 0:
                end_ms = claim.granted_ms + self._mean_ms
                return wait_ms + max(end_ms - now_ms, 0)
        return wait_ms + self._mean_ms

    def is_too_late(self, claim, wait_ms, now_ms):
        """Tell whether a request that waits cannot be served in time.

        Args:
          claim: Its MemoryClaim.
          wait_ms: How long it is going to wait, or None if that is unknown.
          now_ms: The time in milliseconds.
        """
        if wait_ms is None:
            allowed_ms = claim.deadline_ms - claim.arrived_ms
            waited_ms = now_ms - claim.arrived_ms
            return waited_ms > allowed_ms * _UNKNOWN_WAIT
        # It needs about as much time as others once it has its memory.
        needed_ms = wait_ms + (self._mean_ms or 0)
        return now_ms + needed_ms > claim.deadline_ms
