"""Shared parts of the virtual-time simulations of backend servers."""

from crankchute.core.choosers import LEAST_BUSY, choosers
from crankchute.core.crash_history import CrashHistory
from crankchute.core.forward_fakes import POOL, FakeJournal, FakeSink
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.metrics import Metrics

_RETRIES = RetryLimits(ratio=0.2, slack=100, window_ms=10_000)


class SentCall:
    """A sent request; simulated callers never cancel."""

    sent = True

    def cancel(self):
        """Do nothing."""


class EndSink(FakeSink):
    """Passes the outcome to a callback: a Refusal, or None after an answer."""

    def __init__(self, on_end):
        """Create the sink.

        Args:
          on_end: A function called with a Refusal or None.
        """
        super().__init__()
        self._on_end = on_end

    def on_answer(self, head, body):
        """See AnswerSink."""
        self._on_end(None)

    def on_refused(self, refusal):
        """See AnswerSink."""
        self._on_end(refusal)


def make_plain_desk(port, parts, hints, history=None):
    """Return the Forwarder of an instance with a single pool.

    Args:
      port: A ForwardPort.
      parts: The ChooserParts of the pool.
      hints: The RetryHints for rejected callers.
      history: A CrashHistory, or None to create an empty one.
    """
    timers = parts.timers
    if history is None:
        history = CrashHistory(timers.clock.now_ms)
    ports = ForwarderPorts(
        forward=port,
        timers=timers,
        metrics=Metrics(),
        journal=FakeJournal(),
        reservations=None,
        hints=hints,
        crashes=history,
        record_moved=None,
        find_chooser={POOL: choosers[LEAST_BUSY](parts)}.get,
    )
    return Forwarder(ports, _RETRIES)
