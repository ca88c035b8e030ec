"""Load that a backend server told of itself, joined with what is known.

An instance knows what it sent and what others told it; a server knows all that
it has, some time ago.  Requests that it has and nobody told of were sent by
instances that ended without a word or cannot be heard.  They end in time, like
all others, and nobody will tell when.
"""


class SeenLoad:
    """What a server told of itself.

    Attributes:
      requests: How many requests it had, running or waiting, an int.
      age_ms: How long ago that was, in milliseconds.
      born: When it says that it started, a Unix millisecond, or None.
    """

    __slots__ = ('age_ms', 'born', 'requests')

    def __init__(self, requests, born=None):
        """Create the record of what a server has now.

        Args:
          requests: An int.
          born: See the class.
        """
        self.requests = requests
        self.age_ms = 0
        self.born = born


#: What a server told this long ago is no longer compared with what it tells.
_RECENT_MS = 2000


class UnknownLoad:
    """The requests at one server that nobody told of.

    News of a request are on the way for some milliseconds, and a server counts
    one that ended for as long as its pass lasts.  So of two times that a server
    told its load shortly after one another the lower excess counts.
    """

    __slots__ = ('_excess', '_requests', '_since_ms')

    def __init__(self):
        """Create the record of a server that never told its load."""
        self._excess = 0
        self._requests = 0
        self._since_ms = float('-inf')

    def note(self, load, known, now_ms):
        """Take what the server told.

        Args:
          load: A SeenLoad.
          known: How many requests were known there at that time.
          now_ms: The time.
        """
        excess = max(load.requests - known, 0)
        told_ms = now_ms - load.age_ms
        is_recent = told_ms - self._since_ms < _RECENT_MS
        self._requests = min(excess, self._excess) if is_recent else excess
        self._excess = excess
        self._since_ms = told_ms

    def estimate(self, now_ms, usual_ms):
        """Return how many of them are still there.

        What is met at some moment of its life has on average half of it left,
        and is gone after all of it.

        Args:
          now_ms: The time.
          usual_ms: How long a usual request is at the server.
        Returns:
          A float.
        """
        if not self._requests:
            return 0
        left = 1 - (now_ms - self._since_ms) / usual_ms
        return self._requests * max(left, 0)
