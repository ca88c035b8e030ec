"""The clock of a process, which also counts time spent paused or asleep."""

import time

from crankchute.ports.time import Clock

_MS_PER_SECOND = 1000


class ProcessClock(Clock):
    """Elapsed time by the larger of the wall and the monotonic clock.

    A monotonic clock may stand still while a machine sleeps, and a wall clock
    may be set back.  The larger of the two elapsed times makes deadlines end
    early rather than late.
    """

    def __init__(self):
        """Start the clock at zero."""
        self._wall_start = time.time()
        self._mono_start = time.monotonic()
        self._latest_ms = float(0)

    def now_ms(self):
        """See Clock."""
        elapsed = max(
            time.time() - self._wall_start,
            time.monotonic() - self._mono_start,
        )
        self._latest_ms = max(self._latest_ms, elapsed * _MS_PER_SECOND)
        return self._latest_ms


class SteadyClock(Clock):
    """Elapsed time by the steady clock alone.

    It suits machines whose time of day jumps: a jump would end every deadline
    early, and it could not be told from time spent asleep.
    """

    def __init__(self):
        """Start the clock at zero."""
        self._start = time.monotonic()

    def now_ms(self):
        """See Clock."""
        return (time.monotonic() - self._start) * _MS_PER_SECOND
