"""How a call ended, as the client library tells it."""

from crankchute.core.outcomes import Outcome


class CallResult:
    """The end of a call.

    Attributes:
      outcome: An Outcome.
      text: The whole answer of a completion, a string.
      tokens: How many tokens it has, an int.
      body: The answer of a plain service, bytes.
      status: The HTTP status of that answer, an int.
      first_token_ms: Milliseconds to the first token, or None.
      total_ms: Milliseconds to the end.
      tries: How many submissions were made, an int.
      code: The refusal's identifier, or None.
      message: The refusal's sentence, or None.
      retry_after_ms: When to ask again, or None.
      key: The text of the request key, or None.
    """

    __slots__ = (
        'body',
        'code',
        'first_token_ms',
        'key',
        'message',
        'outcome',
        'retry_after_ms',
        'status',
        'text',
        'tokens',
        'total_ms',
        'tries',
    )

    def __init__(self, outcome):
        """Create a result with nothing but its outcome.

        Args:
          outcome: An Outcome.
        """
        self.outcome = outcome
        self.text = ''
        self.tokens = 0
        self.body = b''
        self.status = None
        self.first_token_ms = None
        self.total_ms = None
        self.tries = 0
        self.code = None
        self.message = None
        self.retry_after_ms = None
        self.key = None

    @property
    def is_ok(self):
        """Whether there is a whole answer."""
        return self.outcome == Outcome.OK


class RemoteRefusal:
    """A refusal as an entry instance sent it."""

    __slots__ = ('code', 'message', 'outcome', 'passed_on', 'retry_after_ms')

    def __init__(self, document):
        """Read the typed body of a refusal.

        Args:
          document: A map; what is missing is read with caution.
        """
        error = document.get('error', {})
        self.code = error.get('type', 'unreadable')
        self.message = error.get('message', '')
        self.outcome = Outcome(error.get('outcome', Outcome.UNKNOWN.value))
        self.retry_after_ms = error.get('retry_after_ms')
        default = self.outcome != Outcome.NOT_RUN
        self.passed_on = error.get('passed_on', default)


def describe_refusal(refusal):
    """Return the result of a call that ended with a refusal.

    Args:
      refusal: A RemoteRefusal.
    """
    outcome = CallResult(refusal.outcome)
    outcome.code = refusal.code
    outcome.message = refusal.message
    outcome.retry_after_ms = refusal.retry_after_ms
    return outcome


def describe_failure(outcome, code, message):
    """Return the result of a call that ended without an answer.

    Args:
      outcome: An Outcome.
      code: A short identifier for programs.
      message: A sentence for people.
    """
    failure = CallResult(outcome)
    failure.code = code
    failure.message = message
    return failure
