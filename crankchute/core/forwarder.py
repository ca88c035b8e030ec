"""Accepts forwarded requests and provides their flows with shared services.

A chooser selects the backend server of each attempt.  The registry of choosers
has one for pools of model engines, one for plain services, and baselines for
experiments.
"""

from crankchute.core.attempt_context import (
    DEFAULT_RETRY_AFTER_MS,
    AttemptContext,
)
from crankchute.core.call_for_each import call_for_each_flow
from crankchute.core.crash_detector import CrashDetector
from crankchute.core.forward_flow import ForwardFlow
from crankchute.core.forward_job import Placement, PrefillHelper
from crankchute.core.outcomes import Outcome, refuse_not_run
from crankchute.core.permit_lending import NoLending
from crankchute.core.prompt_admission import OVERLOADED
from crankchute.core.relay import choose_relay, relay_stalled_at_ms
from crankchute.core.request_placement import choose_isolated
from crankchute.core.shutdown_admission import ShutdownAdmission
from crankchute.core.silent_attempts import SilentAttempts
from crankchute.core.sliding_budget import RetryBudgets
from crankchute.ports.forwarding import MOVED


class Forwarder(AttemptContext):
    """Serves forwarded requests and tracks those in progress.

    Attributes:
      port: The ForwardPort.
      metrics: A Metrics port.
      journal: A ForwardJournal, which logs decisions.
      crash_detector: The CrashDetector.
      lending: The PermitLending.
      paths: The ServerPaths.
      find_chooser: A function that maps a pool name to a Chooser or None.
      flows: The ForwardFlows in progress, a set.
      budgets: The RetryBudgets.
      shutdown: The ShutdownAdmission.
    """

    def __init__(self, ports, limits, ended_counter='requests_ended'):
        """Create an instance without requests.

        Args:
          ports: A ForwarderPorts.
          limits: RetryLimits.
          ended_counter: The name of the metric that counts ended requests by
            outcome.
        """
        self._ended_counter = ended_counter
        self._timers = ports.timers
        self.find_chooser = ports.find_chooser
        self.budgets = RetryBudgets(limits)
        self.flows = set()
        self._hints = ports.hints
        self.shutdown = ShutdownAdmission(self, ports.hints)
        self._record_moved = ports.record_moved
        self._reservations = ports.reservations
        self.crash_detector = CrashDetector(
            ports.crashes,
            ports.forward,
            ports.timers,
            ports.journal.log_crash,
            confirm=lambda *args: self.paths.confirm_crash(*args),
        )
        self.lending = NoLending()
        self._silent_attempts = SilentAttempts(self)
        self.port = ports.forward
        self.metrics = ports.metrics
        self.journal = ports.journal

    @property
    def in_progress(self):
        """The number of requests in progress."""
        return len(self.flows)

    def submit(self, job, sink):
        """Start serving a request.

        Args:
          job: A ForwardJob.
          sink: An AnswerSink; it receives exactly one end.
        Returns:
          A ForwardFlow, whose cancel() cancels the request.
        """
        self.journal.log_request(job)
        if job.relay is None:
            # A relayed request counts at the instance that retries it.
            self.budgets.of(job).record_request(self.now_ms())
        flow = ForwardFlow(job, self, sink)
        self.flows.add(flow)
        flow.start()
        return flow

    def record_instances(self, count):
        """Set the number of instances that share the retry budget.

        The number never decreases.

        Args:
          count: An int.
        """
        self.budgets.record_instances(count)

    def record_restarted(self, backend):
        """End the attempts at a server that restarted.

        Args:
          backend: The Backend of the previous incarnation.
        """

        def end(flow):
            attempt = flow.attempt
            if attempt is not None and attempt.placement.uses(backend):
                text = f'{backend.identity} started again'
                attempt.end_lost(backend, text)

        call_for_each_flow(end, self.flows)

    def now_ms(self):
        """Return the current time on this process's clock."""
        return self._timers.clock.now_ms()

    def after(self, delay_ms, callback):
        """Schedule a callback; see TimerService."""
        return self._timers.after(delay_ms, callback)

    def choose_retry_after_ms(self, job):
        """See AttemptContext; hints are jittered to spread out retries."""
        remaining_ms = job.remaining_ms(self.now_ms())
        return self._hints.choose_ms(remaining_ms, DEFAULT_RETRY_AFTER_MS)

    def choose(self, flow, avoided):
        """Choose the servers of a request's next attempt.

        Args:
          flow: A ForwardFlow.
          avoided: Ids of servers to which the request must not be sent.
        Returns:
          A Placement, or a Refusal.
        """
        refusal = self.shutdown.find_refusal(flow)
        if refusal is not None:
            return refusal
        job = flow.job
        chooser = self.find_chooser(job.pool)
        if chooser is None or not chooser.accepts(job):
            return refuse_not_run('no_pool', f'there is no pool {job.pool!r}')
        refusal = self.crash_detector.find_refusal(job)
        if refusal is not None:
            return refusal
        if self.paths.is_lost(job.pool):
            return choose_relay(self.paths, job, avoided)
        if self.crash_detector.is_suspect(job):
            choice = choose_isolated(chooser, job, avoided)
        else:
            choice = chooser.choose(job, avoided)
        if isinstance(choice, Placement):
            chooser.record_sent(job, choice)
        elif choice.inputs is not None:
            record_not_admitted(self.journal, self.metrics, job, choice)
        return choice

    def stalled_at_ms(self, flow, attempt):
        """Return the time when a silent attempt counts as stalled, or None."""
        if attempt.placement.is_relayed:
            return relay_stalled_at_ms(flow.job, attempt)
        chooser = attempt.placement.chooser
        if chooser is None:
            return None
        return chooser.stalled_at_ms(flow.job, attempt)

    def overdue_at_ms(self, flow, attempt):
        """Return when an attempt without an event counts as overdue."""
        chooser = attempt.placement.chooser
        if chooser is None:
            return flow.job.deadline_ms
        return chooser.overdue_at_ms(flow.job, attempt)

    def handle_silence(self, flow, attempt):
        """See AttemptContext."""
        self._silent_attempts.judge(flow, attempt)

    def take_retry(self, job):
        """Take a retry from the pool's budget; return False if empty."""
        taken = self.budgets.of(job).take(self.now_ms())
        self.metrics.count('retries' if taken else 'retries_denied')
        return taken

    def reserve(self, flow, placement, on_done):
        """Reserve the memory that a placement needs at its helpers.

        Args:
          flow: The ForwardFlow.
          placement: A Placement with tickets.
          on_done: A function of the PrefillHelpers that refused the
            reservation.
        Returns:
          A Reservation.
        """
        chooser = placement.chooser

        def on_refused(helper):
            if chooser is not None:
                known_tokens = chooser.record_memory_refused(helper)
                self.journal.log_memory_refused(
                    flow.job.request_id, helper, known_tokens
                )

        def on_reserved(refused):
            decoder = PrefillHelper(placement.backend)
            if not refused and chooser and not chooser.still_fits(placement):
                self.journal.log_memory_refused(
                    flow.job.request_id, decoder, None
                )
                refused = [decoder]
            on_done(refused)

        return self._reservations.reserve(
            flow.job.request_id,
            placement.tickets,
            on_reserved,
            on_refused,
        )

    def record_freed(self, flow, placement):
        """Record that a placement no longer uses its servers."""
        chooser = placement.chooser
        if chooser is not None:
            chooser.record_end(flow.job, placement)

    def record_attempt(self, flow, attempt, cause):
        """Record that a request is sent to a server."""
        if attempt.placement.is_relayed:
            self.metrics.count('requests_relayed')
        self.journal.log_attempt(flow, attempt, cause)

    def record_first_event(self, flow, attempt):
        """Record the first event of an attempt and its prediction error."""
        placement = attempt.placement
        chooser = placement.chooser
        if chooser is not None:
            chooser.record_first_event(flow.job, placement)
        if flow.job.size is None or placement.first_ms is None:
            return
        actual_ms = attempt.first_ms - attempt.sent_ms
        error_ms = actual_ms - placement.first_ms
        self.metrics.observe_prediction(flow.job.size.prompt, error_ms)
        if chooser is not None:
            chooser.record_first_event_latency(placement, actual_ms)

    def record_load(self, flow, attempt, load):
        """Record the load that a server reported with its answer."""
        chooser = attempt.placement.chooser
        if chooser is not None:
            chooser.record_load(attempt.backend, load)

    def record_attempt_end(self, flow, attempt, cause):
        """Record the end of an attempt."""
        self.journal.log_attempt_end(flow, attempt, cause)

    def record_failed(self, flow, attempt, exc):
        """Record an attempt that ended without an answer."""
        self.metrics.count('attempts_failed', classify_failure(exc))
        super().record_failed(flow, attempt, exc)

    def record_rejection(self, flow, attempt, rejection):
        """Record that a server rejected a request."""
        self.metrics.count('engine_refusals', rejection.code)
        if attempt.placement.is_relayed:
            return
        server = attempt.placement.find_rejecting_server(rejection.at_server)
        if rejection.code == MOVED:
            self._record_moved(server)
        elif rejection.retry_after_ms:
            # A helper's pause is reported by the server that got the request.
            server.pause_until(self.now_ms() + rejection.retry_after_ms)

    def record_dropped(self, flow, attempt):
        """Count an event that the caller already received."""
        self.metrics.count('frames_dropped')

    def record_end(self, flow, outcome, code):
        """Record the end of a request, and drop it.

        Parts of a flow refer to each other, so that the request would stay in
        memory until they are collected.
        """
        flow.job.payload = None
        self.flows.discard(flow)
        self.metrics.count(self._ended_counter, outcome.value)
        waited_ms = self.now_ms() - flow.job.arrived_ms
        self.metrics.observe_request(flow.job.pool, waited_ms)
        if outcome == Outcome.NOT_RUN:
            self.metrics.count('refusals', code)
        elif outcome == Outcome.OK:
            self.shutdown.record_answered(flow.job, waited_ms)
        self.journal.log_end(flow, outcome, code)


