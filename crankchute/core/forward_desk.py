"""The forwarding engine: takes requests, and answers what flows ask for.

Which backend server gets a request is decided by a chooser; choosers are in
a registry, one for pools of model engines and one for plain services, beside
baselines that experiments compare them with.
"""

from crankchute.core.attempt_context import (
    DEFAULT_RETRY_AFTER_MS,
    AttemptContext,
)
from crankchute.core.crash_watch import CrashWatch
from crankchute.core.forward_flow import ForwardFlow
from crankchute.core.forward_job import Placement
from crankchute.core.outcomes import Outcome, refuse_not_run
from crankchute.core.sliding_budget import SlidingBudget
from crankchute.core.turn_lending import NoLending
from crankchute.ports.forwarding import MOVED


class ForwardDesk(AttemptContext):
    """Serves forwarded requests and knows those in progress.

    Attributes:
      port: The ForwardPort.
      metrics: A Metrics port.
      journal: A ForwardJournal, which logs decisions.
      crash_watch: The CrashWatch.
      lending: The TurnLending.
      chooser_of: A function from a pool's name to a Chooser or None.
    """

    def __init__(self, ports, limits, ended_counter='requests_ended'):
        """Create a desk without choosers.

        Args:
          ports: A ForwardPorts.
          limits: RetryLimits.
          ended_counter: The counter of ended requests, by outcome.
        """
        self._ended_counter = ended_counter
        self._timers = ports.timers
        self._limits = limits
        self.chooser_of = ports.chooser_of
        self._budgets = {}
        self._instances = 1
        self._flows = set()
        self._hints = ports.hints
        self._note_moved = ports.note_moved
        self._reservations = ports.reservations
        self.crash_watch = CrashWatch(
            ports.crashes,
            ports.forward,
            ports.timers,
            ports.journal.log_crash,
        )
        self.lending = NoLending()
        self.port = ports.forward
        self.metrics = ports.metrics
        self.journal = ports.journal

    @property
    def in_progress(self):
        """How many requests have not ended, an int."""
        return len(self._flows)

    def submit(self, job, sink):
        """Start to serve a request.

        Args:
          job: A ForwardJob.
          sink: An AnswerSink; its end is told exactly once.
        Returns:
          A ForwardFlow, whose cancel() gives the request up.
        """
        self.journal.log_request(job)
        self._budget(job).note_request(self.now_ms())
        flow = ForwardFlow(job, self, sink)
        self._flows.add(flow)
        flow.start()
        return flow

    def note_instances(self, count):
        """Note how many instances share the retry budget.

        Args:
          known: An int.
        """
        self._instances = max(self._instances, count)
        for budget in self._budgets.values():
            budget.note_instances(count)

    def note_restarted(self, backend):
        """Note that a server started again, and runs nothing of before.

        Args:
          backend: The Backend of the start that is over.
        """
        for flow in tuple(self._flows):
            attempt = flow.attempt
            if attempt is not None and attempt.placement.uses(backend):
                attempt.end_restarted(backend)

    def change_limits(self, limits):
        """Take other retry limits; what was used stays used.

        Args:
          limits: RetryLimits.
        """
        self._limits = limits
        for budget in self._budgets.values():
            budget.change_limits(limits)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._timers.clock.now_ms()

    def after(self, delay_ms, callback):
        """Run a callback later; see TimerService."""
        return self._timers.after(delay_ms, callback)

    def choose_retry_after_ms(self, job):
        """See AttemptContext; who is refused together comes back apart."""
        remaining_ms = job.remaining_ms(self.now_ms())
        return self._hints.choose_ms(remaining_ms, DEFAULT_RETRY_AFTER_MS)

    def choose(self, flow, avoided):
        """Choose where a request's next attempt runs.

        Args:
          flow: A ForwardFlow.
          avoided: Ids of servers that it must not be sent to again.
        Returns:
          A Placement, or a Refusal.
        """
        chooser = self.chooser_of(flow.job.pool)
        if chooser is None:
            return refuse_not_run(
                'no_pool',
                f'there is no pool {flow.job.pool!r}',
            )
        refusal = self.crash_watch.find_refusal(flow.job.fingerprint)
        if refusal is not None:
            return refusal
        if self.crash_watch.is_suspect(flow.job.fingerprint):
            choice = choose_alone(chooser, flow.job, avoided)
        else:
            choice = chooser.choose(flow.job, avoided)
        if isinstance(choice, Placement):
            chooser.note_sent(flow.job, choice)
        return choice

    def silent_until_ms(self, flow, attempt):
        """Return until when an attempt's server may be silent, or None."""
        chooser = self.chooser_of(flow.job.pool)
        if chooser is None:
            return None
        return chooser.silent_until_ms(flow.job, attempt)

    def overdue_at_ms(self, flow, attempt):
        """Return when an attempt without any answer is a sign of a fault."""
        chooser = self.chooser_of(flow.job.pool)
        if chooser is None:
            return flow.job.deadline_ms
        return chooser.overdue_at_ms(flow.job, attempt)

    def take_retry(self, job):
        """Take a retry of a job's pool from the budget, if there is one."""
        taken = self._budget(job).take(self.now_ms())
        self.metrics.count('retries' if taken else 'retries_denied')
        return taken

    def reserve(self, flow, placement, on_done):
        """Set aside the memory that a placement needs; see ReservationDesk.

        Args:
          flow: The ForwardFlow that needs it.
          placement: A Placement with tickets.
          on_done: A function of the Helpers that set nothing aside.
        Returns:
          A Reservation.
        """
        return self._reservations.reserve(
            flow.job.request_id,
            placement.tickets,
            on_done,
        )

    def note_freed(self, flow, placement):
        """Note that a job is no longer where it was placed."""
        chooser = self.chooser_of(flow.job.pool)
        if chooser is not None:
            chooser.note_end(flow.job, placement)

    def note_attempt(self, flow, attempt, cause):
        """Note that a request is sent to a server."""
        self.journal.log_attempt(flow, attempt, cause)

    def note_first(self, flow, attempt):
        """Note that a server began to answer with an event."""
        placement = attempt.placement
        chooser = self.chooser_of(flow.job.pool)
        if chooser is not None:
            chooser.note_first(flow.job, placement)
        if flow.job.size is None or placement.first_ms is None:
            return
        actual_ms = attempt.first_ms - attempt.sent_ms
        error_ms = actual_ms - placement.first_ms
        self.metrics.observe_prediction(flow.job.size.prompt, error_ms)
        if chooser is not None:
            chooser.note_pace(placement, actual_ms)

    def note_load(self, flow, attempt, load):
        """Note the load that a server told with its answer."""
        chooser = self.chooser_of(flow.job.pool)
        if chooser is not None:
            chooser.note_load(attempt.backend, load)

    def note_attempt_end(self, flow, attempt, cause):
        """Note that an attempt ended."""
        self.journal.log_attempt_end(flow, attempt, cause)

    def note_rejection(self, flow, attempt, rejection):
        """Note that a server did not take a request."""
        self.metrics.count('engine_refusals', rejection.code)
        server = attempt.placement.find_rejecting_server(rejection.at_server)
        if rejection.code == MOVED:
            self._note_moved(server)
        elif rejection.retry_after_ms:
            # A helper that wants rest says so through the one that was asked.
            server.leave_alone(self.now_ms() + rejection.retry_after_ms)

    def note_dropped(self, flow, attempt):
        """Count an event that the caller had already."""
        self.metrics.count('frames_dropped')

    def note_end(self, flow, outcome, code):
        """Note that a request ended."""
        self._flows.discard(flow)
        self.metrics.count(self._ended_counter, outcome.value)
        waited_ms = self.now_ms() - flow.job.arrived_ms
        self.metrics.observe_request(flow.job.pool, waited_ms)
        if outcome == Outcome.NOT_RUN:
            self.metrics.count('refusals', code)
        self.journal.log_end(flow, outcome, code)

    def _budget(self, job):
        account = job.account if self._limits.per_account else None
        key = (account, job.pool)
        budget = self._budgets.get(key)
        if budget is None:
            budget = SlidingBudget(self._limits)
            budget.note_instances(self._instances)
            self._budgets[key] = budget
        return budget


