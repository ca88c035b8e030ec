"""Default implementations of the callbacks that flows and attempts use."""

#: Retry hint after a rejection, in milliseconds: about the time that the oldest
#: request of a full server still takes.
DEFAULT_RETRY_AFTER_MS = 300


class AttemptContext:
    """Base class of the context of flows and attempts.

    The hooks do nothing unless a subclass overrides them.
    """

    def choose_retry_after_ms(self, _job):
        """Return the retry hint for the caller of a job that did not run.

        Args:
          _job: A ForwardJob.
        Returns:
          Milliseconds.
        """
        return DEFAULT_RETRY_AFTER_MS

    def overdue_at_ms(self, flow, attempt):
        """Return when an attempt without an event counts as overdue.

        Args:
          flow: A ForwardFlow.
          attempt: The Attempt.
        """
        return flow.job.deadline_ms

    def record_load(self, flow, attempt, load):
        """Record the ReportedLoad that a server reported with its answer."""

    def record_attempt_end(self, flow, attempt, cause):
        """Record the end of an attempt and its cause."""

    def record_failed(self, flow, attempt, exc):
        """Record an attempt that ended with a BackendError."""
        self.record_attempt_end(flow, attempt, str(exc))

    def record_freed(self, flow, placement):
        """Record that a placement no longer uses its servers."""

    def record_left(self, flow, attempt):
        """Record that a job that was sent is no longer at its server."""
