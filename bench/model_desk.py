"""What the models of ways to deal with servers have in common."""

from crankchute.core.choosers import LEAST_BUSY, choosers
from crankchute.core.crash_history import CrashHistory
from crankchute.core.forward_fakes import POOL, FakeJournal, FakeSink
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.metrics import Metrics

_RETRIES = RetryLimits(ratio=0.2, slack=100, window_ms=10_000)


class SentCall:
    """A request on its way; callers of the models wait for their answers."""

    sent = True

    def cancel(self):
        """Give it up."""


class EndSink(FakeSink):
    """Hands the end on: a refusal, or None after an answer."""

    def __init__(self, on_end):
        """Create the sink.

        Args:
          on_end: A function of a Refusal or None.
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
    """Return the Forwarder of an instance with one pool of plain servers.

    Args:
      port: A ForwardPort.
      parts: The ChooserParts of the pool.
      hints: The RetryHints of callers that some server turned away.
      history: A CrashHistory, or None for one that nobody tells anything.
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
