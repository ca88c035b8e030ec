"""Routes calls of plain services that arrive through the native API.

Calls are forwarded like any other request: a non-repeatable call is retried
only if it certainly did not start, and each account and pool has a retry
budget.
"""

from crankchute.core.candidates import list_members
from crankchute.core.choosers import LEAST_BUSY, ChooserParts, choosers
from crankchute.core.forward_job import ForwardJob, RetryMode
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.hashing import make_fingerprint
from crankchute.core.retry_hints import RetryHints
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import AnswerSink

_RETRY_WINDOW_MS = 10_000
#: The limits apply to each account and pool, at each instance.  The slack
#: allows some retries to accounts with few calls.
_RETRY_LIMITS = RetryLimits(
    ratio=0.1,
    slack=10,
    window_ms=_RETRY_WINDOW_MS,
    per_account=True,
)
_MAX_ATTEMPTS = 5
_DEFAULT_PRIORITY = 5


class ServiceCall:
    """A validated call of a plain service.

    Attributes:
      method: The HTTP method.
      path: The path and query at the backend server.
      body: Bytes.
      content_type: The media type of the body, or None.
      key: The request key as a string, or None.
      repeatable: Whether the call may run more than once.
      pool: The pool's name.
      account: The client account's name.
      deadline_ms: The deadline on this process's clock.
    """

    __slots__ = (
        'account',
        'body',
        'content_type',
        'deadline_ms',
        'key',
        'method',
        'path',
        'pool',
        'repeatable',
    )

    def __init__(self, **fields):
        """Create a call.

        Args:
          fields: The value of each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class ServiceAnswer:
    """The complete answer of a plain service."""

    __slots__ = ('body', 'content_type', 'status')

    def __init__(self, status, content_type, body):
        """Create the answer.

        Args:
          status: The HTTP status, an int.
          content_type: The media type of the body, or None.
          body: Bytes.
        """
        self.status = status
        self.content_type = content_type
        self.body = body


class ServiceSink(AnswerSink):
    """Passes the end of a call to a callback."""

    __slots__ = ('_on_end',)

    def __init__(self, on_end):
        """Create the sink.

        Args:
          on_end: A function of a ServiceAnswer or a Refusal; it is called once.
        """
        self._on_end = on_end

    def on_answer(self, head, body):
        """See AnswerSink."""
        content_type = dict(head.headers).get('content-type')
        self._on_end(ServiceAnswer(head.status, content_type, body))

    def on_head(self, head):
        """See AnswerSink; not called, since these answers are not streamed."""

    def on_event(self, event):
        """See AnswerSink; not called, since these answers are not streamed."""

    def on_end(self):
        """See AnswerSink; not called, since these answers are not streamed."""

    def on_refused(self, refusal):
        """See AnswerSink."""
        self._on_end(refusal)


class ServiceRouter:
    """Forwards calls to plain services and ends each call exactly once."""

    def __init__(self, ports, fleet, services, journal):
        """Create a router without a configuration.

        Args:
          ports: The DispatcherPorts of the dispatcher; `engines` is not used.
          fleet: The Fleet.
          services: A ForwardPort for jobs whose payload is a ServiceCall.
          journal: A ForwardJournal.
        """
        self._ports = ports
        self._services = services
        self._fleet = fleet
        # Services behind the native API cannot declare server limits.
        self._permits = ServerRateLimits(ports.timers, '', '').permits
        self._choosers = {}
        self._hints = RetryHints(ports.random)
        self._forwarder = Forwarder(
            ForwarderPorts(
                forward=services,
                timers=ports.timers,
                metrics=ports.metrics,
                journal=journal,
                reservations=None,
                hints=self._hints,
                crashes=ports.crashes,
                record_moved=_ignore_moved,
                find_chooser=self._find_chooser,
            ),
            _RETRY_LIMITS,
            ended_counter='service_calls_ended',
        )
        self.config = None

    @property
    def in_progress(self):
        """The number of calls in progress."""
        return self._forwarder.in_progress

    def submit(self, call, on_end):
        """Start a call.

        Args:
          call: A ServiceCall.
          on_end: A function of a ServiceAnswer or a Refusal; it is called once.
        """
        now_ms = self._ports.timers.clock.now_ms()
        job = ForwardJob(
            request_id=call.key,
            fingerprint=_make_fingerprint(call),
            pool=call.pool,
            repeat=RetryMode.AGAIN if call.repeatable else RetryMode.ONCE,
            is_stream=False,
            is_keyed=False,
            account=call.account,
            size=None,
            priority=_DEFAULT_PRIORITY,
            arrived_ms=now_ms,
            deadline_ms=call.deadline_ms,
            goal_ms=call.deadline_ms - now_ms,
            gap_ms=None,
            max_attempts=_MAX_ATTEMPTS,
            resume_after=None,
            payload=call,
            timeout_ms=call.deadline_ms - now_ms,
            urgency_rank=0,
        )
        self._forwarder.submit(job, ServiceSink(on_end))

    def _find_chooser(self, pool):
        """Return a pool's chooser, which has no servers if it is unknown."""
        chooser = self._choosers.get(pool)
        if chooser is None:
            chooser = choosers[LEAST_BUSY](self._make_parts(pool))
            self._choosers[pool] = chooser
        return chooser

    def _make_parts(self, pool):
        return ChooserParts(
            pool=pool,
            members=lambda: self._list_members(pool),
            timers=self._ports.timers,
            random=self._ports.random,
            work_tracker=None,
            announce_work=None,
            create_ticket_id=None,
            last_peer_message_age_ms=None,
            hints=self._hints,
            data_centre=None,
            is_connected=self._services.is_connected,
            permits=self._permits,
            count_active=None,
        )

    def _list_members(self, pool):
        members = list_members(self.config, self._fleet, pool)
        return [one for one in members if not one.is_leaving]


def _make_fingerprint(call):
    return make_fingerprint(
        call.account.encode(),
        f'{call.method} {call.path}'.encode(),
        call.body,
    )


def _ignore_moved(_backend):
    """Ignore the report; the instance list is updated independently."""
