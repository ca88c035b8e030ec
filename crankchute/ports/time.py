"""What the core needs to know of time: a clock and a timer service."""

import abc


class Clock(abc.ABC):
    """Time that never goes back and counts the time a process was paused."""

    @abc.abstractmethod
    def now_ms(self):
        """Return the milliseconds since this clock was made, as a float."""


class Subscription:
    """A callback that waits for its time; it can be cancelled once."""

    __slots__ = ('_callback',)

    def __init__(self, callback):
        """Wrap a callback.

        Args:
          callback: A function without arguments.
        """
        self._callback = callback

    def cancel(self):
        """Forget the callback; a later run does nothing."""
        self._callback = None

    def run(self):
        """Run the callback unless it was cancelled, and forget it."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class Repetition:
    """A callback that runs at an interval until it is cancelled."""

    __slots__ = ('_callback', '_interval_ms', '_pending', '_timers')

    def __init__(self, timers, interval_ms, callback):
        """Start repeating.

        Args:
          timers: The TimerService to wait on.
          interval_ms: Milliseconds between two runs.
          callback: A function without arguments.
        """
        self._timers = timers
        self._interval_ms = interval_ms
        self._callback = callback
        self._pending = timers.after(interval_ms, self._tick)

    def cancel(self):
        """Stop repeating."""
        self._pending.cancel()
        self._callback = None

    def _tick(self):
        if self._callback is None:
            return
        self._pending = self._timers.after(self._interval_ms, self._tick)
        self._callback()


class TimerService(abc.ABC):
    """Runs callbacks later, on the thread of the loop."""

    @property
    @abc.abstractmethod
    def clock(self):
        """The Clock that the service goes by."""

    @abc.abstractmethod
    def after(self, delay_ms, callback):
        """Run a callback once.

        Args:
          delay_ms: Milliseconds from now.
          callback: A function without arguments.
        Returns:
          A Subscription that can be cancelled.
        """

    def every(self, interval_ms, callback):
        """Run a callback at an interval, the first time after one interval.

        Args:
          interval_ms: Milliseconds between two runs.
          callback: A function without arguments.
        Returns:
          A Repetition that can be cancelled.
        """
        return Repetition(self, interval_ms, callback)
