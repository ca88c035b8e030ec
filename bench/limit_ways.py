"""Simulation of rate limits of servers: `python -m bench.limit_ways`.

Compares policies for dividing the limits among instances.  Instances send
requests to a pool of servers in virtual time.  For some time, the servers
advertise in each response how many requests per second they accept from all
instances together.  Most clients use the few active instances, which pass
limits on to each other and to some of the others.  In the cases with failures,
one active instance is isolated for a while and two are replaced.  Results
depend on the seed only.
"""

import argparse
import random
from functools import partial

from bench.model_desk import EndSink, SentCall, make_plain_desk
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.limit_shares import WINDOW_MS
from crankchute.core.permit_lending import PermitBorrower, lend_permit
from crankchute.core.registry import Registry
from crankchute.core.retry_hints import RetryHints
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.ports.forwarding import AnswerHead, ForwardPort

#: Policies for dividing limits, by name.  Each is a function that configures an
#: Instance when it starts.
ways = Registry()
#: The name of the policy in use; the others are baselines for comparison.
BY_LENDING = 'holders, and turns are lent'

_SERVERS = 18
_SLOTS = 8
_SERVICE_TIME_MS = (100, 1500)
_REQUEST_INTERVAL_MS = 25
#: The latency of responses and of messages between instances.
_NETWORK_DELAY_MS = 3
_BROADCAST_INTERVAL_MS = 250
_HOME_MS = 500
#: The time until instances detect that another one is isolated.
_FAILURE_DETECTION_MS = 750
#: The fraction of requests that are sent to active instances only.
_ACTIVE_REQUEST_SHARE = 0.9
#: The period in which servers advertise limits.
_LIMIT_START_MS = 10_000
_LIMIT_END_MS = 40_000
_DURATION_MS = 60_000
#: The period in which an active instance is isolated, and the times at which
#: active instances are replaced.
_PARTITION_MS = (18_000, 28_000)
_REPLACEMENT_TIMES_MS = (22_000, 34_000)
#: The time that instances have to learn of a limit, agreed with the users.
_PROPAGATION_MS = 3000
#: The tolerated number of requests per window is the limit times this factor,
#: plus a constant.
_TOLERANCE_FACTOR = 1.5
_TOLERANCE_REQUESTS = 5
_MS_PER_SECOND = 1000


class Case:
    """A fleet and the limits that servers advertise.

    Attributes:
      instances: The number of instances.
      active: The number of active instances, which clients are sent to.
      servers: The number of servers with a limit, the first of the pool.
      limit: The limit in requests per second.
      is_quiet: Whether no instance is isolated or replaced, a bool.
    """

    __slots__ = ('active', 'instances', 'is_quiet', 'limit', 'servers')

    def __init__(self, instances, active, servers, limit, *, is_quiet=False):
        """Create the case."""
        self.is_quiet = is_quiet
        self.instances = instances
        self.active = active
        self.servers = servers
        self.limit = limit


CASES = (
    Case(8, 3, 6, 1),
    Case(8, 3, _SERVERS, 2, is_quiet=True),
    Case(8, 3, _SERVERS, 2),
    Case(24, 3, _SERVERS, 0.5, is_quiet=True),
    Case(24, 3, _SERVERS, 0.5),
    Case(780, 33, _SERVERS, 1),
)


class FixedShares:
    """A fixed fraction of each limit, the same at every instance."""

    def __init__(self, part):
        """Create the shares.

        Args:
          part: The fraction of each limit that an instance may use.
        """
        self._part = part

    def share_of(self, _server, _limit):
        """See LimitShares."""
        return self._part


class ReportedUsagePermits:
    """Permits by the number of requests that all instances reported."""

    def __init__(self, world, instance):
        """Create the permits of an Instance."""
        self._world = world
        self._instance = instance
        self._sent = {}

    def has_permit(self, server):
        """See LimitPermits."""
        limit = self._instance.limits.advertised.limit_of(server)
        if limit is None:
            return True
        since_ms = self._world.now_ms() - WINDOW_MS
        recent = [
            sent_ms
            for sent_ms in self._sent.get(server, ())
            if sent_ms > since_ms
        ]
        self._sent[server] = recent
        return len(recent) < max(limit * WINDOW_MS / _MS_PER_SECOND, 1)

    def record_sent(self, server):
        """See LimitPermits; also reports the request to reachable instances."""
        self.add_request(server)
        for instance in self._world.list_reachable(self._instance):
            if instance is not self._instance:
                add_request = partial(instance.permits.add_request, server)
                self._world.timers.after(_NETWORK_DELAY_MS, add_request)

    def add_request(self, server):
        """Count a request that this or another instance sent."""
        self._sent.setdefault(server, []).append(self._world.now_ms())

    def wait_ms(self, server):
        """See LimitPermits."""
        return 0 if self.has_permit(server) else _MS_PER_SECOND


