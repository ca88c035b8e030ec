"""Interfaces of request forwarding, to backend servers and to callers.

Requests and answers are forwarded unchanged.  The interfaces distinguish only
what decides about retries: the head of an answer, complete events of a stream,
the end, and the kinds of failure.
"""

import abc


#: Rejection code: another server has taken over the address.
MOVED = 'moved'


class AnswerHead:
    """The status and headers of a backend server's answer.

    Attributes:
      status: The HTTP status, an int.
      headers: Pairs of name and text, without hop-by-hop headers.
      load: The ReportedLoad that the server reported in the answer, or None.
      ends_with_connection: Whether only the end of its connection marks the end
        of the answer, a bool.
    """

    __slots__ = ('ends_with_connection', 'headers', 'load', 'status')

    def __init__(
        self, status, headers=(), load=None, *, ends_with_connection=False
    ):
        """Create the head.

        Args:
          status: An int.
          headers: Pairs of name and text.
          load: A ReportedLoad or None.
          ends_with_connection: See the class.
        """
        self.ends_with_connection = ends_with_connection
        self.status = status
        self.headers = headers
        self.load = load

    @property
    def is_success(self):
        """Whether the status is a success."""
        return 200 <= self.status < 300  # noqa: WPS432  (the 2xx statuses)


class StreamEvent:
    """One complete event of a stream.

    Attributes:
      number: The event's id, an int, or None if it has none.
      payload: The unmodified bytes of the event.
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
    """Receives the progress of an attempt at a server, and exactly one end."""

    @abc.abstractmethod
    def on_head(self, head):
        """Handle the AnswerHead."""

    @abc.abstractmethod
    def on_body(self, chunk):
        """Handle a chunk of the body of an answer that is not a stream."""

    @abc.abstractmethod
    def on_event(self, event):
        """Handle a StreamEvent."""

    @abc.abstractmethod
    def on_end(self):
        """Handle the end of a complete answer."""

    @abc.abstractmethod
    def on_not_run(self, rejection):
        """Handle a rejection: the server did not run the request.

        Args:
          rejection: A Rejection.
        """

    @abc.abstractmethod
    def on_failed(self, exc):
        """Handle a BackendError; `sent` is False if nothing was sent."""


class Rejection:
    """A response by which a backend server states that a request did not run.

    Attributes:
      code: A short identifier: "full", "moved" (another server has taken over
        the address) or "rejected".
      at_server: The address or id of the server that rejected the request, or
        None if it is the server that received the request.
      retry_after_ms: Milliseconds after which to retry there, or None.
      is_final: Whether another instance refused the request for all servers,
        a bool.
    """

    __slots__ = ('at_server', 'code', 'is_final', 'retry_after_ms')

    def __init__(
        self, code, at_server=None, retry_after_ms=None, *, is_final=False
    ):
        """Create the rejection.

        Args:
          code: See the class.
          at_server: See the class.
          retry_after_ms: See the class.
          is_final: See the class.
        """
        self.is_final = is_final
        self.code = code
        self.retry_after_ms = retry_after_ms
        self.at_server = at_server


class ForwardPort(abc.ABC):
    """Sends requests to backend servers; callbacks run on the event loop."""

    @abc.abstractmethod
    def send(self, job, placement, attempt, listener):
        """Send a request.

        Args:
          job: A ForwardJob.
          placement: A Placement.
          attempt: An AttemptOrder.
          listener: An AttemptListener.
        Returns:
          An object whose cancel() cancels the attempt, and whose `sent` is
          whether any byte of the request may have been sent.  Where answers
          can be paused, pause_reading() and resume_reading() stop and continue
          reading the answer.
        """

    def is_connected(self, _backend):
        """Return whether an idle connection to a server is open.

        The default implementation is for adapters without a connection pool.

        Args:
          _backend: A Backend.
        """
        return False

    def ask_listening(self, _backend, on_known):
        """Check whether a process still listens at a server's address.

        The default implementation reports None.

        Args:
          _backend: A Backend.
          on_known: A function of True, False, or None if it is unknown.
        """
        on_known(None)

    def probe(self, _backend, on_known):
        """Try to open a connection to a server.

        The default implementation reports success.

        Args:
          _backend: A Backend.
          on_known: A function of whether a connection could be opened.
        """
        on_known(True)

    def forget(self, _backend):
        """Close the idle connections to a server that was removed.

        Args:
          _backend: A Backend.
        """


class AnswerSink(abc.ABC):
    """Receives the answer of a forwarded request, and exactly one end."""

    def on_collected(self, size):
        """Handle the growth of an answer that is collected before it is sent.

        Args:
          size: The bytes held for this request, an int.
        """

    @abc.abstractmethod
    def on_answer(self, head, body):
        """Handle a complete answer that is not a stream.

        Args:
          head: An AnswerHead.
          body: Bytes.
        """

    @abc.abstractmethod
    def on_head(self, head):
        """Handle the AnswerHead of a stream; events follow."""

    @abc.abstractmethod
    def on_event(self, event):
        """Handle the next StreamEvent."""

    @abc.abstractmethod
    def on_end(self):
        """Handle the end of a complete stream."""

    @abc.abstractmethod
    def on_refused(self, refusal):
        """Handle any other end, which can be in the middle of a stream.

        Args:
          refusal: A Refusal.
        """
