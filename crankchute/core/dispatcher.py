"""Admission, queueing and placement of completions at one entry instance."""

from crankchute.core.candidates import (
    is_usable,
    list_candidates,
    list_group_candidates,
)
from crankchute.core.fair_queue import LaneQueue
from crankchute.core.group_flow import GroupFlow
from crankchute.core.outcomes import Outcome, Refusal, refuse_not_run
from crankchute.core.policies import (
    RoutingView,
    estimate_start_ms,
    routing_policies,
)
from crankchute.core.retry_budget import RetryBudget
from crankchute.core.single_flow import SingleFlow

_WINDOW_MS = 250
_USABLE_MEMORY = 0.9
_REQUEUE_MS = 40
_SMALLEST_HINT_MS = 200
_GAP_WEIGHT = 0.1
_MOST_WAITING = 5000


class Choice:
    """An engine chosen for a job, with the predicted time to first token."""

    __slots__ = ('backend', 'start_ms')

    def __init__(self, backend, start_ms):
        """Create the choice.

        Args:
          backend: A Backend.
          start_ms: Milliseconds, a float.
        """
        self.backend = backend
        self.start_ms = start_ms


class Ports:
    """What a dispatcher works with."""

    __slots__ = ('engines', 'metrics', 'random', 'timers')

    def __init__(self, *, engines, timers, random, metrics):
        """Gather the ports.

        Args:
          engines: An EnginePort.
          timers: A TimerService.
          random: A random.Random.
          metrics: A Metrics port.
        """
        self.engines = engines
        self.timers = timers
        self.random = random
        self.metrics = metrics


class FlowDesk:
    """What flows ask of the dispatcher: choices, retries, queueing."""

    def __init__(self, dispatcher, ports, data_centre):
        """Create the desk of a dispatcher.

        Args:
          dispatcher: The Dispatcher.
          ports: The Ports.
          data_centre: Where this instance runs.
        """
        self._dispatcher = dispatcher
        self._random = ports.random
        self._data_centre = data_centre
        self._choices = 0
        self.engines = ports.engines
        self.timers = ports.timers
        self.metrics = ports.metrics

    def view(self, job):
        """Return the RoutingView of a job."""
        self._choices += 1
        return RoutingView(
            job,
            self.timers.clock.now_ms(),
            self._random,
            self._data_centre,
            self._choices,
        )

    def choose(self, job, avoided):
        """Choose an engine with room for a job.

        Args:
          job: The Job.
          avoided: Ids of engines that failed it; used only if no other is
            left.
        Returns:
          A Choice, or None if the job must wait.
        """
        candidates = self._dispatcher.candidates(job)
        candidates = _prefer(candidates, avoided)
        candidates = [one for one in candidates if _has_room(one, job)]
        if not candidates:
            return None
        view = self.view(job)
        policy = routing_policies[self._dispatcher.config.policy.routing]
        backend = policy(candidates, view)
        return Choice(backend, estimate_start_ms(backend, view))

    def choose_group(self, job, avoided):
        """Choose the engines for a prompt beyond one engine's memory.

        Args:
          job: The Job.
          avoided: Ids of engines that failed it.
        Returns:
          A list of Backend in the order of their ids, or None.
        """
        members = self._dispatcher.group_candidates(job, avoided)
        size = self._dispatcher.group_size(job)
        if size is None:
            return None
        share = (job.tokens + job.max_tokens) / size
        members = [one for one in members if _free_memory(one) > share]
        if len(members) < size:
            return None
        members.sort(key=_long_then_free)
        return sorted(members[:size], key=_identity_of)

    def choose_spare(self, job, used):
        """Choose an engine to replace a lost one.

        Args:
          job: The Job.
          used: Ids of engines that cannot be taken.
        Returns:
          A Backend or None.
        """
        spares = self._dispatcher.group_candidates(job, used)
        return max(spares, key=_free_memory, default=None)

    def predict_ms(self, backend, job):
        """Predict the time to a job's first token on an engine."""
        return estimate_start_ms(backend, self.view(job))

    def is_usable(self, backend, job):
        """Tell whether an engine may get work for a job."""
        return is_usable(backend, job.model, self.timers.clock.now_ms())

    def count_tokens(self, job, part):
        """Return the length of a part of a job's prompt, in tokens."""
        share = len(part) / max(len(job.prompt), 1)
        return int(job.tokens * share) + job.max_tokens + 1

    def note_first(self, flow, _backend):
        """Note a request's first token; an engine has room again."""
        job = flow.job
        if flow.delivered == 0:
            waited = self.timers.clock.now_ms() - job.arrived_ms
            self.metrics.observe_first_token(job, waited)
        self._dispatcher.pump()

    def note_success(self, flow):
        """Note a whole answer."""
        self._dispatcher.note_end(flow, Outcome.OK)

    def note_refusal(self, backend, retry_after_ms):
        """Leave an engine alone until the time it asked for."""
        if retry_after_ms:
            until_ms = self.timers.clock.now_ms() + retry_after_ms
            backend.refused_until_ms = until_ms

    def requeue(self, flow):
        """Let a flow wait again, after a short random pause."""
        pause_ms = _REQUEUE_MS * (1 + self._random.random())
        self.timers.after(pause_ms, lambda: self._dispatcher.enqueue(flow))

    def may_retry(self, flow, exc):
        """Take a retry from the budget, or end the request.

        Args:
          flow: A flow whose attempt failed.
          exc: The BackendError.
        Returns:
          True if the flow may try again.
        """
        remaining_ms = flow.job.remaining_ms(flow.now_ms())
        if remaining_ms > 0 and self._dispatcher.take_retry(flow.job):
            self.metrics.count('retries')
            return True
        self._dispatcher.end(flow, _failure_of(exc))
        return False

    def retry_or_end(self, flow, exc):
        """Retry a failed attempt elsewhere if the budget allows it."""
        if self.may_retry(flow, exc):
            self._dispatcher.enqueue(flow)


