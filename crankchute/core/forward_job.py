"""Forwarded requests, their attempts and their placement."""

import enum

_DEFAULT_PRIORITY = 5
#: A request with at least this share of its route's timeout left is new: callers
#: that return after a refusal have waited for longer than the rest.
_NEW_REQUEST_SHARE = 0.95
_LOWEST_PRIORITY = 9


class RetryMode(enum.Enum):
    """How a request may be retried after it may have started at a server."""

    #: It must not be started again.
    ONCE = 'once'
    #: It may be started again at another server.
    AGAIN = 'again'
    #: It is a stream that may be resumed at another server after an event.
    RESUME = 'resume'


def make_urgency_rank(priority, route_priority):
    """Return the urgency rank of a request.

    The priority of a client account takes precedence over that of a route.
    Among the requests of accounts with the same priority, the route decides.

    Args:
      priority: The priority in force for the request.
      route_priority: The priority of its route.
    Returns:
      An int from 0 to 99.
    """
    levels = _LOWEST_PRIORITY + 1
    return _clamp(priority) * levels + _clamp(route_priority)


def _clamp(priority):
    return min(max(priority, 0), _LOWEST_PRIORITY)


class PromptSize:
    """The size of a prompt and of its answer, in tokens.

    Attributes:
      prompt: The number of input tokens.
      answer: The maximum number of output tokens.
    """

    __slots__ = ('answer', 'prompt')

    def __init__(self, prompt, answer):
        """Create the size; see the class for the arguments."""
        self.prompt = prompt
        self.answer = answer

    @property
    def kv_tokens(self):
        """The tokens of KV memory needed when the answer is complete."""
        return self.prompt + self.answer


class ForwardJob:
    """A validated request that is forwarded to a backend server.

    Attributes:
      request_id: The caller's id of this submission, a string.
      fingerprint: An int hash of client account, path and body, equal for all
        submissions of the same request.
      part_fingerprints: Hashes of the parts of its prompt that other requests
        may share, a tuple of ints; optional.
      pool: The name of the pool of backend servers that serves the request.
      repeat: A RetryMode.
      is_stream: Whether the answer is a stream of events.
      is_keyed: Whether the request was authorized by a revocable key.
      account: The client account's name, or None.
      size: A PromptSize, or None for a plain service.
      priority: From 0 (highest) to 9.
      urgency_rank: An int that orders requests of a pool, lower is more
        urgent: by priority, then by the priority of the route.
      arrived_ms: The arrival time on this process's clock.
      deadline_ms: The deadline of the whole answer on the same clock.
      goal_ms: The target latency of the answer, or of the first event of a
        stream, in milliseconds from arrival.
      gap_ms: The target for the longest gap between events, in milliseconds.
      max_attempts: The maximum number of servers to try.
      resume_after: The id of the last event that the caller received, or None.
      payload: Data for the port that sends the request; opaque to the core.
      timeout_ms: The longest time that the route allows for the answer, in
        milliseconds.
      relay: The RelayOrigin if another instance relayed the request, or None;
        optional.
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
        'part_fingerprints',
        'payload',
        'pool',
        'priority',
        'relay',
        'repeat',
        'request_id',
        'resume_after',
        'size',
        'timeout_ms',
        'urgency_rank',
    )

    def __init__(self, **fields):
        """Create a job.

        Args:
          fields: The value of each attribute; some are optional.
        """
        fields = {'relay': None, 'part_fingerprints': (), **fields}
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def may_retry(self):
        """Whether the request may be retried after it may have started."""
        return self.repeat != RetryMode.ONCE

    @property
    def is_returning(self):
        """Whether the caller has probably been refused before.

        A caller that returns after a refusal has clearly less time left than
        the route allows.  This needs no state, so all instances agree.
        """
        allowed_ms = self.deadline_ms - self.arrived_ms
        return allowed_ms < self.timeout_ms * _NEW_REQUEST_SHARE

    def remaining_ms(self, now_ms):
        """Return the milliseconds until the deadline.

        Args:
          now_ms: The current time on this process's clock.
        """
        return self.deadline_ms - now_ms

    def remaining_goal_ms(self, now_ms):
        """Return the milliseconds until the latency target.

        Args:
          now_ms: The current time on this process's clock.
        """
        return self.arrived_ms + self.goal_ms - now_ms


class RelayOrigin:
    """How another instance relayed a request.

    It makes the attempts: this instance sends the request to one server.

    Attributes:
      instance: The id of that instance.
      avoided: Ids of servers to which the request must not be sent, a
        frozenset.
    """

    __slots__ = ('avoided', 'instance')

    def __init__(self, instance, avoided):
        """Create the record; see the class for the arguments."""
        self.instance = instance
        self.avoided = frozenset(avoided)


class AttemptOrder:
    """The attempt metadata that is sent to the backend server.

    Attributes:
      number: The attempt number, starting at 1.
      remaining_ms: The milliseconds until the request's deadline.
      resume_after: The id of the last event that the caller received, or None.
      avoided: Ids of servers to which the request must not be sent, for the
        instance to which it is relayed.
    """

    __slots__ = ('avoided', 'number', 'remaining_ms', 'resume_after')

    def __init__(self, number, remaining_ms, resume_after, avoided=()):
        """Create the order; see the class for the arguments."""
        self.avoided = avoided
        self.number = number
        self.remaining_ms = remaining_ms
        self.resume_after = resume_after


class PrefillHelper:
    """A server that prefills part of a prompt for another server.

    Attributes:
      backend: A Backend.
      ticket: The id of a memory reservation there, a string, or None.
      tokens: The size of the reservation in tokens, 0 without a ticket.
    """

    __slots__ = ('backend', 'ticket', 'tokens')

    def __init__(self, backend, ticket=None, tokens=0):
        """Create the record; see the class for the arguments."""
        self.backend = backend
        self.ticket = ticket
        self.tokens = tokens


class PlacementEstimate:
    """The estimated state of a server at the time when it was chosen.

    The attribute names are also the names under which the estimates are logged.

    Attributes:
      wait_ms: The time to prefill the prompts that are queued there.
      writers: The number of requests that are decoding.
      lacking: How many of those must finish before this request gets a slot.
      memory: The tokens of KV memory in use.
      slowness: The estimated slowdown relative to the published speed.
      risk: The probability that a request fails there, from 0 to 1.
      cost: The estimated cost of the placement.
      heard_ms_ago: The time since the last message from another instance,
        which bounds the age of the estimates of its requests, or None.
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
          fields: The value of each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def describe(self):
        """Return a dict of the estimates, rounded for display."""
        rounded = {}
        for name in self.__slots__:
            estimate = getattr(self, name)
            rounded[name] = None if estimate is None else round(estimate, 2)
        return rounded


