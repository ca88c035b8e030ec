"""Interfaces to model engines: orders, and listeners for their progress."""

import abc


class GenerateOrder:
    """An order to generate or resume the answer to a prompt.

    Attributes:
      request_id: The request's id, a string.
      attempt: The attempt's number, an int, which is repeated in frames.
      model: The model's name.
      prompt: The prompt, bytes; of a group's prompt, the last segment.
      max_tokens: The maximum length of the whole answer, an int.
      offset: The number of tokens already delivered to the caller, an int.
      priority: An int; 0 is the highest priority.
      deadline_ms: Milliseconds until the request's deadline.
      group: The group's id if the prompt is split across engines, or None.
      imports: The SegmentExports of the group's other members, in order.
    """

    __slots__ = (
        'attempt',
        'deadline_ms',
        'group',
        'imports',
        'max_tokens',
        'model',
        'offset',
        'priority',
        'prompt',
        'request_id',
    )

    def __init__(self, job, attempt, offset, deadline_ms):
        """Create an order for a whole prompt.

        Args:
          job: The Job.
          attempt: The attempt's number.
          offset: The number of tokens already delivered to the caller.
          deadline_ms: Milliseconds until the request's deadline.
        """
        self.request_id = job.request_id
        self.attempt = attempt
        self.model = job.model
        self.prompt = job.prompt
        self.max_tokens = job.max_tokens
        self.offset = offset
        self.priority = job.engine_priority
        self.deadline_ms = deadline_ms
        self.group = None
        self.imports = ()


class SegmentExport:
    """The KV cache of a segment, which other engines can import."""

    __slots__ = ('address', 'carry', 'group', 'index')

    def __init__(self, address, group, index, carry):
        """Create the record.

        Args:
          address: The engine's IP address and port, a pair.
          group: The group's id.
          index: The segment's index, an int.
          carry: The state to pass to the next segment's prefill, a string.
        """
        self.address = address
        self.group = group
        self.index = index
        self.carry = carry


class HoldOrder:
    """An order to reserve memory for a segment of a group.

    A group is the engines that serve one long prompt together; a segment is
    the part of the prompt that one of them prefills.
    """

    __slots__ = ('deadline_ms', 'group', 'tokens')

    def __init__(self, group, tokens, deadline_ms):
        """Create the order.

        Args:
          group: The group's id, a string.
          tokens: The size of the KV cache to reserve, in tokens.
          deadline_ms: Milliseconds until the reservation expires.
        """
        self.group = group
        self.tokens = tokens
        self.deadline_ms = deadline_ms


class SegmentOrder:
    """An order to prefill a segment of a group's prompt."""

    __slots__ = (
        'carry',
        'deadline_ms',
        'group',
        'index',
        'model',
        'priority',
        'prompt',
    )

    def __init__(self, group, index, job, segment, carry):
        """Create the order.

        Args:
          group: The group's id.
          index: The segment's index.
          job: The Job.
          segment: The segment's bytes.
          carry: The state from the preceding segment's prefill, a string; empty
            for the first segment.
        """
        self.group = group
        self.index = index
        self.model = job.model
        self.priority = job.engine_priority
        self.prompt = segment
        self.carry = carry
        self.deadline_ms = None


class EngineListener(abc.ABC):
    """Receives the progress of a GenerateOrder, and exactly one end."""

    @abc.abstractmethod
    def on_frame(self, frame):
        """Handle a Frame of the stream."""

    @abc.abstractmethod
    def on_refused(self, code, retry_after_ms):
        """Handle a refusal: the engine did not start.

        Args:
          code: A short identifier, such as "no_memory".
          retry_after_ms: Milliseconds after which to retry at this engine, or
            None.
        """

    @abc.abstractmethod
    def on_failed(self, exc):
        """Handle a BackendError; also called for a truncated stream."""


class EnginePort(abc.ABC):
    """Calls to model engines; callbacks run later, on the event loop."""

    @abc.abstractmethod
    def generate(self, backend, order, listener):
        """Start to generate an answer.

        Args:
          backend: A Backend.
          order: A GenerateOrder.
          listener: An EngineListener.
        Returns:
          An object whose cancel() cancels the order.
        """

    def ask_listening(self, _backend, on_known):
        """Check whether a process still listens at an engine's address.

        The default implementation reports None.

        Args:
          _backend: A Backend.
          on_known: A function of True, False, or None if it is unknown.
        """
        on_known(None)

    @abc.abstractmethod
    def hold(self, backend, order, on_done):
        """Reserve memory.

        Args:
          backend: A Backend.
          order: A HoldOrder.
          on_done: A function of a bool, whether the memory is reserved.
        """

    @abc.abstractmethod
    def release(self, backend, group, on_done):
        """Free the memory that a group has reserved on an engine.

        Args:
          backend: A Backend.
          group: The group's id.
          on_done: A function of a bool, whether the engine responded.
        """

    @abc.abstractmethod
    def prefill(self, backend, order, on_done):
        """Prefill a segment and retain its KV cache for import.

        Args:
          backend: A Backend.
          order: A SegmentOrder.
          on_done: A function of a SegmentExport, or of None on failure.
        Returns:
          An object whose cancel() cancels the order.
        """


class RequestSink(abc.ABC):
    """Receives the result of a request: its tokens, and exactly one end."""

    @abc.abstractmethod
    def on_tokens(self, offset, tokens):
        """Handle the next tokens.

        Args:
          offset: The index of the first token.
          tokens: A list of strings.
        """

    @abc.abstractmethod
    def on_end(self, count):
        """Handle the end of a complete answer.

        Args:
          count: The number of tokens in the answer.
        """

    @abc.abstractmethod
    def on_refused(self, refusal):
        """Handle any other end.

        Args:
          refusal: A Refusal.
        """