class Dispatcher:
    """Serves completions: admits, queues, places, and ends them in time.

    Attributes:
      config: The Config in force.
      fleet: The Fleet.
    """

    def __init__(self, ports, fleet, limits, data_centre):
        """Create a dispatcher without a configuration.

        Args:
          ports: The Ports.
          fleet: The Fleet.
          limits: The AccountLimits.
          data_centre: Where this instance runs.
        """
        self._ports = ports
        self._limits = limits
        self._desk = FlowDesk(self, ports, data_centre)
        self._queue = LaneQueue()
        self._pumping = False
        self._pump_again = False
        self._flows = {}
        self._budgets = {}
        self._gap_ms = float(0)
        self.config = None
        self.fleet = fleet

    @property
    def in_progress(self):
        """How many requests are admitted and have not ended."""
        return len(self._flows)

    @property
    def waiting(self):
        """How many of them wait for an engine."""
        return len(self._queue)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._ports.timers.clock.now_ms()

    def submit(self, job, sink):
        """Admit a request or refuse it at once.

        Args:
          job: A Job.
          sink: A RequestSink; its end is told exactly once.
        Returns:
          A flow whose cancel is done by cancel(), or None if refused.
        """
        refusal = self._check(job)
        if refusal is not None:
            self._ports.metrics.count('refusals', refusal.code)
            sink.on_refused(refusal)
            return None
        flow = self._make_flow(job, sink)
        self._flows[job.request_id] = flow
        remaining_ms = job.remaining_ms(self.now_ms())
        timers = self._ports.timers
        timers.after(remaining_ms, lambda: self._on_deadline(flow))
        self.enqueue(flow)
        return flow

    def cancel(self, flow):
        """Give up a request whose caller is gone."""
        if not flow.ended:
            flow.cancel()
            self.note_end(flow, Outcome.FAILED)

    def enqueue(self, flow):
        """Start a flow, or let it wait for its turn."""
        if flow.ended:
            return
        account = self.config.accounts.get(flow.job.account)
        weight = 1 if account is None else account.weight
        self._queue.add(flow, weight)
        self.pump()

    def pump(self):
        """Start the waiting flows that find room, in their order."""
        if self._pumping:
            self._pump_again = True
            return
        self._pumping = True
        self._pump_again = True
        while self._pump_again:
            self._pump_again = False
            self._queue.start_ready(self._start)
        self._pumping = False

    def end(self, flow, refusal):
        """End a request without an answer."""
        if not flow.ended:
            flow.end(refusal)
            self.note_end(flow, refusal.outcome)

    def end_all(self, refusal):
        """End every request in progress, as when the process must go."""
        for flow in tuple(self._flows.values()):
            self.end(flow, refusal)

    def note_end(self, flow, outcome):
        """Free what an ended request used."""
        job = flow.job
        if self._flows.pop(job.request_id, None) is None:
            return
        self._queue.discard(flow)
        account = self.config.accounts.get(job.account)
        if account is not None:
            self._limits.use_of(account).release()
        if outcome == Outcome.OK:
            self._budget(job.account).note_success()
        self._ports.metrics.count('requests_ended', outcome.value)
        self.pump()

    def take_retry(self, job):
        """Take one retry from the account's budget, if there is one."""
        return self._budget(job.account).take()

    def candidates(self, job):
        """Return the engines that may get a job now."""
        return list_candidates(self.config, self.fleet, job, self.now_ms())

    def group_candidates(self, job, avoided):
        """Return the engines that may be members of a group for a job."""
        size = self.group_size(job) or 1
        members = list_group_candidates(
            self.config,
            self.fleet,
            job,
            self.now_ms(),
            size + len(avoided),
        )
        return [one for one in members if one.identity not in avoided]

    def group_size(self, job):
        """Return how many engines a job's prompt needs, or None."""
        usable = _largest_memory(self.candidates(job))
        if not usable:
            return None
        return -(-(job.tokens + job.max_tokens) // int(usable))

    def _start(self, flow):
        return flow.ended or flow.run()

    def _make_flow(self, job, sink):
        needed = job.tokens + job.max_tokens
        if needed > _largest_memory(self.candidates(job)):
            return GroupFlow(job, self._desk, sink)
        return SingleFlow(job, self._desk, sink)

    def _check(self, job):
        if len(self._queue) >= _MOST_WAITING:
            return refuse_not_run(
                'overloaded',
                'too many requests wait',
                _SMALLEST_HINT_MS,
            )
        candidates = self.candidates(job)
        if not candidates:
            return refuse_not_run(
                'no_engine',
                'no engine can serve this now',
                _SMALLEST_HINT_MS,
            )
        return self._check_time(job, candidates) or self._check_account(job)

    def _check_time(self, job, candidates):
        remaining_ms = job.remaining_ms(self.now_ms())
        needed_ms = self._predict_ms(job, candidates)
        if needed_ms <= remaining_ms:
            return None
        return refuse_not_run(
            'deadline_too_near',
            f'about {round(needed_ms)} ms would be needed',
            max(needed_ms - remaining_ms, _SMALLEST_HINT_MS),
        )

    def _check_account(self, job):
        account = self.config.accounts[job.account]
        use = self._limits.use_of(account)
        retry_after_ms = use.admit(job.tokens, self.now_ms())
        if retry_after_ms is None:
            return None
        return refuse_not_run(
            'account_limit',
            f'account {job.account!r} is at its limit',
            max(retry_after_ms, _SMALLEST_HINT_MS),
        )

    def _predict_ms(self, job, candidates):
        view = self._desk.view(job)
        starts = [estimate_start_ms(one, view) for one in candidates]
        rate = sum(one.load.prefill_rate for one in candidates)
        queued_ms = self._queue.tokens_before(job) / rate
        return queued_ms + min(starts) + self._gap_ms * job.max_tokens

    def _budget(self, account):
        return self._budgets.setdefault(account, RetryBudget())

    def _on_deadline(self, flow):
        if flow.ended:
            return
        outcome = Outcome.FAILED if flow.dispatched else Outcome.NOT_RUN
        refusal = Refusal(
            outcome,
            'deadline_exceeded',
            'the deadline has passed',
            retry_after_ms=_SMALLEST_HINT_MS,
        )
        self.end(flow, refusal)


def _failure_of(exc):
    return Refusal(
        Outcome.FAILED,
        'engine_failed',
        str(exc),
        retry_after_ms=_SMALLEST_HINT_MS,
    )


def _has_room(backend, job):
    if not backend.pending_tokens:
        return True
    window = backend.load.prefill_rate * _WINDOW_MS
    return backend.pending_tokens + job.tokens <= window


def _prefer(candidates, avoided):
    fresh = [one for one in candidates if one.identity not in avoided]
    return fresh or candidates


def _free_memory(backend):
    return backend.load.memory_free


def _long_then_free(backend):
    return (backend.serving_long, -backend.load.memory_free)


def _identity_of(backend):
    return backend.identity


def _largest_memory(candidates):
    totals = [one.load.memory_total for one in candidates]
    return max(totals, default=0) * _USABLE_MEMORY
