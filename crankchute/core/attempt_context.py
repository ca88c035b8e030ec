"""Default implementations of the callbacks that flows and attempts use."""

from crankchute.core.server_paths import AlwaysReached

#: Retry hint after a rejection, in milliseconds: about the time that the oldest
#: request of a full server still takes.
DEFAULT_RETRY_AFTER_MS = 300


class AttemptContext:
    """Base class of the context of flows and attempts.

    The hooks do nothing unless a subclass overrides them.

    Attributes:
      paths: The ServerPaths.
    """

    paths = AlwaysReached()

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

    def handle_silence(self, flow, attempt):
        """Decide what becomes of an attempt whose server fell silent.

        Args:
          flow: A ForwardFlow.
          attempt: The Attempt.
        """
        attempt.fail_stalled()

    def record_load(self, flow, attempt, load):
        """Record the ReportedLoad that a server reported with its answer."""

    def record_attempt_end(self, flow, attempt, cause):
        """Record the end of an attempt and its cause."""

    def record_failed(self, flow, attempt, exc):
        """Record an attempt that ended with a BackendError.

        Args:
          flow: A ForwardFlow.
          attempt: The Attempt.
          exc: The BackendError.
        """
        self.record_attempt_end(flow, attempt, str(exc))
        if attempt.placement.is_relayed:
            if attempt.placement.server is None:
                self.paths.drop_proxy(attempt.backend.identity)
        else:
            self.paths.suspect(attempt.backend)

    def record_late(self, flow, attempt):
        """Record that the first event of an attempt is late."""
        if not attempt.placement.is_relayed:
            self.paths.suspect(attempt.backend)

    def record_freed(self, flow, placement):
        """Record that a placement no longer uses its servers."""

    def record_left(self, flow, attempt):
        """Record that a job that was sent is no longer at its server."""
