"""Outcomes of requests, as reported to callers."""

import enum


class Outcome(enum.Enum):
    """The outcome of a request."""

    OK = 'ok'
    #: The request provably did not start at any backend server.
    NOT_RUN = 'not_run'
    #: The request may have run.
    UNKNOWN = 'unknown'
    #: The request started and did not finish.
    FAILED = 'failed'


class Refusal:
    """The end of a request without an answer.

    Attributes:
      outcome: An Outcome other than OK.
      code: A short identifier for programs.
      text: A sentence for people.
      retry_after_ms: Milliseconds after which to retry, or None if a retry
        does not help.
      was_dispatched: Whether the request was sent to a backend server or to
        another entry instance, a bool.
      inputs: A dict of the inputs of the decision, to be logged, or None.
    """

    __slots__ = (
        'code',
        'inputs',
        'outcome',
        'retry_after_ms',
        'text',
        'was_dispatched',
    )

    def __init__(self, outcome, code, text, **details):
        """Create a refusal.

        Args:
          outcome: An Outcome other than OK.
          code: A short identifier for programs.
          text: A sentence for people.
          details: The other attributes of the class, all optional.
        """
        self.inputs = None
        self.outcome = outcome
        self.code = code
        self.text = text
        self.retry_after_ms = details.get('retry_after_ms')
        self.was_dispatched = details.get(
            'was_dispatched', outcome != Outcome.NOT_RUN
        )

    def __repr__(self):
        """Return a representation for debugging."""
        return f'Refusal({self.outcome}, {self.code!r}, {self.text!r})'


def refuse_not_run(code, text, retry_after_ms=None):
    """Return the refusal of a request that did not start.

    Args:
      code: A short identifier for programs.
      text: A sentence for people.
      retry_after_ms: Milliseconds after which to retry, or None.
    Returns:
      A Refusal.
    """
    return Refusal(Outcome.NOT_RUN, code, text, retry_after_ms=retry_after_ms)
