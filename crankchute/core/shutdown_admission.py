"""Decides which requests an instance accepts while it shuts down.

Requests in progress end with the process at the latest.  A request that cannot
be expected to end earlier is refused at once, so that its caller can submit it
to another instance.
"""

from crankchute.core.outcomes import refuse_not_run
from crankchute.core.recent_durations import RecentDurations

#: Refusal code: this instance ends too soon, but others may serve the request.
STOPPING = 'stopping'
#: Some callers keep an address response for three times its time to live.
_ADDRESS_TTL_FACTOR = 3
#: The part of the grace period that remains after the last requests are ended,
#: and its longest value in milliseconds.
_DELIVERY_SHARE = 0.1
_MAX_DELIVERY_MS = 800
#: The part of that time during which the process may wait for callers to read.
_UNSENT_SHARE = 0.6
#: How late the system may deliver a signal to a process that is running.
_SIGNAL_DELAY_MS = 100
#: The largest part of the grace period by which requests are ended earlier
#: because the signal may have been sent before it was noticed.
_MAX_UNNOTICED_SHARE = 0.05
#: A request may take longer than the longest of the recent ones.
_MARGIN_FACTOR = 1.5
_MARGIN_MS = 200


class ShutdownSchedule:
    """The stages of a shutdown, times on this process's clock.

    The platform counts from when it sent the signal, which the process cannot
    see.  So each stage uses the end of the possible time that is safe there.

    Attributes:
      started_ms: When the process noticed the signal.
      unnoticed_ms: For how long at most the signal was not noticed.
      unaware_ms: Until when callers may be unaware that they should use other
        instances.
      known_ms: Since when all callers know it.
      end_ms: When requests still in progress are ended.
      exit_ms: When the process ends even if callers have not read everything.
    """

    __slots__ = (
        'end_ms',
        'exit_ms',
        'known_ms',
        'started_ms',
        'unaware_ms',
        'unnoticed_ms',
    )

    def __init__(
        self, started_ms, grace_ms, address_ttl_ms, sent_after_ms=None
    ):
        """Compute the stages.

        Args:
          started_ms: See the class.
          grace_ms: The milliseconds after which the process is killed.
          address_ttl_ms: How long callers may cache an address response.
          sent_after_ms: A time at which the signal had not been sent yet, or
            None if it was noticed at once.
        """
        if sent_after_ms is None:
            self.unnoticed_ms = 0
        else:
            self.unnoticed_ms = started_ms - sent_after_ms + _SIGNAL_DELAY_MS
        delivery_ms = min(grace_ms * _DELIVERY_SHARE, _MAX_DELIVERY_MS)
        self.started_ms = started_ms
        earlier_ms = min(self.unnoticed_ms, grace_ms * _MAX_UNNOTICED_SHARE)
        self.end_ms = started_ms - earlier_ms + grace_ms - delivery_ms
        self.exit_ms = self.end_ms + delivery_ms * _UNSENT_SHARE
        known_ms = started_ms + address_ttl_ms * _ADDRESS_TTL_FACTOR
        self.known_ms = min(known_ms, self.end_ms)
        self.unaware_ms = self.known_ms - self.unnoticed_ms


class ShutdownAdmission:
    """Accepts or refuses the requests that arrive during a shutdown.

    Attributes:
      schedule: The ShutdownSchedule, or None before the shutdown.
      is_closed: Whether no request is accepted any more, a bool.
    """

    def __init__(self, forwarder, hints):
        """Create the decision for an instance that is not shutting down.

        Args:
          forwarder: The Forwarder.
          hints: RetryHints.
        """
        self._forwarder = forwarder
        self._hints = hints
        self._durations = RecentDurations()
        self.schedule = None
        self.is_closed = False

    def record_answered(self, job, took_ms):
        """Record how long a request took; see RecentDurations."""
        self._durations.record(job, took_ms)

    def find_refusal(self, flow):
        """Return why a request is not sent because of a shutdown, and log it.

        Args:
          flow: A ForwardFlow.
        Returns:
          A Refusal, or None if it may be sent.
        """
        if self.schedule is None or flow.may_have_run or _is_sent(flow):
            return None
        job = flow.job
        now_ms = flow.now_ms()
        left_ms = self.schedule.end_ms - now_ms
        needed_ms = self._estimate_ms(job, now_ms)
        if not self.is_closed and needed_ms <= left_ms:
            return None
        # Other instances can serve the request at once.
        hint_ms = self._hints.choose_ms(job.remaining_ms(now_ms), 0)
        refusal = refuse_not_run(
            STOPPING, 'this instance is shutting down', hint_ms
        )
        refusal.inputs = {
            'after_ms': now_ms - self.schedule.started_ms,
            'left_ms': left_ms,
            'needed_ms': needed_ms,
        }
        self._forwarder.journal.log_not_admitted(job, refusal)
        return refusal

    def _estimate_ms(self, job, now_ms):
        """Return for how long a request may be in progress."""
        remaining_ms = job.remaining_ms(now_ms)
        if job.arrived_ms <= self.schedule.unaware_ms:
            return min(remaining_ms, self._durations.usual_ms(job))
        if job.is_stream:
            # A stream that has begun cannot end with a status.
            return remaining_ms
        longest_ms = self._durations.longest_ms(job, self._forwarder.flows)
        return min(remaining_ms, longest_ms * _MARGIN_FACTOR + _MARGIN_MS)


def _is_sent(flow):
    """Return whether an attempt of a request has reached its server."""
    return flow.attempt is not None and flow.attempt.sent_ms is not None
