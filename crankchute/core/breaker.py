"""Circuit breaker for one backend server.

An open breaker rejects requests until its pause is over, then lets a single
trial request through (half-open).  If the trial succeeds the breaker closes;
if it fails the pause doubles, up to a limit.
"""

_FAILURES_TO_OPEN = 3
_INITIAL_PAUSE_MS = 500
_MAX_PAUSE_MS = 8000


class Breaker:
    """The circuit breaker of one backend server.

    Attributes:
      heard_ms: When the server last sent anything in answer to a request of
        this instance, or None.
    """

    __slots__ = (
        '_failures',
        '_has_trial',
        '_pause_ms',
        '_retry_at_ms',
        'heard_ms',
    )

    def __init__(self):
        """Create a closed breaker."""
        self._failures = 0
        self._pause_ms = _INITIAL_PAUSE_MS
        self._retry_at_ms = None
        self._has_trial = False
        self.heard_ms = None

    @property
    def is_open(self):
        """Whether only trial requests may be sent."""
        return self._retry_at_ms is not None

    def allows(self, now_ms):
        """Return whether a request may be sent.

        Args:
          now_ms: The time in milliseconds.
        """
        if self._retry_at_ms is None:
            return True
        return not self._has_trial and now_ms >= self._retry_at_ms

    def record_start(self):
        """Record that a request was sent; it is a trial if the breaker is open."""
        self._has_trial = self.is_open

    def record_heard(self, now_ms):
        """Record that the server sent something; it may not be a success.

        Args:
          now_ms: The time in milliseconds.
        """
        self.heard_ms = now_ms

    def record_success(self):
        """Close the breaker: the server answered."""
        self._failures = 0
        self._pause_ms = _INITIAL_PAUSE_MS
        self._retry_at_ms = None
        self._has_trial = False

    def record_abandoned(self):
        """Record that a request ended without a verdict on the server."""
        self._has_trial = False

    def trip(self, now_ms):
        """Open the breaker at once, because the server's process has exited.

        Args:
          now_ms: The time in milliseconds.
        """
        self._has_trial = False
        self._retry_at_ms = now_ms + self._pause_ms

    def record_failure(self, now_ms):
        """Record a failed request.

        Args:
          now_ms: The time in milliseconds.
        """
        self._failures += 1
        was_trial = self._has_trial
        self._has_trial = False
        if was_trial:
            self._pause_ms = min(self._pause_ms * 2, _MAX_PAUSE_MS)
        if was_trial or self._failures >= _FAILURES_TO_OPEN:
            self._retry_at_ms = now_ms + self._pause_ms
