"""What an attempt tells the desk that made it, where a desk need not care."""

#: When to come back after a server took nothing, in milliseconds: about what
#: the oldest of its requests still takes.
DEFAULT_RETRY_AFTER_MS = 300


class AttemptContext:
    """A desk of attempts; its defaults take what nobody asks for."""

    def choose_retry_after_ms(self, _job):
        """Return when the caller of a job that did not run may come back.

        Args:
          _job: A ForwardJob.
        Returns:
          Milliseconds.
        """
        return DEFAULT_RETRY_AFTER_MS

    def overdue_at_ms(self, flow, attempt):
        """Return when an attempt without any answer is a sign of a fault.

        Args:
          flow: A ForwardFlow.
          attempt: The Attempt.
        """
        return flow.job.deadline_ms

    def note_load(self, flow, attempt, load):
        """Note the SeenLoad that a server told with its answer."""

    def note_attempt_end(self, flow, attempt, cause):
        """Note how an attempt ended, by its cause."""

    def note_freed(self, flow, placement):
        """Note that a job is no longer where it was placed."""

    def note_left(self, flow, attempt):
        """Note that a job that was sent is no longer at its server."""