def choose_alone(chooser, job, avoided):
    """Choose where a request runs under which a server crashed.

    A server that works for nobody else is taken if there is any: if that ends
    too, no other answer is broken off, and nobody else can be the cause.

    Args:
      chooser: A Chooser.
      job: A ForwardJob.
      avoided: A set of ids of servers that must not be asked.
    Returns:
      A Placement, or a Refusal.
    """
    isolated = chooser.choose(job, avoided | chooser.list_busy())
    if isinstance(isolated, Placement):
        return isolated
    return chooser.choose(job, avoided)


class ForwardPorts:
    """What a desk works with."""

    __slots__ = (
        'chooser_of',
        'crashes',
        'forward',
        'hints',
        'journal',
        'metrics',
        'note_moved',
        'reservations',
        'timers',
    )

    def __init__(self, **fields):
        """Gather the ports.

        Args:
          fields: `forward`, a ForwardPort; `timers`, a TimerService;
            `metrics`, a Metrics port; `journal`, a ForwardJournal;
            `reservations`, a ReservationDesk; `hints`, ReturnHints;
            `crashes`, a CrashLedger;
            `chooser_of`, a function from a pool's name to a Chooser or None;
            `note_moved`, a function of a Backend that is no more at its
            address, as whoever is there now says.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])