@ways.register('ignored')
def ignore_limits(instance):
    """Ignore limits; a baseline."""
    instance.uses_limits = False


@ways.register('each for itself')
def use_whole_limit(instance):
    """Let each instance use the whole limit."""
    instance.limits.permits._shares = FixedShares(1)  # noqa: SLF001


@ways.register('even over all')
def divide_evenly(instance):
    """Give each instance an equal share, even if it gets no requests."""
    part = 1 / instance.world.case.instances
    instance.limits.permits._shares = FixedShares(part)  # noqa: SLF001


@ways.register('counted by what is told')
def count_reported(instance):
    """Count the requests that all instances report to each other."""
    instance.permits = ReportedUsagePermits(instance.world, instance)


@ways.register('holders by hash')
def divide_by_hash(instance):
    """Divide limits among a few holders without lending permits."""
    instance.lends_permits = False


@ways.register(BY_LENDING)
def lend_permits(_instance):
    """Divide limits among a few holders, which lend permits to the others."""


class Instance(ForwardPort):
    """A simulated instance, and its ports to servers and other instances.

    Attributes:
      world: The World.
      name: The instance id.
      limits: The ServerRateLimits.
      permits: The permits to send to servers with a limit.
      uses_limits: Whether advertised limits are observed, a bool.
      lends_permits: Whether permits are borrowed, a bool.
      desk: The Forwarder that requests are submitted to.
    """

    def __init__(self, world, name):
        """Start the instance.

        Args:
          world: The World.
          name: The instance id.
        """
        self.world = world
        self.name = name
        self.limits = ServerRateLimits(world.timers, name, 'boot')
        self.permits = self.limits.permits
        self.uses_limits = True
        self.lends_permits = True
        self._backends = make_backends(_SERVERS)
        ways[world.way](self)
        self.limits.start(
            lambda: world.list_active(self),
            lambda other: world.is_unreachable(self, other),
            self._send_probe,
        )
        if self.uses_limits:
            self.limits.advertised.subscribe(self._schedule_broadcast)
            world.timers.every(_BROADCAST_INTERVAL_MS, self._broadcast)
        self._borrower = PermitBorrower(
            world.timers.clock,
            world.random,
            self.limits,
            name,
        )
        self.desk = self._make_desk()

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        server = placement.backend.identity
        sent_ms = self.world.now_ms()
        self.permits.record_sent(server)
        self.world.record_arrival(server)
        self.world.running[server] += 1
        self.world.timers.after(
            _NETWORK_DELAY_MS, partial(self._record_limit, server, sent_ms)
        )
        run_ms = self.world.random.uniform(*_SERVICE_TIME_MS)
        finish = partial(self._finish, server, listener)
        self.world.timers.after(run_ms, finish)
        return SentCall()

    def borrow(self, servers, on_done):
        """See PermitLending."""
        lenders = (
            self._borrower.list_lenders(servers) if self.lends_permits else []
        )
        if lenders:
            self._request_permit(lenders, servers, on_done)
        return bool(lenders)

    def discard_borrowed(self, server):
        """See PermitLending."""
        self.limits.permits.discard_borrowed(server)

    def _request_permit(self, lenders, servers, on_done):
        lender, *others = lenders
        lender_instance = self.world.find_reachable(self, lender)

        def take_offer():
            offer = None
            if lender_instance is not None:
                words = lender_instance.limits.in_force
                limited = [
                    wanted for wanted in servers if words.limit_of(wanted)
                ]
                offer = lend_permit(lender_instance.limits.permits, limited)
            server = self._borrower.take(lender, offer)
            if server is None and others:
                self._request_permit(others, servers, on_done)
            else:
                on_done(server)

        self.world.timers.after(_NETWORK_DELAY_MS * 2, take_offer)

    def _send_probe(self, server):
        sent_ms = self.world.now_ms()
        self.permits.record_sent(server)
        self.world.record_arrival(server)
        self.world.timers.after(
            _NETWORK_DELAY_MS, partial(self._record_limit, server, sent_ms)
        )

    def _record_limit(self, server, sent_ms):
        if self.uses_limits:
            limit = self.world.limit_of(server)
            self.limits.advertised.receive_answer(server, limit, sent_ms)

    def _schedule_broadcast(self):
        self.world.timers.after(_NETWORK_DELAY_MS, self._broadcast)

    def _broadcast(self):
        for instance in self.world.list_reachable(self):
            instance.limits.advertised.merge_updates(
                self.limits.advertised.list_updates()
            )

    def _finish(self, server, listener):
        self.world.running[server] -= 1
        listener.on_head(AnswerHead(200))
        listener.on_end()

    def _make_desk(self):
        parts = make_chooser_parts(
            self.world.timers, lambda: list(self._backends)
        )
        parts.random = self.world.random
        parts.hints = RetryHints(self.world.random)
        parts.permits = self.permits
        desk = make_plain_desk(self, parts, parts.hints)
        desk.lending = self
        return desk


