"""Interfaces for time: a clock and a timer service."""

import abc


class Clock(abc.ABC):
    """A monotonic clock that includes the time a process was suspended."""

    @abc.abstractmethod
    def now_ms(self):
        """Return the milliseconds since the clock was created, a float."""


class Subscription:
    """A scheduled callback that can be cancelled."""

    __slots__ = ('_callback',)

    def __init__(self, callback):
        """Wrap a callback.

        Args:
          callback: A function without arguments.
        """
        self._callback = callback

    def cancel(self):
        """Drop the callback; a later run does nothing."""
        self._callback = None

    def run(self):
        """Run the callback once, unless it was cancelled."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class PeriodicTimer:
    """Runs a callback periodically until it is cancelled."""

    __slots__ = ('_callback', '_interval_ms', '_pending', '_timers')

    def __init__(self, timers, interval_ms, callback):
        """Start the timer.

        Args:
          timers: The TimerService.
          interval_ms: The period in milliseconds.
          callback: A function without arguments.
        """
        self._timers = timers
        self._interval_ms = interval_ms
        self._callback = callback
        self._pending = timers.after(interval_ms, self._run)

    def cancel(self):
        """Stop the timer."""
        self._pending.cancel()
        self._callback = None

    def _run(self):
        if self._callback is None:
            return
        self._pending = self._timers.after(self._interval_ms, self._run)
        self._callback()


class TimerService(abc.ABC):
    """Schedules callbacks on the thread of the event loop."""

    @property
    @abc.abstractmethod
    def clock(self):
        """The Clock of the timers."""

    @abc.abstractmethod
    def after(self, delay_ms, callback):
        """Run a callback once, after a delay.

        Args:
          delay_ms: The delay in milliseconds.
          callback: A function without arguments.
        Returns:
          A Subscription that can be cancelled.
        """

    def every(self, interval_ms, callback):
        """Run a callback periodically, first after one interval.

        Args:
          interval_ms: The period in milliseconds.
          callback: A function without arguments.
        Returns:
          A PeriodicTimer that can be cancelled.
        """
        return PeriodicTimer(self, interval_ms, callback)
