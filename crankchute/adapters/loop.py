"""The event loop of a process, with its poller, clock and timers."""

import signal
from threading import current_thread
from traceback import format_tb
from types import TracebackType

from circuits import BaseComponent, Event, handler

from crankchute.adapters import error_log  # noqa: F401  (registers it)
from crankchute.adapters.log import log_change
from crankchute.adapters.clock import ProcessClock
from crankchute.adapters.poller import IndexedPoller
from crankchute.adapters.timers import LoopTimers


_TICK_S = 0.05


class posted(Event):  # noqa: N801  (event classes of circuits are lower case)
    """A function call that a thread requests from the loop."""


class Loop(BaseComponent):
    """The root component of a process.

    Attributes:
      clock: The ProcessClock.
      timers: The TimerService.
    """

    channel = 'loop'

    def __init__(self, clock=None):
        """Create the loop with a poller and a timer service.

        Args:
          clock: A Clock; a ProcessClock if None.
        """
        super().__init__()
        self.clock = ProcessClock() if clock is None else clock
        IndexedPoller().register(self)
        self.timers = LoopTimers(self.clock).register(self)
        self._signal_callbacks = {}
        self._signal_sent_after_ms = None

    def post(self, function, *args):
        """Call a function on the loop's thread; safe from any thread.

        Args:
          function: The function.
          args: Its arguments.
        """
        self.fire(posted(function, args), self.channel)

    def on_signal(self, signo, callback):
        """Call a function on a termination signal.

        circuits installs the handlers of both signals when it runs.

        Args:
          signo: SIGTERM or SIGINT.
          callback: A function without arguments.
        """
        self._signal_callbacks[signo] = callback

    def on_stop_signal(self, stop):
        """Call a function on SIGTERM and SIGINT.

        Args:
          stop: A function of a time, on this process's clock, at which the
            signal had not been sent yet.
        """

        def on_signal():
            stop(self._signal_sent_after_ms)

        self.on_signal(signal.SIGTERM, on_signal)
        self.on_signal(signal.SIGINT, on_signal)

    def run_until(self, is_done, tick_s=_TICK_S):
        """Run the loop until a condition holds.

        Args:
          is_done: A function without arguments that returns a bool.
          tick_s: The longest wait between two checks, in seconds.
        """
        self._running = True
        self._executing_thread = current_thread()
        while not is_done():
            self.tick(tick_s)
        self._executing_thread = None

    def _signal_handler(self, signo, stack):
        """Record the time first: the event may wait behind many others."""
        self._signal_sent_after_ms = self.timers.checked_ms
        super()._signal_handler(signo, stack)

    @handler('exception', channel='*')
    def _on_exception(self, error_type, error, stack, **_details):
        log_change(
            'internal_error',
            error=f'{error_type.__name__}: {error}',
            stack=format_tb(stack)
            if isinstance(stack, TracebackType)
            else stack,
        )

    @handler('posted')
    def _on_posted(self, function, args):
        function(*args)

    @handler('signal', channel='*', priority=100)
    def _on_signal(self, event, signo, _stack):
        callback = self._signal_callbacks.get(signo)
        if callback is not None:
            event.stop()
            callback()
