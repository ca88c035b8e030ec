"""What all calls of the client library share: a deadline, and one end."""


class TimedCall:
    """A call that ends once, at its deadline at the latest."""

    def __init__(self, parts, options, on_end):
        """Create the call; start() submits it.

        Args:
          parts: The Caller.
          options: CallOptions.
          on_end: A function of a CallResult, called once.
        """
        self._parts = parts
        self._options = options
        self._on_end = on_end
        self._started_ms = parts.now_ms()
        self._tries = 0
        self._deadline = None

    @property
    def is_over(self):
        """Whether the end was told."""
        return self._on_end is None

    def elapsed_ms(self):
        """Return the milliseconds since the call was made."""
        return self._parts.now_ms() - self._started_ms

    def remaining_ms(self):
        """Return the milliseconds that the call still has."""
        return self._options.deadline_ms - self.elapsed_ms()

    def watch_deadline(self, on_deadline):
        """Call a function at the deadline unless the call is over.

        Args:
          on_deadline: A function without arguments.
        """
        self._deadline = self._parts.timers.after(
            self._options.deadline_ms,
            on_deadline,
        )

    def finish(self, end):
        """Tell the end, once.

        Args:
          end: A CallResult.
        """
        if self.is_over:
            return
        on_end = self._on_end
        self._on_end = None
        self._deadline.cancel()
        end.tries = self._tries
        end.total_ms = self.elapsed_ms()
        on_end(end)