class World:
    """A simulation of instances, servers and clients.

    Attributes:
      way: The name of the policy for dividing limits.
      case: The Case.
      timers: The ManualTimers.
      random: The random numbers of the run.
      servers: The ids of the servers, a list.
      running: A dict from server id to the number of requests in progress.
      refused: The number of requests refused while limits were in force.
      with_room: How many of these were refused although some servers had no
        limit.
      refused_below_limit: How many of these were refused although a server
        was clearly below its limit in the preceding window.
    """

    def __init__(self, way, case, seed):
        """Create the simulation.

        Args:
          way: The name of a policy for dividing limits.
          case: A Case.
          seed: The seed of the random numbers, an int.
        """
        self.way = way
        self.case = case
        self.timers = ManualTimers()
        self.random = random.Random(seed)
        self.servers = [one.identity for one in make_backends(_SERVERS)]
        self.running = dict.fromkeys(self.servers, 0)
        self.refused = 0
        self.with_room = 0
        self.refused_below_limit = 0
        self._arrivals = {server: [] for server in self.servers}
        self._stopped = set()
        self._active = [f'entry-{one}' for one in range(case.active)]
        names = [f'entry-{one}' for one in range(case.instances)]
        self._instances = {name: Instance(self, name) for name in names}

    def play(self):
        """Run the simulation to its end."""
        for _ in range(_DURATION_MS // _REQUEST_INTERVAL_MS):
            at_ms = self.random.uniform(0, _DURATION_MS)
            self.timers.after(at_ms, self._submit)
        if not self.case.is_quiet:
            for at_ms in _REPLACEMENT_TIMES_MS:
                self.timers.after(at_ms, self._replace_active)
        self.timers.advance(_DURATION_MS)

    def now_ms(self):
        """Return the current time."""
        return self.timers.clock.now_ms()

    def limit_of(self, server):
        """Return the limit that a server advertises now, or None."""
        is_in_force = _LIMIT_START_MS <= self.now_ms() < _LIMIT_END_MS
        is_limited = server in self.servers[: self.case.servers]
        return self.case.limit if is_in_force and is_limited else None

    def list_active(self, instance):
        """Return the ids of active instances, in the view of an instance."""
        if self._is_isolated(instance.name, _FAILURE_DETECTION_MS):
            return [instance.name]
        return [
            name
            for name in self._active
            if not self._is_isolated(name, _FAILURE_DETECTION_MS)
        ]

    def is_unreachable(self, instance, other):
        """Return whether an instance detected that another is unreachable."""
        if instance.name == other:
            return False
        pair = (instance.name, other)
        return any(
            self._is_isolated(name, _FAILURE_DETECTION_MS) for name in pair
        )

    def list_reachable(self, instance):
        """Return the instances that get a broadcast of an instance."""
        if self._is_isolated(instance.name, 0):
            return [instance]
        reached = [
            self._instances[name]
            for name in self._active
            if not self._is_isolated(name, 0)
        ]
        if instance.name in self._active:
            others = list(self._instances.values())
            reached.extend(self.random.sample(others, min(9, len(others))))
        return reached

    def find_reachable(self, instance, name):
        """Return another instance by id, or None if it is unreachable."""
        if self._is_isolated(instance.name, 0) or self._is_isolated(name, 0):
            return None
        return self._instances.get(name)

    def record_arrival(self, server):
        """Record that a request arrives at a server."""
        self._arrivals[server].append(self.now_ms())

    def most_over(self):
        """Return the most requests in a window, relative to the tolerated."""
        case = self.case
        since_ms = _LIMIT_START_MS + _PROPAGATION_MS
        allowed = (
            _TOLERANCE_FACTOR * case.limit * WINDOW_MS / _MS_PER_SECOND
            + _TOLERANCE_REQUESTS
        )
        max_count = 0
        for server in self.servers[: case.servers]:
            arrivals_ms = [
                at_ms
                for at_ms in self._arrivals[server]
                if since_ms <= at_ms < _LIMIT_END_MS
            ]
            for start_ms in arrivals_ms:
                window_arrivals = [
                    at_ms
                    for at_ms in arrivals_ms
                    if 0 <= at_ms - start_ms < WINDOW_MS
                ]
                max_count = max(max_count, len(window_arrivals))
        return max_count / allowed

    def used(self):
        """Return the fraction of the limits that was used."""
        since_ms = _LIMIT_START_MS + _PROPAGATION_MS
        arrived = sum(
            since_ms <= at_ms < _LIMIT_END_MS
            for server in self.servers[: self.case.servers]
            for at_ms in self._arrivals[server]
        )
        length_s = (_LIMIT_END_MS - since_ms) / _MS_PER_SECOND
        return arrived / (self.case.limit * self.case.servers * length_s)

    def measure_recovery_ms(self):
        """Return the median time from the end of limits to normal use."""
        resumed_ms = sorted(
            self._find_resumption_ms(self._arrivals[server])
            for server in self.servers[: self.case.servers]
        )
        return resumed_ms[len(resumed_ms) // 2] - _LIMIT_END_MS

    def _find_resumption_ms(self, arrivals_ms):
        """Return when a server first got three requests within a second."""
        later = [at_ms for at_ms in arrivals_ms if at_ms >= _LIMIT_END_MS]
        return next(
            (
                first
                for index, first in enumerate(later)
                if later[index + 2 : index + 3]
                and later[index + 2] - first < _MS_PER_SECOND
            ),
            _DURATION_MS,
        )

    def _is_isolated(self, name, notice_ms):
        """Return whether an instance is isolated or was stopped.

        Args:
          name: The instance id.
          notice_ms: The delay after which its isolation is detected.
        """
        start_ms, end_ms = _PARTITION_MS
        is_isolated = start_ms + notice_ms <= self.now_ms() < end_ms
        is_isolated = is_isolated and not self.case.is_quiet
        return (is_isolated and name == 'entry-0') or name in self._stopped

    def _replace_active(self):
        """Stop an active instance and start another one in its place."""
        stopped = self._active.pop(1)
        self._stopped.add(stopped)
        name = f'{stopped}-again'
        self._active.append(name)
        self._instances[name] = Instance(self, name)
        self._instances.pop(stopped)

    def _submit(self):
        names = list(self._instances)
        if self.random.random() < _ACTIVE_REQUEST_SHARE:
            names = self._active
        job = make_job(
            arrived_ms=self.now_ms(),
            deadline_ms=self.now_ms() + _DURATION_MS,
            goal_ms=_DURATION_MS,
            repeat=RetryMode.AGAIN,
            size=None,
        )
        instance = self._instances[self.random.choice(names)]
        instance.desk.submit(job, EndSink(self._record_refusal))

    def _record_refusal(self, refusal):
        is_limited = (
            _LIMIT_START_MS + _PROPAGATION_MS <= self.now_ms() < _LIMIT_END_MS
        )
        if refusal is None or not is_limited:
            return
        self.refused += 1
        self.with_room += self.case.servers < _SERVERS
        self.refused_below_limit += any(map(self._is_below_limit, self.servers))

    def _is_below_limit(self, server):
        since_ms = self.now_ms() - WINDOW_MS
        recent_count = sum(at_ms > since_ms for at_ms in self._arrivals[server])
        window_limit = self.case.limit * WINDOW_MS / _MS_PER_SECOND
        return recent_count < window_limit * 0.9 - 1


def main():
    """Print a table for each case: the worst of the seeds, and means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument(
        '--case', type=int, help='index of the only case to run'
    )
    args = parser.parse_args()
    cases = CASES if args.case is None else [CASES[args.case]]
    for case in cases:
        print(
            f'{case.instances} instances, {case.active} active: {case.servers}',
            f'of {_SERVERS} servers take {case.limit} a second',
            'quiet' if case.is_quiet else 'with changes',
        )
        print(f'{"":28} worst   used  refused  with room  with turn  again ms')
        for way in sorted(ways):
            worlds = [World(way, case, seed) for seed in range(args.seeds)]
            for world in worlds:
                world.play()
            print(f'{way:28}', _describe(worlds), flush=True)


def _describe(worlds):
    """Return a table row for the simulations of a policy."""
    count = len(worlds)
    worst = max(world.most_over() for world in worlds)
    used = sum(world.used() for world in worlds) / count
    refused = sum(world.refused for world in worlds) / count
    with_room = sum(world.with_room for world in worlds) / count
    below_limit = sum(world.refused_below_limit for world in worlds) / count
    recovery_ms = sum(world.measure_recovery_ms() for world in worlds) / count
    return (
        f'{worst:5.2f} {used:6.2f} {refused:8.1f} {with_room:10.1f}'
        f' {below_limit:10.1f} {recovery_ms:9.0f}'
    )


if __name__ == '__main__':
    main()
