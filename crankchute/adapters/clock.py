"""Process clocks that keep counting while the machine is suspended."""

import time

from crankchute.ports.time import Clock

_MS_PER_SECOND = 1000


class ProcessClock(Clock):
    """Elapsed time: the larger of the wall clock's and the boot-time clock's.

    The wall clock may be set back, and the boot-time clock may miss the time
    for which a virtual machine was paused.  Taking the larger value makes
    deadlines expire early rather than late.
    """

    def __init__(self):
        """Start the clock at zero."""
        self._wall_start = time.time()
        self._boot_time_start = _read_boot_time_s()
        self._latest_ms = float(0)

    def now_ms(self):
        """See Clock."""
        elapsed_s = max(
            time.time() - self._wall_start,
            _read_boot_time_s() - self._boot_time_start,
        )
        self._latest_ms = max(self._latest_ms, elapsed_s * _MS_PER_SECOND)
        return self._latest_ms


class SteadyClock(Clock):
    """Elapsed time of the boot-time clock alone.

    For machines whose wall clock jumps: a forward jump would expire every
    deadline, and cannot be told from a suspension.
    """

    def __init__(self):
        """Start the clock at zero."""
        self._start = _read_boot_time_s()

    def now_ms(self):
        """See Clock."""
        return (_read_boot_time_s() - self._start) * _MS_PER_SECOND


def _read_boot_time_s():
    """Return the seconds since boot, including suspended time.

    time.monotonic() excludes suspended time, so a resumed instance would treat
    its configuration as newer than it is and accept revoked keys.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
