"""Load balancing over the backend servers of a pool."""

import abc

from crankchute.core.forward_job import Placement, RetryMode
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.registry import Registry

#: Chooser classes by name; each takes ChooserParts.
choosers = Registry()
#: The default chooser of plain services.
LEAST_BUSY = 'least-busy'

#: Refusal code: no server accepts requests from this instance at the moment.
PAUSED_OR_LIMITED = 'servers_rest'
#: Refusal code: the operator evacuates the data centres of all servers.
EVACUATED = 'evacuated'
#: The response timeout of an idempotent request, in multiples of its latency
#: goal.
_RESPONSE_TIMEOUT_FACTOR = 3
_MIN_RESPONSE_TIMEOUT_MS = 800
#: Extra load, in requests, of a server that fails every request.
_FAILURE_PENALTY = 5
#: Cost of opening a connection, in requests.  Below 1, so that it only breaks
#: ties.
_CONNECTION_COST = 0.5


class ChooserParts:
    """Dependencies of a chooser.

    Attributes:
      pool: The PoolConfig.
      members: A function that returns the Backends of the pool that accept
        new requests.
      timers: A TimerService.
      random: A random.Random.
      work_tracker: The EngineWorkTracker.
      announce_work: A function of a Change and a WorkItem that announces this
        instance's work to other instances.
      create_ticket_id: A function that returns the id of a new memory
        reservation.
      data_centre: The data centre of this instance.
      hints: The RetryHints for refused callers.
      is_connected: A function of a Backend that returns whether an idle
        connection to it is open.
      permits: The LimitPermits, this instance's part of the servers' rate
        limits.
      count_active: A function that returns the number of instances that callers
        are directed to.
      last_peer_message_age_ms: A function that returns the time since the last
        message from another instance, in milliseconds, or None.
      is_evacuated: A function that returns whether no server is left because
        data centres are evacuated; optional.
    """

    __slots__ = (
        'announce_work',
        'count_active',
        'create_ticket_id',
        'data_centre',
        'hints',
        'is_connected',
        'is_evacuated',
        'last_peer_message_age_ms',
        'members',
        'permits',
        'pool',
        'random',
        'timers',
        'work_tracker',
    )

    def __init__(self, **fields):
        """Set all attributes.

        Args:
          fields: A value for each attribute.
        """
        fields.setdefault('is_evacuated', _is_never_evacuated)
        for name in self.__slots__:
            setattr(self, name, fields[name])


