"""Engine selection, retries and queueing for the flows of completions."""

from crankchute.core.attempt_context import AttemptContext
from crankchute.core.candidates import is_usable
from crankchute.core.crash_detector import CrashDetector
from crankchute.core.forward_job import Placement
from crankchute.core.policies import (
    RoutingView,
    estimate_start_ms,
    routing_policies,
)
from crankchute.core.single_flow import CompletionPort

MIN_RETRY_AFTER_MS = 200
_PENDING_WINDOW_MS = 250
_REQUEUE_DELAY_MS = 40
#: How long an engine may be silent between two tokens.
_STALL_TIMEOUT_MS = 2500
#: Before the first token, this multiple of the predicted time is added.
_FIRST_TOKEN_FACTOR = 3


class CompletionContext(AttemptContext):
    """The interface between a dispatcher and its flows.

    A flow is a request in progress.
    """

    def __init__(self, dispatcher, ports, data_centre):
        """Create the interface of a dispatcher.

        Args:
          dispatcher: The Dispatcher.
          ports: The DispatcherPorts.
          data_centre: The name of the data centre of this instance.
        """
        self._dispatcher = dispatcher
        self._random = ports.random
        self._data_centre = data_centre
        self._choice_count = 0
        self.engines = ports.engines
        self.port = CompletionPort(ports.engines, ports.metrics)
        self.crash_detector = CrashDetector(
            ports.crashes,
            self.port,
            ports.timers,
        )
        self.timers = ports.timers
        self.metrics = ports.metrics

    def view(self, job):
        """Return the RoutingView of a job."""
        self._choice_count += 1
        return RoutingView(
            job,
            self.timers.clock.now_ms(),
            self._random,
            self._data_centre,
            self._choice_count,
        )

    def choose(self, job, avoided):
        """Choose an engine with capacity for a job.

        Args:
          job: The Job.
          avoided: Ids of engines where the job failed; used only if there is
            no other candidate.
        Returns:
          A Placement, or None if the job must wait.
        """
        candidates = self._dispatcher.candidates(job)
        candidates = _without_avoided(candidates, avoided)
        candidates = [one for one in candidates if _has_room(one, job)]
        if not candidates:
            return None
        view = self.view(job)
        policy = routing_policies[self._dispatcher.config.policy.routing]
        backend = policy(candidates, view)
        first_ms = estimate_start_ms(backend, view)
        return Placement(backend, first_ms=first_ms)

    def choose_group(self, job, avoided):
        """Choose the engines for a prompt that exceeds one engine's memory.

        Args:
          job: The Job.
          avoided: Ids of engines where the job failed.
        Returns:
          A list of Backend sorted by id, or None.
        """
        members = self._dispatcher.group_candidates(job, avoided)
        size = self._dispatcher.group_size(job)
        if size is None:
            return None
        share = (job.tokens + job.max_tokens) / size
        members = [one for one in members if _free_memory(one) > share]
        if len(members) < size:
            return None
        members.sort(key=_group_preference)
        return sorted(members[:size], key=_identity_of)

    def choose_replacement(self, job, excluded):
        """Choose a replacement for a failed member of a group.

        Args:
          job: The Job.
          excluded: Ids of engines that are excluded.
        Returns:
          A Backend or None.
        """
        spares = self._dispatcher.group_candidates(job, excluded)
        return max(spares, key=_free_memory, default=None)

    def predict_ms(self, backend, job):
        """Return the predicted milliseconds to a job's first token."""
        return estimate_start_ms(backend, self.view(job))

    def is_usable(self, backend, job):
        """Return whether an engine may receive work for a job."""
        return is_usable(backend, job.model, self.timers.clock.now_ms())

    def count_tokens(self, job, part):
        """Return the tokens of a prompt segment plus the answer's maximum."""
        share = len(part) / max(len(job.prompt), 1)
        return int(job.tokens * share) + job.max_tokens + 1

    def now_ms(self):
        """Return the current time on this process's clock."""
        return self.timers.clock.now_ms()

    def after(self, delay_ms, callback):
        """Schedule a callback; see TimerService."""
        return self.timers.after(delay_ms, callback)

    def stalled_at_ms(self, flow, attempt):
        """Return the time at which a silent attempt counts as stalled."""
        allowed_ms = _STALL_TIMEOUT_MS
        if not attempt.started:
            first_ms = attempt.placement.first_ms
            allowed_ms += first_ms * _FIRST_TOKEN_FACTOR
        return attempt.last_event_ms + allowed_ms

    def take_retry(self, job):
        """Take a retry from the account's budget; return False if empty."""
        taken = self._dispatcher.take_retry(job)
        if taken:
            self.metrics.count('retries')
        return taken

    def record_attempt(self, flow, attempt, cause):
        """Record that a job is sent to an engine."""
        job = flow.job
        attempt.backend.record_sent(job.engine_priority, job.tokens)
        attempt.backend.long_prompt_count += job.is_long

    def record_first_event(self, flow, attempt):
        """Record an attempt's first token, which frees engine capacity."""
        job = flow.job
        now_ms = self.now_ms()
        attempt.backend.record_answered(job.engine_priority, job.tokens)
        if flow.first_ms is None:
            flow.first_ms = now_ms
            self.metrics.observe_first_token(job, now_ms - job.arrived_ms)
        self._dispatcher.pump()

    def record_left(self, flow, attempt):
        """Record that a job that was sent is no longer at its engine."""
        job = flow.job
        attempt.backend.long_prompt_count -= job.is_long
        if not attempt.started:
            attempt.backend.record_answered(job.engine_priority, job.tokens)

    def record_rejection(self, flow, attempt, rejection):
        """Pause an engine for the time that it asked for."""
        self.metrics.count('engine_refusals', rejection.code)
        self.pause_backend(attempt.backend, rejection.retry_after_ms)

    def pause_backend(self, backend, pause_ms):
        """Send no requests to an engine for some time.

        Args:
          backend: A Backend.
          pause_ms: Milliseconds, or None for no pause.
        """
        if pause_ms:
            backend.pause_until(self.now_ms() + pause_ms)

    def record_dropped(self, flow, attempt):
        """Count an event that the caller already received."""
        self.metrics.count('frames_dropped')

    def record_end(self, flow, outcome, code):
        """Record the end of a request."""
        self._dispatcher.record_end(flow, outcome)

    def enqueue(self, flow):
        """Add a flow to the queue."""
        self._dispatcher.enqueue(flow)

    def requeue(self, flow):
        """Add a flow to the queue again after a short, jittered delay."""
        pause_ms = _REQUEUE_DELAY_MS * (1 + self._random.random())
        self.timers.after(pause_ms, lambda: self._dispatcher.enqueue(flow))


def _has_room(backend, job):
    if not backend.pending_tokens:
        return True
    token_window = backend.load.prefill_rate * _PENDING_WINDOW_MS
    return backend.pending_tokens + job.tokens <= token_window


def _without_avoided(candidates, avoided):
    preferred = [one for one in candidates if one.identity not in avoided]
    return preferred or candidates


def _free_memory(backend):
    return backend.load.memory_free


def _group_preference(backend):
    return (backend.long_prompt_count, -backend.load.memory_free)


def _identity_of(backend):
    return backend.identity
