"""A request that is forwarded as it came, as the core sees it."""

import enum

#: The rank of a request at an engine when nothing says otherwise.
_DEFAULT_PRIORITY = 5


class Repeat(enum.Enum):
    """What a request allows after it may have started at a server."""

    #: It may start once.
    ONCE = 'once'
    #: It may start again elsewhere.
    AGAIN = 'again'
    #: It is a stream that may be taken up elsewhere at an event.
    RESUME = 'resume'


class PromptSize:
    """The size of a prompt and of its answer, in tokens.

    Attributes:
      prompt: Tokens in, an int.
      answer: The most tokens out, an int.
    """

    __slots__ = ('answer', 'prompt')

    def __init__(self, prompt, answer):
        """Create the size.

        Args:
          prompt: Tokens in.
          answer: The most tokens out.
        """
        self.prompt = prompt
        self.answer = answer

    @property
    def memory(self):
        """How many tokens of KV memory it needs in the end, an int."""
        return self.prompt + self.answer


class ForwardJob:
    """A checked request on its way to a backend server.

    Attributes:
      request_id: The caller's id of this submission, a string.
      fingerprint: An int that all submissions of the same request have: those
        of one client account with the same path and body.
      pool: The name of the pool of backend servers that serves it.
      repeat: A Repeat.
      is_stream: Whether the answer is a stream of events, a bool.
      is_keyed: Whether it was let in by a key that may be revoked, a bool.
      account: The client account's name, or None.
      size: A PromptSize, or None for a plain service.
      priority: 0 (first) to 9.
      arrived_ms: When it came, on this process's clock.
      deadline_ms: When the last answer must be given, on the same clock.
      goal_ms: Milliseconds from arrival within which an answer (of a stream,
        its first event) has its full worth.
      gap_ms: The longest pause between events of full worth, in milliseconds.
      max_attempts: To how many servers it may be sent.
      resume_after: The last event that the caller has, an int, or None.
      payload: What the port needs to send it; opaque to the core.
    """

    __slots__ = (
        'account',
        'arrived_ms',
        'deadline_ms',
        'fingerprint',
        'gap_ms',
        'goal_ms',
        'is_keyed',
        'is_stream',
        'max_attempts',
        'payload',
        'pool',
        'priority',
        'repeat',
        'request_id',
        'resume_after',
        'size',
    )

    def __init__(self, **fields):
        """Create a job.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def may_repeat(self):
        """Whether it may start again after it may have started, a bool."""
        return self.repeat != Repeat.ONCE

    def remaining_ms(self, now_ms):
        """Return the milliseconds until the deadline.

        Args:
          now_ms: The time on this process's clock.
        """
        return self.deadline_ms - now_ms


class AttemptOrder:
    """What one attempt tells the backend server.

    Attributes:
      number: Counts the attempts of the request from 1.
      remaining_ms: Milliseconds left for the whole request.
      resume_after: The last event that the caller has, an int, or None.
    """

    __slots__ = ('number', 'remaining_ms', 'resume_after')

    def __init__(self, number, remaining_ms, resume_after):
        """Create the order.

        Args:
          number: An int.
          remaining_ms: Milliseconds.
          resume_after: An int or None.
        """
        self.number = number
        self.remaining_ms = remaining_ms
        self.resume_after = resume_after


class Helper:
    """A server that reads a part of a prompt for another one.

    Attributes:
      backend: A Backend.
      ticket: The id of memory that is set aside there, or None.
      tokens: How much of it, 0 without a ticket.
    """

    __slots__ = ('backend', 'ticket', 'tokens')

    def __init__(self, backend, ticket=None, tokens=0):
        """Create the record.

        Args:
          backend: A Backend.
          ticket: A string or None.
          tokens: An int.
        """
        self.backend = backend
        self.ticket = ticket
        self.tokens = tokens


class Beliefs:
    """What was believed of a chosen server when it was chosen.

    Attributes:
      wait_ms: How long prompts before this one would still be read there.
      writers: How many requests write there.
      lacking: How many of them must end before this one gets a slot.
      memory: How many tokens of its memory are taken.
      slowness: How much slower than published it seems to be.
      risk: How likely a request fails there, from 0 to 1.
      cost: What the placement was thought to cost, in worth.
      heard_ms_ago: How long ago another instance was last heard from, which
        is how old the beliefs about its requests may be, or None.
    """

    __slots__ = (
        'cost',
        'heard_ms_ago',
        'lacking',
        'memory',
        'risk',
        'slowness',
        'wait_ms',
        'writers',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def describe(self):
        """Return the beliefs as a map of numbers, rounded for people."""
        rounded = {}
        for name in self.__slots__:
            estimate = getattr(self, name)
            rounded[name] = None if estimate is None else round(estimate, 2)
        return rounded


class Placement:
    """Where an attempt runs, as a chooser decided.

    Attributes:
      backend: The Backend that gets the request.
      helpers: A tuple of Helper.
      first_ms: The predicted milliseconds to the first event, or None.
      key: What the chooser knows this placement by; opaque to others.
      priority: The rank at the engine, 0 (first) to 9.
      beliefs: The Beliefs that decided it, or None.
    """

    __slots__ = (
        'backend',
        'beliefs',
        'first_ms',
        'helpers',
        'key',
        'priority',
    )

    def __init__(self, backend, *, first_ms=None, helpers=(), key=None):
        """Create the placement.

        Args:
          backend: A Backend.
          first_ms: Milliseconds or None.
          helpers: A tuple of Helper.
          key: See the class.
        """
        self.backend = backend
        self.first_ms = first_ms
        self.helpers = helpers
        self.key = key
        self.priority = _DEFAULT_PRIORITY
        self.beliefs = None

    def find_rejecting_server(self, at_server):
        """Return the server that a rejection blames.

        Args:
          at_server: Its id or its address "IP:port", or None if it is the
            one that was asked.
        Returns:
          A Backend: a helper's if one has that id or address.
        """
        for helper in self.helpers:
            host, port = helper.backend.listed.address
            listed_id = helper.backend.listed.listed_id
            if at_server in {listed_id, f'{host}:{port}'}:
                return helper.backend
        return self.backend

    def uses(self, backend):
        """Tell whether the attempt needs a server, as a helper or otherwise.

        Args:
          backend: A Backend.
        """
        if backend is self.backend:
            return True
        return any(backend is one.backend for one in self.helpers)

    @property
    def tickets(self):
        """The helpers at which memory is set aside, a list of Helper."""
        return [one for one in self.helpers if one.ticket is not None]
