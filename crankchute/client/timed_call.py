"""Base class of client calls: a deadline and a single result."""


class TimedCall:
    """A call that reports one result, no later than its deadline."""

    def __init__(self, client, options, on_result):
        """Create the call; start() submits it.

        Args:
          client: The client.
          options: CallOptions.
          on_result: A function of a CallResult, called once.
        """
        self._client = client
        self._options = options
        self._on_result = on_result
        self._started_ms = client.now_ms()
        self._attempt_count = 0
        self._deadline_timer = None

    @property
    def is_finished(self):
        """Whether the result was reported."""
        return self._on_result is None

    def elapsed_ms(self):
        """Return the milliseconds since the call was created."""
        return self._client.now_ms() - self._started_ms

    def remaining_ms(self):
        """Return the milliseconds until the deadline."""
        return self._options.deadline_ms - self.elapsed_ms()

    def start_deadline_timer(self, on_deadline):
        """Run a callback at the deadline unless the call has finished.

        Args:
          on_deadline: A function without arguments.
        """
        self._deadline_timer = self._client.timers.after(
            self._options.deadline_ms,
            on_deadline,
        )

    def finish(self, call_result):
        """Report the result; later results are ignored.

        Args:
          call_result: A CallResult.
        """
        if self.is_finished:
            return
        on_result = self._on_result
        self._on_result = None
        self._deadline_timer.cancel()
        call_result.attempts = self._attempt_count
        call_result.total_ms = self.elapsed_ms()
        on_result(call_result)
