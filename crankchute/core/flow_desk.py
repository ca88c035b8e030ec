"""What the flows of requests ask for: engines, retries, and their turn."""

from crankchute.core.candidates import is_usable
from crankchute.core.outcomes import Outcome, Refusal
from crankchute.core.policies import (
    RoutingView,
    estimate_start_ms,
    routing_policies,
)

SMALLEST_HINT_MS = 200
_WINDOW_MS = 250
_REQUEUE_MS = 40


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

    def note_first(self, flow):
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

    def expire(self, flow):
        """End a request whose deadline has passed."""
        self._dispatcher.expire(flow)

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


def _failure_of(exc):
    return Refusal(
        Outcome.FAILED,
        'engine_failed',
        str(exc),
        retry_after_ms=SMALLEST_HINT_MS,
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
