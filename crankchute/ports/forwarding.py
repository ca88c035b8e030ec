"""What the forwarding engine asks of backend servers and of callers.

A request is opaque to the engine: it is sent as it came and its answer is
passed on as it comes.  Only what decides about retries is told apart: heads,
whole events of a stream, the end, and the kinds of failure.
"""

import abc


#: The code of a rejection by another server that has the address now.
MOVED = 'moved'


class AnswerHead:
    """The head of a backend server's answer.

    Attributes:
      status: The HTTP status, an int.
      headers: Pairs of name and text, without those of one connection only.
      load: The ReportedLoad that the server told with it, or None.
    """

    __slots__ = ('headers', 'load', 'status')

    def __init__(self, status, headers=(), load=None):
        """Create the head.

        Args:
          status: An int.
          headers: Pairs of name and text.
          load: A ReportedLoad or None.
        """
        self.status = status
        self.headers = headers
        self.load = load

    @property
    def is_success(self):
        """Whether the answer is a success, a bool."""
        return 200 <= self.status < 300  # noqa: WPS432  (the 2xx statuses)


class StreamEvent:
    """One whole event of a stream.

    Attributes:
      number: The event's id, an int, or None if it has none.
      payload: The event's bytes as they came.
    """

    __slots__ = ('number', 'payload')

    def __init__(self, number, payload):
        """Create the event.

        Args:
          number: An int or None.
          payload: Bytes.
        """
        self.number = number
        self.payload = payload


class AttemptListener(abc.ABC):
    """Is told how one attempt at one backend server goes; one end is told."""

    @abc.abstractmethod
    def on_head(self, head):
        """Take an AnswerHead."""

    @abc.abstractmethod
    def on_body(self, chunk):
        """Take a part of the body of an answer that is no stream."""

    @abc.abstractmethod
    def on_event(self, event):
        """Take a StreamEvent."""

    @abc.abstractmethod
    def on_end(self):
        """Take the end of a whole answer."""

    @abc.abstractmethod
    def on_not_run(self, rejection):
        """Take the server's word that the request did not run there.

        Args:
          rejection: A Rejection.
        """

    @abc.abstractmethod
    def on_failed(self, exc):
        """Take a BackendError; its `sent` is False if nothing left."""


class Rejection:
    """A backend server's word that it did not run a request.

    Attributes:
      code: A short identifier: "full", "moved" (another server has the
        address) or "rejected".
      at_server: The address or id of the server at fault, or None if it is
        the one that was asked.
      retry_after_ms: When it may be asked again, or None.
    """

    __slots__ = ('at_server', 'code', 'retry_after_ms')

    def __init__(self, code, at_server=None, retry_after_ms=None):
        """Create the rejection.

        Args:
          code: See the class.
          at_server: See the class.
          retry_after_ms: See the class.
        """
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.at_server = at_server


class ForwardPort(abc.ABC):
    """Sends requests to backend servers; answers come later, on the loop."""

    @abc.abstractmethod
    def send(self, job, placement, attempt, listener):
        """Send a request.

        Args:
          job: A ForwardJob.
          placement: A Placement.
          attempt: An AttemptOrder.
          listener: An AttemptListener.
        Returns:
          An object whose cancel() gives the attempt up, and whose `sent`
          tells whether any byte of it may have left.
        """

    def is_connected(self, _backend):
        """Tell whether a connection to a server is open and rests.

        An adapter that does not keep connections has none.

        Args:
          _backend: A Backend.
        """
        return False

    def ask_listening(self, _backend, on_known):
        """Find out whether a server's process still runs.

        An adapter that cannot tell does not know.

        Args:
          _backend: A Backend.
          on_known: A function of True, of False if nobody listens at the
            server's address, or of None if that is not known.
        """
        on_known(None)

    def forget(self, _backend):
        """Close the connections that rest at a server that is no more.

        Args:
          _backend: A Backend.
        """


class AnswerSink(abc.ABC):
    """Where the answer of a forwarded request goes; one end is told."""

    @abc.abstractmethod
    def on_answer(self, head, body):
        """Take a whole answer that is no stream.

        Args:
          head: An AnswerHead.
          body: Bytes.
        """

    @abc.abstractmethod
    def on_head(self, head):
        """Take the AnswerHead of a stream; events follow."""

    @abc.abstractmethod
    def on_event(self, event):
        """Take the next StreamEvent."""

    @abc.abstractmethod
    def on_end(self):
        """Take the end of a whole stream."""

    @abc.abstractmethod
    def on_refused(self, refusal):
        """Take any other end, also in the middle of a stream.

        Args:
          refusal: A Refusal.
        """
