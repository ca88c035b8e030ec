"""Admission, queueing and placement of completions at one entry instance."""

from crankchute.core.candidates import (
    list_candidates,
    list_group_candidates,
)
from crankchute.core.completion_context import (
    MIN_RETRY_AFTER_MS,
    CompletionContext,
)
from crankchute.core.crash_history import CrashHistory
from crankchute.core.fair_queue import LaneQueue
from crankchute.core.group_flow import GroupFlow
from crankchute.core.outcomes import Outcome, refuse_not_run
from crankchute.core.policies import estimate_start_ms
from crankchute.core.retry_budget import RetryBudget
from crankchute.core.single_flow import SingleFlow

_USABLE_MEMORY_RATIO = 0.9
_GAP_SMOOTHING = 0.1
_MAX_WAITING = 5000


class DispatcherPorts:
    """The dependencies of a Dispatcher."""

    __slots__ = ('crashes', 'engines', 'metrics', 'random', 'timers')

    def __init__(self, *, engines, timers, random, metrics, crashes=None):
        """Create the record.

        Args:
          engines: An EnginePort.
          timers: A TimerService.
          random: A random.Random.
          metrics: A Metrics port.
          crashes: A CrashHistory, or None to create one.
        """
        if crashes is None:
            crashes = CrashHistory(timers.clock.now_ms)
        self.crashes = crashes
        self.engines = engines
        self.timers = timers
        self.random = random
        self.metrics = metrics


class Dispatcher:
    """Admits, queues and places completions.

    Attributes:
      config: The current Config.
      fleet: The Fleet.
    """

    def __init__(self, ports, fleet, limits, data_centre):
        """Create a dispatcher without a configuration.

        Args:
          ports: The DispatcherPorts.
          fleet: The Fleet.
          limits: The AccountLimits.
          data_centre: The name of the data centre of this instance.
        """
        self._ports = ports
        self._limits = limits
        self._context = CompletionContext(self, ports, data_centre)
        self._queue = LaneQueue()
        self._pumping = False
        self._pump_again = False
        self._flows = {}
        self._budgets = {}
        self._token_gap_ms = float(0)
        self.config = None
        self.fleet = fleet

    @property
    def in_progress(self):
        """The number of admitted requests that have not ended."""
        return len(self._flows)

    @property
    def waiting(self):
        """The number of requests that are waiting for an engine."""
        return len(self._queue)

    def now_ms(self):
        """Return the current time on this process's clock."""
        return self._ports.timers.clock.now_ms()

    def submit(self, job, sink):
        """Admit a request, or refuse it immediately.

        Args:
          job: A Job.
          sink: A RequestSink; it receives exactly one end.
        Returns:
          A flow that can be passed to cancel(), or None if refused.
        """
        refusal = self._check(job)
        if refusal is not None:
            self._ports.metrics.count('refusals', refusal.code)
            sink.on_refused(refusal)
            return None
        flow = self._make_flow(job, sink)
        self._flows[job.request_id] = flow
        flow.start()
        return flow

    def cancel(self, flow):
        """Cancel a request whose caller has disconnected."""
        flow.cancel()

    def enqueue(self, flow):
        """Add a flow to the queue and start the flows that can start."""
        if flow.ended:
            return
        account = self.config.accounts.get(flow.job.account)
        weight = 1 if account is None else account.weight
        self._queue.add(flow, weight)
        self.pump()

    def pump(self):
        """Start waiting flows, in queue order, while engines have capacity.

        A nested call makes the outer one run again instead of recursing.
        """
        if self._pumping:
            self._pump_again = True
            return
        self._pumping = True
        self._pump_again = True
        while self._pump_again:
            self._pump_again = False
            self._queue.start_ready(self._start)
        self._pumping = False

    def record_end(self, flow, outcome):
        """Release the resources of a request that ended."""
        job = flow.job
        if self._flows.pop(job.request_id, None) is None:
            return
        self._queue.discard(flow)
        account = self.config.accounts.get(job.account)
        if account is not None:
            self._limits.usage_of(account).release()
        if outcome == Outcome.OK:
            self._budget(job.account).record_success()
            # Admission predicts durations with the mean time between tokens.
            change_ms = flow.token_gap_ms() - self._token_gap_ms
            self._token_gap_ms += _GAP_SMOOTHING * change_ms
        self._ports.metrics.count('requests_ended', outcome.value)
        self.pump()

    def take_retry(self, job):
        """Take a retry from the account's budget; return False if empty."""
        return self._budget(job.account).take()

    def candidates(self, job):
        """Return the engines that may receive a job now."""
        return list_candidates(self.config, self.fleet, job, self.now_ms())

    def group_candidates(self, job, avoided):
        """Return the engines that may join a group for a job."""
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
        """Return the number of engines that a job needs, or None."""
        usable = _largest_memory(self.candidates(job))
        if not usable:
            return None
        return -(-(job.tokens + job.max_tokens) // int(usable))

    def _start(self, flow):
        return flow.ended or flow.run()

    def _make_flow(self, job, sink):
        needed = job.tokens + job.max_tokens
        if needed > _largest_memory(self.candidates(job)):
            return GroupFlow(job, self._context, sink)
        return SingleFlow(job, self._context, sink)

    def _check(self, job):
        refusal = self._context.crash_detector.find_refusal(job)
        if refusal is not None:
            return refusal
        if len(self._queue) >= _MAX_WAITING:
            return refuse_not_run(
                'overloaded',
                'too many requests wait',
                MIN_RETRY_AFTER_MS,
            )
        candidates = self.candidates(job)
        if not candidates:
            return refuse_not_run(
                'no_engine',
                'no engine can serve this now',
                MIN_RETRY_AFTER_MS,
            )
        return self._check_deadline(job, candidates) or self._check_account(job)

    def _check_deadline(self, job, candidates):
        remaining_ms = job.remaining_ms(self.now_ms())
        needed_ms = self._predict_ms(job, candidates)
        if needed_ms <= remaining_ms:
            return None
        return refuse_not_run(
            'deadline_too_near',
            f'about {round(needed_ms)} ms would be needed',
            max(needed_ms - remaining_ms, MIN_RETRY_AFTER_MS),
        )

    def _check_account(self, job):
        account = self.config.accounts[job.account]
        usage = self._limits.usage_of(account)
        retry_after_ms = usage.admit(job.tokens, self.now_ms())
        if retry_after_ms is None:
            return None
        return refuse_not_run(
            'account_limit',
            f'account {job.account!r} is at its limit',
            max(retry_after_ms, MIN_RETRY_AFTER_MS),
        )

    def _predict_ms(self, job, candidates):
        view = self._context.view(job)
        starts_ms = [estimate_start_ms(one, view) for one in candidates]
        rate = sum(one.load.prefill_rate for one in candidates)
        queued_ms = self._queue.tokens_ahead(job) / rate
        return queued_ms + min(starts_ms) + self._token_gap_ms * job.max_tokens

    def _budget(self, account):
        return self._budgets.setdefault(account, RetryBudget())


def _largest_memory(candidates):
    totals = [one.load.memory_total for one in candidates]
    return max(totals, default=0) * _USABLE_MEMORY_RATIO
