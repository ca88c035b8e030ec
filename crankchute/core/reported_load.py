"""Load reports of backend servers, compared with the requests known there.

An instance knows the requests that it sent and those that other instances
reported; a server's report counts all its requests, with a delay.  Requests in
a report that no instance accounts for were sent by instances that crashed or
cannot be reached.  Nobody will report their end, so their number is estimated
to fall over the duration of a usual request.
"""


class ReportedLoad:
    """A server's report of its load.

    Attributes:
      requests: The number of its requests, running or waiting.
      age_ms: The age of the report, in milliseconds.
      born: The start time in the report, in Unix milliseconds, or None.
    """

    __slots__ = ('age_ms', 'born', 'requests')

    def __init__(self, requests, born=None):
        """Create a report of age 0; see the class."""
        self.requests = requests
        self.age_ms = 0
        self.born = born


#: Reports further apart than this are not compared.
_MAX_INTERVAL_MS = 2000


class UnattributedLoad:
    """The requests at one server that no instance accounts for.

    A single report may count too many: other instances' messages about new
    requests arrive late, and a server counts a request that ended until its
    current pass is over.  So the smaller excess of two successive reports counts.
    """

    __slots__ = ('_at_ms', '_excess', '_requests')

    def __init__(self):
        """Create the record of a server that has sent no report."""
        self._excess = 0
        self._requests = 0
        self._at_ms = float('-inf')

    def record(self, load, known, now_ms):
        """Record a report.

        Args:
          load: A ReportedLoad.
          known: How many requests were known there at the time of the report.
          now_ms: The time.
        """
        excess = max(load.requests - known, 0)
        at_ms = now_ms - load.age_ms
        is_recent = at_ms - self._at_ms < _MAX_INTERVAL_MS
        self._requests = min(excess, self._excess) if is_recent else excess
        self._excess = excess
        self._at_ms = at_ms

    def estimate(self, now_ms, usual_ms):
        """Estimate how many of the requests are still there, a float.

        Their number falls linearly to zero over the usual duration: a request
        met at a random moment has on average half of its duration left.

        Args:
          now_ms: The time.
          usual_ms: The usual duration of a request at the server.
        """
        if not self._requests:
            return 0
        left = 1 - (now_ms - self._at_ms) / usual_ms
        return self._requests * max(left, 0)
