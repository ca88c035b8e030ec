"""Completion requests and the length bands of their prompts."""

#: Prompts with more tokens count as long.
LONG_PROMPT_TOKENS = 32_000
_LENGTH_BANDS = (
    ('1-4k', 4_000),
    ('4-32k', 32_000),
    ('32-100k', 100_000),
    ('100k-1M', None),
)


class Job:
    """A validated request for a completion.

    Attributes:
      request_id: A string, unique in the process.
      fingerprint: An int hash of client account, model and prompt, equal for
        all submissions of the same request.
      part_fingerprints: Hashes of beginnings of the prompt that other requests
        may share, a tuple of ints.
      account: The client account's name.
      workload: The workload class's name.
      model: The model's name.
      prompt: Bytes.
      tokens: The prompt length in tokens, estimated from its bytes.
      max_tokens: The number of tokens to generate.
      arrived_ms: The arrival time on this process's clock.
      deadline_ms: The deadline on this process's clock.
      priority: From 0 (highest) to 9, set by the workload class.
      pools: A tuple of the names of the pools that may serve the request.
    """

    __slots__ = (
        'account',
        'arrived_ms',
        'deadline_ms',
        'fingerprint',
        'max_tokens',
        'model',
        'part_fingerprints',
        'pools',
        'priority',
        'prompt',
        'request_id',
        'tokens',
        'workload',
    )

    def __init__(self, **fields):
        """Create a job.

        Args:
          fields: The value of each attribute; `part_fingerprints` is optional.
        """
        fields = {'part_fingerprints': (), **fields}
        for name in self.__slots__:
            setattr(self, name, fields[name])

    #: Every completion may be resumed on another engine after the last token
    #: that its caller received, within the retry budget.
    is_stream = True
    may_retry = True
    relay = None
    resume_after = 0

    @property
    def pool(self):
        """The name under which answers and crashes are recorded together."""
        return self.model

    @property
    def is_long(self):
        """Whether the prompt is longer than LONG_PROMPT_TOKENS."""
        return self.tokens > LONG_PROMPT_TOKENS

    @property
    def engine_priority(self):
        """The priority at the engine: by class, then shorter prompts first."""
        band = length_bands().index(length_band(self.tokens))
        return self.priority * len(_LENGTH_BANDS) + band

    def remaining_ms(self, now_ms):
        """Return the milliseconds until the deadline.

        Args:
          now_ms: The current time on this process's clock.
        """
        return self.deadline_ms - now_ms


def length_band(tokens):
    """Return the name of the length band of a prompt.

    Args:
      tokens: The prompt length in tokens.
    Returns:
      A string such as "4-32k".
    """
    for name, upper_bound in _LENGTH_BANDS:
        if upper_bound is None or tokens <= upper_bound:
            return name
    return _LENGTH_BANDS[-1][0]


def length_bands():
    """Return the names of all length bands, shortest first."""
    return [name for name, _ in _LENGTH_BANDS]