class Chooser(abc.ABC):
    """Chooses servers for the requests of one pool; a base class.

    Attributes:
      needs_size: Whether it only places jobs with a PromptSize, a bool.
    """

    needs_size = False

    def __init__(self, parts):
        """Create the chooser.

        Args:
          parts: ChooserParts.
        """
        self._parts = parts

    def now_ms(self):
        """Return the time of this process's clock, in milliseconds."""
        return self._parts.timers.clock.now_ms()

    def usable(self, avoided, members=None):
        """Return the servers that accept a request now.

        Servers with an open circuit breaker are returned only if there are no
        others.  Servers that asked for a pause, or whose rate limit this
        instance has used up, are always excluded: idle as they are, they would
        be preferred over all others.

        Args:
          avoided: Ids of servers to exclude.
          members: The Backends to consider; None for the whole pool.
        Returns:
          A list of Backend.
        """
        if members is None:
            members = self._parts.members()
        now_ms = self.now_ms()
        has_permit = self._parts.permits.has_permit
        available = [
            backend
            for backend in self._list_available(members, avoided)
            if has_permit(backend.identity)
        ]
        return [
            backend for backend in available if backend.breaker.allows(now_ms)
        ] or available

    def list_without_permit(self, avoided):
        """Return the ids of servers excluded only by their rate limit.

        Args:
          avoided: Ids of servers to exclude.
        Returns:
          A list.
        """
        has_permit = self._parts.permits.has_permit
        return [
            backend.identity
            for backend in self._list_available(self._parts.members(), avoided)
            if not has_permit(backend.identity)
        ]

    def choose_on_server(self, job, server):
        """Place a job on a given server.

        Args:
          job: A ForwardJob.
          server: The server's id.
        Returns:
          A Placement, or a Refusal.
        """
        members = {backend.identity for backend in self._parts.members()}
        return self.choose(job, members - {server})

    def list_busy(self):
        """Return the ids of the servers with requests in progress, a set.

        Requests of other instances are known for engines only.
        """
        work_tracker = self._parts.work_tracker
        return {
            backend.identity
            for backend in self._parts.members()
            if backend.in_flight
            or (work_tracker and work_tracker.has_work(backend.identity))
        }

    @abc.abstractmethod
    def choose(self, job, avoided):
        """Choose the server of a request.

        Args:
          job: A ForwardJob.
          avoided: Ids of servers to exclude.
        Returns:
          A Placement, or a Refusal.
        """

    @abc.abstractmethod
    def stalled_at_ms(self, job, attempt):
        """Return the deadline of a server's next event, or None if unlimited.

        Args:
          job: A ForwardJob.
          attempt: The Attempt.
        """

    def overdue_at_ms(self, job, attempt):
        """Return when a missing response counts as a sign of a fault.

        Args:
          job: A ForwardJob.
          attempt: The Attempt.
        """
        return attempt.last_event_ms + job.goal_ms

    def accepts(self, job):
        """Return whether a job was read for servers of this kind.

        Args:
          job: A ForwardJob.
        """
        return job.size is not None or not self.needs_size

    def record_sent(self, job, placement):
        """Record that a job is about to be sent to its placement.

        Args:
          job: A ForwardJob.
          placement: The Placement, whose end is reported to this chooser.
        """
        placement.chooser = self

    def record_first_event(self, job, placement):
        """Record the first event of a job."""

    def record_first_event_latency(self, placement, actual_ms):
        """Record the latency of the first event of a placement."""

    def record_load(self, backend, load):
        """Record the load that a server stated in a response.

        Args:
          backend: A Backend.
          load: A ReportedLoad.
        """

    def record_polled_load(self, backend, load):
        """Record a load report that was polled from a server."""

    def record_memory_refused(self, helper):
        """Record that an engine refused a reservation.

        Args:
          helper: The PrefillHelper of the reservation.
        Returns:
          The memory of the known work there, in tokens.
        """
        state = self._parts.work_tracker.state(helper.backend.identity)
        state.record_refused(helper.tokens, self.now_ms())
        return state.memory

    def still_fits(self, placement):
        """Return whether the decoding engine has memory, as far as is known.

        Asked after the helpers have reserved theirs: other instances may have
        announced work at the engine meanwhile.

        Args:
          placement: A Placement whose sending was recorded.
        """
        return True

    def record_end(self, job, placement):
        """Record the end of a job."""

    def describe_state(self):
        """Return the state of decisions about the pool, a dict for display."""
        return {}

    def refuse(self):
        """Return the Refusal of a request for which there is no server.

        It has a retry hint if every server is pausing or rate limited, since
        the earliest end of that is known.
        """
        earliest_ms = min(
            map(self._retry_delay_ms, self._parts.members()), default=0
        )
        if earliest_ms > 0:
            return refuse_not_run(
                PAUSED_OR_LIMITED,
                'no backend server of the pool wants a request now',
                self._parts.hints.choose_at_least_ms(earliest_ms),
            )
        if self._parts.is_evacuated():
            return refuse_not_run(
                EVACUATED,
                'the data centres of the backend servers are evacuated',
            )
        return refuse_not_run(
            'no_backend',
            'no backend server of the pool takes requests now',
        )

    def _list_available(self, members, avoided):
        now_ms = self.now_ms()
        return [
            backend
            for backend in members
            if now_ms >= backend.paused_until_ms
            and backend.identity not in avoided
        ]

    def _retry_delay_ms(self, backend):
        """Return the time until a server accepts requests of this instance."""
        pause_ms = backend.paused_until_ms - self.now_ms()
        return max(pause_ms, self._parts.permits.wait_ms(backend.identity))


def _is_never_evacuated():
    return False


@choosers.register(LEAST_BUSY)
class LeastBusyChooser(Chooser):
    """Chooses the server with the fewest requests of this instance in flight."""

    def choose(self, job, avoided):
        """See Chooser."""
        members = self.usable(avoided)
        if not members:
            return self.refuse()
        self._parts.random.shuffle(members)
        return Placement(min(members, key=self._load))

    def stalled_at_ms(self, job, attempt):
        """See Chooser; requests that must not be repeated have no timeout."""
        if job.repeat != RetryMode.AGAIN:
            return None
        timeout_ms = max(
            job.goal_ms * _RESPONSE_TIMEOUT_FACTOR, _MIN_RESPONSE_TIMEOUT_MS
        )
        return attempt.last_event_ms + timeout_ms

    def _load(self, backend):
        chance = backend.failure_estimator.failure_probability(self.now_ms())
        load = backend.in_flight + chance * _FAILURE_PENALTY
        if not self._parts.is_connected(backend):
            load += _CONNECTION_COST
        return load


@choosers.register('random')
class RandomChooser(LeastBusyChooser):
    """Chooses a random server; a baseline for comparisons."""

    def choose(self, job, avoided):
        """See Chooser."""
        members = self.usable(avoided)
        if not members:
            return self.refuse()
        return Placement(self._parts.random.choice(members))
