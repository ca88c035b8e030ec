"""Calls of plain services, whose calls may not all be repeated.

A call that is not repeatable is sent once, on a connection of its own: a
refused connection proves that it did not run; whatever happens after the
bytes left does not.  A repeatable call may go to another server, within the
retry budget.
"""

from crankchute.core.candidates import list_members
from crankchute.core.outcomes import Outcome, Refusal, refuse_not_run
from crankchute.core.retry_budget import RetryBudget

_HINT_MS = 500
_SENT_TEXT = 'the answer of the backend server did not come'


class ServiceCall:
    """A checked call of a plain service.

    Attributes:
      method: The HTTP method.
      path: The path at the backend server, with its query.
      body: Bytes.
      content_type: The body's media type, or None.
      key: The text of the request key, or None.
      repeatable: Whether it may run more than once, a bool.
      pool: The pool's name.
      account: The client account's name.
      deadline_ms: When it must have ended, on this process's clock.
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
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class ServiceAnswer:
    """The whole answer of a plain service."""

    __slots__ = ('body', 'content_type', 'status')

    def __init__(self, status, content_type, body):
        """Create the answer.

        Args:
          status: The HTTP status, an int.
          content_type: The body's media type.
          body: Bytes.
        """
        self.status = status
        self.content_type = content_type
        self.body = body


class ServiceRouter:
    """Chooses servers for calls and ends each call exactly once."""

    def __init__(self, ports, fleet, services):
        """Create a router without a configuration.

        Args:
          ports: The Ports of the dispatcher (timers, random, metrics).
          fleet: The Fleet.
          services: A ServicePort.
        """
        self._ports = ports
        self._fleet = fleet
        self._services = services
        self._budgets = {}
        self._flows = set()
        self.config = None

    @property
    def in_progress(self):
        """How many calls have not ended."""
        return len(self._flows)

    def submit(self, call, on_end):
        """Start a call.

        Args:
          call: A ServiceCall.
          on_end: A function of a ServiceAnswer or a Refusal, called once.
        """
        flow = ServiceFlow(self, call, on_end)
        self._flows.add(flow)
        flow.start()

    def choose(self, call, avoided):
        """Return a server for a call, or None.

        Args:
          call: A ServiceCall.
          avoided: Ids of servers that failed it.
        """
        now_ms = self.now_ms()
        members = [
            one
            for one in list_members(self.config, self._fleet, call.pool)
            if not one.is_leaving
            and one.identity not in avoided
            and one.breaker.allows(now_ms)
        ]
        if not members:
            return None
        self._ports.random.shuffle(members)
        return min(members, key=lambda one: one.in_flight)

    def take_retry(self, call):
        """Take a retry from the budget of a call's account and pool."""
        return self._budget(call).take()

    def note_end(self, flow, end):
        """Note that a call ended."""
        self._flows.discard(flow)
        if isinstance(end, ServiceAnswer):
            self._budget(flow.call).note_success()
            outcome = Outcome.OK
        else:
            outcome = end.outcome
        self._ports.metrics.count('service_calls_ended', outcome.value)

    def send(self, backend, call, listener):
        """Send a call to a server; see ServicePort."""
        return self._services.send(backend, call, listener)

    def after(self, delay_ms, callback):
        """Run a callback later; see TimerService."""
        return self._ports.timers.after(delay_ms, callback)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._ports.timers.clock.now_ms()

    def _budget(self, call):
        key = (call.account, call.pool)
        return self._budgets.setdefault(key, RetryBudget())


class ServiceFlow:
    """One call on its way."""

    __slots__ = (
        '_avoided',
        '_backend',
        '_sending',
        '_on_end',
        '_router',
        '_sent',
        '_timer',
        'call',
    )

    def __init__(self, router, call, on_end):
        """Create a flow; start() sends the call.

        Args:
          router: The ServiceRouter.
          call: A ServiceCall.
          on_end: A function of a ServiceAnswer or a Refusal.
        """
        self._router = router
        self._on_end = on_end
        self._avoided = set()
        self._backend = None
        self._sending = None
        self._sent = False
        self._timer = None
        self.call = call

    def start(self):
        """Send the call and watch its deadline."""
        remaining_ms = self.call.deadline_ms - self._router.now_ms()
        self._timer = self._router.after(remaining_ms, self._on_deadline)
        self._try_next()

    def on_answer(self, answer):
        """Take the server's whole answer.

        Args:
          answer: A ServiceAnswer.
        """
        self._free_backend()
        self._finish(answer)

    def on_not_run(self, text):
        """Take the server's own word that the call did not start.

        Args:
          text: What it said.
        """
        self._free_backend()
        self._finish(refuse_not_run('backend_refused', text, _HINT_MS))

    def on_failed(self, exc):
        """Take a failure.

        Args:
          exc: A BackendError.
        """
        backend = self._backend
        backend.breaker.note_failure(self._router.now_ms())
        backend.in_flight -= 1
        self._backend = None
        self._avoided.add(backend.identity)
        self._sent = self._sent or exc.sent
        if exc.sent and not self.call.repeatable:
            self._finish(self._unknown())
        elif not exc.sent or self._router.take_retry(self.call):
            self._try_next()
        else:
            self._finish(self._failed(str(exc)))

    def _try_next(self):
        backend = self._router.choose(self.call, self._avoided)
        if backend is None:
            self._finish(self._no_server())
            return
        self._backend = backend
        backend.in_flight += 1
        backend.breaker.note_start()
        self._sending = self._router.send(backend, self.call, self)

    def _on_deadline(self):
        if self._on_end is None:
            return
        if self._sending is not None:
            self._sending.cancel()
        if self._backend is not None:
            self._backend.breaker.note_abandoned()
            self._backend.in_flight -= 1
        if self.call.repeatable:
            self._finish(self._failed('the deadline has passed'))
        else:
            self._finish(self._unknown())

    def _free_backend(self):
        self._backend.breaker.note_success()
        self._backend.in_flight -= 1
        self._backend = None

    def _finish(self, end):
        if self._on_end is None:
            return
        on_end = self._on_end
        self._on_end = None
        if self._timer is not None:
            self._timer.cancel()
        self._router.note_end(self, end)
        on_end(end)

    def _no_server(self):
        if self._sent:
            return self._failed('no other backend server is left')
        return refuse_not_run(
            'no_backend',
            'no backend server of the pool takes calls now',
            _HINT_MS,
        )

    def _unknown(self):
        return Refusal(Outcome.UNKNOWN, 'unknown', _SENT_TEXT)

    def _failed(self, text):
        return Refusal(
            Outcome.FAILED,
            'backend_failed',
            text,
            retry_after_ms=_HINT_MS,
        )
