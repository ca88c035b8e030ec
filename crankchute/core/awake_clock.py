"""The time for which this process has run, without its own pauses.

A process that was suspended, or had no CPU, has read none of the messages that
arrived meanwhile.  It must not take its own pause for the silence of others.
"""

from crankchute.ports.time import Clock

#: Reading the clock at least this often makes it exact while the process runs.
MAX_STEP_MS = 300


class AwakeClock(Clock):
    """A clock that advances by a bounded step between two readings."""

    def __init__(self, clock):
        """Start at zero.

        Args:
          clock: A Clock that includes pauses.
        """
        self._clock = clock
        self._read_ms = clock.now_ms()
        self._awake_ms = float(0)

    def now_ms(self):
        """See Clock."""
        now_ms = self._clock.now_ms()
        self._awake_ms += min(now_ms - self._read_ms, MAX_STEP_MS)
        self._read_ms = now_ms
        return self._awake_ms
