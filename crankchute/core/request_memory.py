"""Bounds the memory that callers' requests take.

A request takes memory from its first byte until its answer ends, since it may
have to be sent to another server.  Small requests are accepted while they fit.
Large ones reserve memory for all of their bytes before more than the first are
read; those that do not fit wait unread until others end, or are refused.

RequestMemory decides.  Callers pass the time and apply the decisions.
"""

from collections import Counter

from crankchute.core.request_claim import Decision
from crankchute.core.request_wait import WaitPredictor

#: Requests up to this size never wait, in bytes.
SMALL_BYTES = 65_536
#: What a request that waits can take: its first bytes, and the buffer of the
#: system for those that its caller goes on sending.
WAITING_BYTES = 327_680
_LARGE_FRACTION = 4
_SMALL_FRACTION = 16
_WAITING_FRACTION = 16
#: The part of the memory for large requests that one caller leaves to others.
_OTHERS_FRACTION = 8
#: Time without progress after which a request that is being read may be ended
#: for others that wait, in milliseconds.  A lost packet is usually sent again
#: within a second.
_STALLED_MS = 1000


class RequestMemory:
    """Decides which requests are read, which wait and which are refused.

    Attributes:
      large_used: The bytes reserved by large requests.
      small_used: The bytes reserved by small requests.
    """

    def __init__(self, memory_bytes):
        """Create the state without requests.

        Args:
          memory_bytes: The memory limit of the process.
        """
        self.large_used = 0
        self.small_used = 0
        self._granted = {}
        self._waiting = {}
        self._used_by_owner = Counter()
        self._predictor = WaitPredictor()
        self.change_memory(memory_bytes)

    @property
    def used(self):
        """The bytes that requests have reserved, without those that wait."""
        return self.large_used + self.small_used

    @property
    def waiting(self):
        """The claims that wait, the first to come first, a tuple."""
        return tuple(self._waiting)

    @property
    def limit(self):
        """The most bytes that requests reserve, without those that wait."""
        return self._large_limit + self._small_limit

    def change_memory(self, memory_bytes):
        """Change the memory limit of the process.

        Args:
          memory_bytes: The limit in bytes.
        """
        self._large_limit = memory_bytes // _LARGE_FRACTION
        self._small_limit = memory_bytes // _SMALL_FRACTION
        self._waiting_limit = memory_bytes // _WAITING_FRACTION
        others = self._large_limit // _OTHERS_FRACTION
        self._owner_limit = self._large_limit - others

    def claim_small(self, claim, size):
        """Reserve memory for a small request.

        Args:
          claim: A MemoryClaim that is not large.
          size: The bytes of the request that are known of, an int.
        Returns:
          A Decision.
        """
        added = max(size - claim.size, 0)
        if self.used + added > self.limit:
            return Decision.REFUSED
        claim.size += added
        self.small_used += added
        return Decision.GRANTED

    def claim_large(self, claim, size, now_ms, *, may_wait=True):
        """Reserve memory for a large request, or let it wait.

        Args:
          claim: A MemoryClaim that is not large yet.
          size: All bytes of the request, an int, or the most that it can have.
          now_ms: The time in milliseconds.
          may_wait: Whether its caller can wait.
        Returns:
          A Decision.
        """
        if size > self._owner_limit:
            return Decision.TOO_LARGE
        self.small_used -= claim.size
        claim.is_large = True
        claim.size = size
        if not self._waiting and self._fits(claim):
            self._grant(claim, now_ms)
            return Decision.GRANTED
        if not may_wait or not self._may_wait(claim, now_ms):
            claim.size = 0
            return Decision.REFUSED
        self._waiting[claim] = None
        return Decision.WAITS

    def grant_waiting(self, now_ms):
        """Grant memory to requests that wait and fit now.

        Next is the caller that has the least memory, so that one with many
        requests does not delay the others.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          The MemoryClaims that no longer wait, a list.
        """
        granted = []
        while True:
            claim = self._find_next()
            if claim is None or not self._fits(claim):
                return granted
            self._waiting.pop(claim)
            self._grant(claim, now_ms)
            granted.append(claim)

    def shrink(self, claim, size):
        """Return memory that a complete request does not need.

        Args:
          claim: A MemoryClaim whose memory was granted.
          size: Its bytes, an int.
        """
        surplus = claim.size - size
        if surplus > 0 and claim in self._granted:
            claim.size = size
            self._add_large(claim, -surplus)

    def release(self, claim, now_ms):
        """Return the memory of a request that has ended.

        Args:
          claim: A MemoryClaim.
          now_ms: The time in milliseconds.
        """
        if claim in self._granted:
            self._granted.pop(claim)
            self._add_large(claim, -claim.size)
            if claim.is_complete:
                self._predictor.record(now_ms - claim.granted_ms)
        elif not claim.is_large:
            self.small_used -= claim.size
        self._waiting.pop(claim, None)
        claim.size = 0

    def list_hopeless(self, now_ms):
        """Return requests that wait and cannot be served in time.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A list of MemoryClaims.
        """
        hopeless = []
        ahead = 0
        for claim in self._waiting:
            if self._is_too_late(claim, ahead, now_ms):
                hopeless.append(claim)
            else:
                ahead += claim.size
        return hopeless

    def list_late(self, now_ms):
        """Return large requests that have not arrived at their deadline.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A list of MemoryClaims.
        """
        return [
            claim
            for claim in self._granted
            if not claim.is_complete and now_ms > claim.deadline_ms
        ]

    def find_stalled(self, now_ms):
        """Return the request to end so that others need not wait for it.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          The MemoryClaim of the largest request that is being read and makes no
          progress, or None if there is none or none waits.
        """
        if not self._waiting:
            return None
        return max(
            (claim for claim in self._granted if _is_stalled(claim, now_ms)),
            key=lambda claim: claim.size,
            default=None,
        )

    def predict_wait_ms(self, size, now_ms):
        """Predict when a request that comes now finds free memory.

        Args:
          size: The bytes that it needs.
          now_ms: The time in milliseconds.
        Returns:
          Milliseconds, or None if no request has ended yet.
        """
        ahead = sum(claim.size for claim in self._waiting)
        return self._predict_wait_ms(ahead + size, now_ms)

    def _may_wait(self, claim, now_ms):
        places = self._waiting_limit // WAITING_BYTES
        if len(self._waiting) >= places:
            return False
        ahead = sum(one.size for one in self._waiting)
        return not self._is_too_late(claim, ahead, now_ms)

    def _predict_wait_ms(self, needed, now_ms):
        """Predict when as many bytes as needed are free, None if unknown."""
        return self._predictor.predict_ms(
            self.large_used + needed - self._owner_limit,
            self._owner_limit,
            self._granted,
            now_ms,
        )

    def _is_too_late(self, claim, ahead, now_ms):
        """Tell whether a claim that waits cannot be served in time."""
        wait_ms = self._predict_wait_ms(ahead + claim.size, now_ms)
        return self._predictor.is_too_late(claim, wait_ms, now_ms)

    def _fits(self, claim):
        owned = self._used_by_owner[claim.owner] + claim.size
        return (
            owned <= self._owner_limit
            and self.large_used + claim.size <= self._large_limit
            and self.used + claim.size <= self.limit
        )

    def _find_next(self):
        """Return the claim to grant next, or None.

        A caller that has all that it may take does not hold up the others.
        """
        first_by_owner = {}
        for waiting in self._waiting:
            first_by_owner.setdefault(waiting.owner, waiting)
        candidates = [
            first
            for owner, first in first_by_owner.items()
            if self._used_by_owner[owner] + first.size <= self._owner_limit
        ]
        return min(
            candidates,
            key=lambda claim: self._used_by_owner[claim.owner],
            default=None,
        )

    def _grant(self, claim, now_ms):
        claim.granted_ms = now_ms
        claim.progress_ms = now_ms
        self._granted[claim] = None
        self._add_large(claim, claim.size)

    def _add_large(self, claim, size):
        self.large_used += size
        self._used_by_owner[claim.owner] += size
        if not self._used_by_owner[claim.owner]:
            self._used_by_owner.pop(claim.owner)


def _is_stalled(claim, now_ms):
    return not claim.is_complete and now_ms - claim.progress_ms >= _STALLED_MS
