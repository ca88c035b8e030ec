"""Interface of the HTTP client to the receivers of responses."""

import abc
import enum

from crankchute.errors import BackendError

#: The largest body, in bytes, that is buffered before it is passed on.
MAX_BUFFERED_BODY = 8 * 1024 * 1024


class AnswerOwner(enum.Enum):
    """Whose request an answer belongs to."""

    #: The request that waits for an answer.
    OWN = 'own'
    #: An earlier request of the same connection; the own answer is still due.
    EARLIER = 'earlier'
    UNKNOWN = 'unknown'


class AnswerAttribution(abc.ABC):
    """Tells the answer to a call from answers to others on its connection.

    Attributes:
      request_id: The id that the server repeats in the answer, or None if the
        request has none.
    """

    __slots__ = ('request_id',)

    @abc.abstractmethod
    def find_owner(self, call):
        """Return the AnswerOwner of the answer whose head has arrived.

        Args:
          call: The HttpCall; its status and headers are those of the answer.
        """

    def is_distinct(self, earlier):
        """Return whether answers to an earlier call can be told from this one's.

        Args:
          earlier: The AnswerAttribution of a call on the same connection, or
            None.
        """
        return earlier is None or earlier.request_id != self.request_id


class ResponseSink(abc.ABC):
    """Receives a response incrementally, and exactly one end."""

    @abc.abstractmethod
    def on_head(self, status, headers):
        """Handle the status and headers.

        Args:
          status: The HTTP status, an int.
          headers: A map from lower-case name to string.
        """

    @abc.abstractmethod
    def on_body(self, chunk):
        """Handle a chunk of the body.

        Args:
          chunk: Bytes.
        Raises:
          BackendError: If the response cannot be used; it is then ended, and
            the error passed to on_error.
        """

    @abc.abstractmethod
    def on_done(self):
        """Handle the end of a complete response."""

    @abc.abstractmethod
    def on_error(self, exc):
        """Handle a failure.

        Args:
          exc: A BackendError; its `sent` is False if nothing was sent.
        """


class WholeResponse(ResponseSink):
    """Buffers a response and reports it when it is complete."""

    __slots__ = (
        '_chunks',
        '_on_failure',
        '_on_response',
        '_size',
        'headers',
        'status',
    )

    def __init__(self, on_response, on_failure):
        """Create the sink.

        Args:
          on_response: A function of the status and the body, bytes.
          on_failure: A function of a BackendError.
        """
        self._on_response = on_response
        self._on_failure = on_failure
        self._chunks = []
        self._size = 0
        self.status = None
        self.headers = {}

    def on_head(self, status, headers):
        """See ResponseSink."""
        self.status = status
        self.headers = headers

    def on_body(self, chunk):
        """See ResponseSink.

        Raises:
          BackendError: If the body is too large to be buffered.
        """
        self._chunks.append(chunk)
        self._size += len(chunk)
        if self._size > MAX_BUFFERED_BODY:
            raise BackendError('the body is too large', sent=True)

    def on_done(self):
        """See ResponseSink."""
        self._on_response(self.status, b''.join(self._chunks))

    def on_error(self, exc):
        """See ResponseSink."""
        self._on_failure(exc)