def record_not_admitted(journal, metrics, job, refusal):
    """Log and count the refusal of a prompt.

    Args:
      journal: A ForwardJournal.
      metrics: A Metrics port.
      job: A ForwardJob.
      refusal: A Refusal with inputs.
    """
    if refusal.code != OVERLOADED:
        journal.log_no_memory(job.request_id, refusal)
        return
    journal.log_not_admitted(job, refusal)
    if refusal.inputs['excess'] > 1:
        metrics.count('refused_over_share')


def classify_failure(exc):
    """Return the label under which a failed attempt is counted.

    Args:
      exc: A BackendError.
    """
    if not exc.sent:
        return 'not_connected'
    return 'connection_lost' if exc.connection_lost else 'no_answer'


class ForwarderPorts:
    """The dependencies of a Forwarder."""

    __slots__ = (
        'crashes',
        'find_chooser',
        'forward',
        'hints',
        'journal',
        'metrics',
        'record_moved',
        'reservations',
        'timers',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: `forward`, a ForwardPort; `timers`, a TimerService;
            `metrics`, a Metrics port; `journal`, a ForwardJournal;
            `reservations`, a ReservationManager; `hints`, RetryHints;
            `crashes`, a CrashHistory;
            `find_chooser`, a function that maps a pool name to a Chooser or
            None;
            `record_moved`, a function of a Backend whose address another server
            has taken over, as that server reported.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])