class Placement:
    """The servers that a chooser selected for an attempt.

    Attributes:
      backend: The Backend that receives the request.
      helpers: A tuple of PrefillHelper.
      first_ms: The predicted milliseconds to the first event, or None.
      key: The chooser's identifier of this placement; opaque to others.
      chooser: The Chooser that is told what becomes of it, even if another one
        serves the pool by then; None for a relayed request.
      priority: The priority at the engine, from 0 (highest) to 9.
      estimate: The PlacementEstimate on which the choice was based, or None.
      is_relayed: Whether another instance chooses the server, a bool.
    """

    is_relayed = False

    __slots__ = (
        'backend',
        'chooser',
        'estimate',
        'first_ms',
        'helpers',
        'key',
        'priority',
    )

    def __init__(self, backend, *, first_ms=None, helpers=(), key=None):
        """Create a placement; see the class for the arguments."""
        self.backend = backend
        self.chooser = None
        self.first_ms = first_ms
        self.helpers = helpers
        self.key = key
        self.priority = _DEFAULT_PRIORITY
        self.estimate = None

    def find_rejecting_server(self, at_server):
        """Return the server that rejected the request.

        Args:
          at_server: The server's id or address "IP:port", or None for the
            server that received the request.
        Returns:
          The Backend of the helper with that id or address, if there is one;
          else that of the server that received the request.
        """
        for helper in self.helpers:
            host, port = helper.backend.listed.address
            listed_id = helper.backend.listed.listed_id
            if at_server in {listed_id, f'{host}:{port}'}:
                return helper.backend
        return self.backend

    def find_rejecting(self, rejection):
        """Return the id of the server that rejected the request.

        Args:
          rejection: A Rejection.
        """
        return self.find_rejecting_server(rejection.at_server).identity

    @property
    def answering(self):
        """The id of the server that answers."""
        return self.backend.identity

    def uses(self, backend):
        """Return whether a server takes part, as a helper or otherwise.

        Args:
          backend: A Backend.
        """
        if backend is self.backend:
            return True
        return any(backend is one.backend for one in self.helpers)

    @property
    def tickets(self):
        """The list of the PrefillHelpers that have a memory reservation."""
        return [one for one in self.helpers if one.ticket is not None]


class RelayPlacement(Placement):
    """Another instance, which sends the request to a server that it chooses.

    Attributes:
      backend: The Backend of that instance.
      server: The id of the server that answered there, or None.
    """

    __slots__ = ('server',)

    is_relayed = True

    def __init__(self, backend):
        """Create a placement.

        Args:
          backend: See the class.
        """
        super().__init__(backend)
        self.server = None

    def find_rejecting(self, rejection):
        """See Placement; only the other instance knows the server."""
        return rejection.at_server or self.backend.identity

    @property
    def answering(self):
        """The id of the server that answered, or else of the instance."""
        return self.server or self.backend.identity
