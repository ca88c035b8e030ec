"""Results of calls, as the client library reports them."""

from crankchute.core.outcomes import Outcome


class CallResult:
    """The result of a call.

    Attributes:
      outcome: An Outcome.
      text: The complete answer of a completion, a string.
      tokens: The number of tokens in the answer, an int.
      body: The response body of a plain service, bytes.
      status: The HTTP status of that response, an int.
      first_token_ms: The time to first token in milliseconds, or None.
      total_ms: The duration of the call in milliseconds.
      attempts: The number of submissions, an int.
      code: The error code, or None.
      message: The error message, or None.
      retry_after_ms: Milliseconds after which to retry, or None.
      key: The request key, or None.
    """

    __slots__ = (
        'attempts',
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
    )

    def __init__(self, outcome):
        """Create a result with an outcome only.

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
        self.attempts = 0
        self.code = None
        self.message = None
        self.retry_after_ms = None
        self.key = None

    @property
    def is_ok(self):
        """Whether the call succeeded."""
        return self.outcome == Outcome.OK


class RemoteRefusal:
    """The decoded error response of an entry instance.

    Attributes:
      code: A short identifier for programs, a string.
      message: A sentence for people, a string.
      outcome: An Outcome.
      passed_on: Whether the request may have reached a backend server.
      retry_after_ms: Milliseconds after which to retry, or None.
    """

    __slots__ = ('code', 'message', 'outcome', 'passed_on', 'retry_after_ms')

    def __init__(self, document):
        """Read an error document.

        Args:
          document: A map; if the outcome is missing, the request is assumed
            to have reached a backend server.
        """
        error = document.get('error', {})
        self.code = error.get('type', 'unreadable')
        self.message = error.get('message', '')
        self.outcome = Outcome(error.get('outcome', Outcome.UNKNOWN.value))
        self.retry_after_ms = error.get('retry_after_ms')
        default = self.outcome != Outcome.NOT_RUN
        self.passed_on = error.get('passed_on', default)


def make_refusal_result(refusal):
    """Return the result of a call that was refused.

    Args:
      refusal: A RemoteRefusal.
    """
    call_result = CallResult(refusal.outcome)
    call_result.code = refusal.code
    call_result.message = refusal.message
    call_result.retry_after_ms = refusal.retry_after_ms
    return call_result


def make_failure_result(outcome, code, message):
    """Return the result of a call that failed without a response.

    Args:
      outcome: An Outcome.
      code: A short identifier for programs.
      message: A sentence for people.
    """
    call_result = CallResult(outcome)
    call_result.code = code
    call_result.message = message
    return call_result
