"""Interface for metrics, with an in-memory implementation."""


class Metrics:
    """Counters and observations, kept in memory; adapters export them.

    Attributes:
      counts: A map from name, or from pair of name and label, to an int.
      first_token_times: Pairs of prompt length in tokens and time to first
        token in milliseconds.
      prediction_errors: Pairs of prompt length in tokens and observed minus
        predicted time to first event in milliseconds.
    """

    def __init__(self):
        """Create empty metrics."""
        self.counts = {}
        self.first_token_times = []
        self.prediction_errors = []

    def count(self, name, label=None, amount=1):
        """Increase a counter.

        Args:
          name: The counter's name.
          label: The value of the counter's label, or None.
          amount: The increment, an int.
        """
        key = name if label is None else (name, label)
        self.counts[key] = self.counts.get(key, 0) + amount

    def observe_first_token(self, job, waited_ms):
        """Record the time to first token of a request.

        Args:
          job: The Job.
          waited_ms: Milliseconds since the arrival of the request.
        """
        self.first_token_times.append((job.tokens, waited_ms))

    def observe_prediction(self, tokens, error_ms):
        """Record the error of a predicted time to first event.

        Args:
          tokens: The length of the prompt in tokens.
          error_ms: Observed minus predicted time, in milliseconds.
        """
        self.prediction_errors.append((tokens, error_ms))

    def observe_request(self, pool, waited_ms):
        """Record the duration of a forwarded request.

        Args:
          pool: The pool's name.
          waited_ms: Milliseconds since the arrival of the request.
        """
