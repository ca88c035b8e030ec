"""What the core counts; an adapter says where it goes."""


class Metrics:
    """Counters and observations; this one keeps plain counts.

    Attributes:
      counts: A map from name, or pair of name and label, to an int.
      first_tokens: Pairs of prompt tokens and milliseconds to first token.
      errors: Pairs of prompt tokens and by how many milliseconds a first
        event came later than predicted.
    """

    def __init__(self):
        """Create with nothing counted."""
        self.counts = {}
        self.first_tokens = []
        self.errors = []

    def count(self, name, label=None, amount=1):
        """Count something.

        Args:
          name: The counter's name.
          label: The value of its one label, or None.
          amount: How much to add.
        """
        key = name if label is None else (name, label)
        self.counts[key] = self.counts.get(key, 0) + amount

    def observe_first_token(self, job, waited_ms):
        """Note the time to first token of a request.

        Args:
          job: The Job.
          waited_ms: Milliseconds from its arrival.
        """
        self.first_tokens.append((job.tokens, waited_ms))

    def observe_prediction(self, tokens, error_ms):
        """Note how far the prediction of a first event was off.

        Args:
          tokens: The length of the prompt.
          error_ms: Seen less predicted, in milliseconds.
        """
        self.errors.append((tokens, error_ms))

    def observe_request(self, pool, waited_ms):
        """Note how long a forwarded request took to its end.

        Args:
          pool: The pool's name.
          waited_ms: Milliseconds from its arrival.
        """
