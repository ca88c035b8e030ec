"""What a part that calls a backend over HTTP is told of the response."""

import abc


class ResponseSink(abc.ABC):
    """Receives a response as it comes; exactly one end is told."""

    @abc.abstractmethod
    def on_head(self, status, headers):
        """Take the head.

        Args:
          status: The HTTP status, an int.
          headers: A map of names in lower case to strings.
        """

    @abc.abstractmethod
    def on_body(self, chunk):
        """Take a part of the body.

        Args:
          chunk: Bytes.
        """

    @abc.abstractmethod
    def on_done(self):
        """Take the end of a whole response."""

    @abc.abstractmethod
    def on_error(self, exc):
        """Take a failure.

        Args:
          exc: A BackendError; its `sent` is False if nothing left.
        """


class WholeResponse(ResponseSink):
    """Gathers a response and hands it over when it is whole."""

    __slots__ = ('_chunks', '_on_failure', '_on_response', 'headers', 'status')

    def __init__(self, on_response, on_failure):
        """Create the sink.

        Args:
          on_response: A function of the status and the body's bytes.
          on_failure: A function of a BackendError.
        """
        self._on_response = on_response
        self._on_failure = on_failure
        self._chunks = []
        self.status = None
        self.headers = {}

    def on_head(self, status, headers):
        """See ResponseSink."""
        self.status = status
        self.headers = headers

    def on_body(self, chunk):
        """See ResponseSink."""
        self._chunks.append(chunk)

    def on_done(self):
        """See ResponseSink."""
        self._on_response(self.status, b''.join(self._chunks))

    def on_error(self, exc):
        """See ResponseSink."""
        self._on_failure(exc)
