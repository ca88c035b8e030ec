"""Ways to share a server's limit: `python -m bench.limit_ways`.

Instances send requests to a pool of servers in virtual time.  For a while servers
name how many requests a second they take from all instances together, in each
answer.  A few instances are active, and most callers come to them; they tell each
other at once what they hear, the others half a second later.  Meanwhile one is cut
off from the others, which go on, and two are replaced.  A run is the same on every
machine.
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

#: How instances share a limit, by name: functions of an Instance, called when it
#: starts.
ways = Registry()
#: The name of the one that the product takes.
BY_LENDING = 'holders, and turns are lent'

_SERVERS = 18
_SLOTS = 8
_RUN_MS = (100, 1500)
_EACH_MS = 25
#: Answers begin so soon, and news of active instances arrive.
_WAY_MS = 3
_PACE_MS = 250
_HOME_MS = 500
#: Active instances notice so late that one is cut off.
_SILENT_MS = 750
_ACTIVE_PART = 0.9
_BEGIN_MS = 10_000
_END_MS = 40_000
_LENGTH_MS = 60_000
_CUT_MS = (18_000, 28_000)
_REPLACED_MS = (22_000, 34_000)
#: When all could have heard of a limit (the users' rule).
_CONTACT_MS = 3000
_FACTOR = 1.5
_SLACK = 5
_MS_PER_SECOND = 1000


class Case:
    """What servers name.

    Attributes:
      instances: How many instances.
      active: How many of them callers are sent to.
      servers: How many servers name a limit, the first of the pool.
      limit: Requests a second.
      is_quiet: Whether no instance is cut off or replaced.
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


class WholeShares:
    """The whole limit, or the same part of it at every instance."""

    def __init__(self, part):
        """Create the shares."""
        self._part = part

    def share_of(self, _server, _limit):
        """See LimitShares."""
        return self._part


class ToldTurns:
    """Sends while what all were heard to send stays within the limit."""

    def __init__(self, world, instance):
        """Create the turns of an Instance."""
        self._world = world
        self._instance = instance
        self._sent = {}

    def has_permit(self, server):
        """See LimitPermits."""
        limit = self._instance.limits.advertised.limit_of(server)
        if limit is None:
            return True
        since_ms = self._world.now_ms() - WINDOW_MS
        recent = [one for one in self._sent.get(server, ()) if one > since_ms]
        self._sent[server] = recent
        return len(recent) < max(limit * WINDOW_MS / _MS_PER_SECOND, 1)

    def record_sent(self, server):
        """See LimitPermits; the other active ones hear of it."""
        self.hear(server)
        for one in self._world.reached_by(self._instance):
            if one is not self._instance:
                hear = partial(one.permits.hear, server)
                self._world.timers.after(_WAY_MS, hear)

    def hear(self, server):
        """Take that something was sent."""
        self._sent.setdefault(server, []).append(self._world.now_ms())

    def wait_ms(self, server):
        """See LimitPermits."""
        return 0 if self.has_permit(server) else _MS_PER_SECOND


@ways.register('ignored')
def ignore_limits(instance):
    """Hear of no limit; a baseline."""
    instance.hears = False


@ways.register('each for itself')
def keep_alone(instance):
    """Let each instance send what the server takes of all."""
    instance.limits.permits._shares = WholeShares(1)  # noqa: SLF001


@ways.register('even over all')
def divide_evenly(instance):
    """Give every instance the same part, asked or not."""
    part = 1 / instance.world.case.instances
    instance.limits.permits._shares = WholeShares(part)  # noqa: SLF001


@ways.register('counted by what is told')
def count_told(instance):
    """Count what the others told that they sent."""
    instance.permits = ToldTurns(instance.world, instance)


@ways.register('holders by hash')
def divide_by_hash(instance):
    """Divide it among a few active ones; nothing is lent."""
    instance.lends = False


@ways.register(BY_LENDING)
def divide_and_lend(_instance):
    """What the product does."""


class Instance(ForwardPort):
    """One instance, as it reaches servers and other instances.

    Attributes:
      world: The World.
      name: Its id.
      limits: The ServerRateLimits.
      permits: What decides whether it may send to a server with a limit.
      hears: Whether it hears of limits, a bool.
      lends: Whether turns are lent, a bool.
    """

    def __init__(self, world, name):
        """Start the instance."""
        self.world = world
        self.name = name
        self.limits = ServerRateLimits(world.timers, name, 'boot')
        self.permits = self.limits.permits
        self.hears = True
        self.lends = True
        self._backends = make_backends(_SERVERS)
        ways[world.way](self)
        self.limits.start(
            lambda: world.list_active(self),
            lambda other: world.is_lost(self, other),
            self._ask,
        )
        if self.hears:
            self.limits.advertised.subscribe(self._tell_soon)
            world.timers.every(_PACE_MS, self._tell)
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
        self.world.timers.after(_WAY_MS, partial(self._hear, server, sent_ms))
        run_ms = self.world.random.uniform(*_RUN_MS)
        finish = partial(self._finish, server, listener)
        self.world.timers.after(run_ms, finish)
        return SentCall()

    def borrow(self, servers, on_done):
        """See PermitLending."""
        lenders = self._borrower.list_lenders(servers) if self.lends else []
        if lenders:
            self._ask_lender(lenders, servers, on_done)
        return bool(lenders)

    def discard_borrowed(self, server):
        """See PermitLending."""
        self.limits.permits.discard_borrowed(server)

    def _ask_lender(self, lenders, servers, on_done):
        lender, *others = lenders
        found = self.world.find(self, lender)

        def take():
            offer = None
            if found is not None:
                words = found.limits.advertised
                known = [one for one in servers if words.limit_of(one)]
                offer = lend_permit(found.limits.permits, known)
            server = self._borrower.take(lender, offer)
            if server is None and others:
                self._ask_lender(others, servers, on_done)
            else:
                on_done(server)

        self.world.timers.after(_WAY_MS * 2, take)

    def _ask(self, server):
        sent_ms = self.world.now_ms()
        self.permits.record_sent(server)
        self.world.record_arrival(server)
        self.world.timers.after(_WAY_MS, partial(self._hear, server, sent_ms))

    def _hear(self, server, sent_ms):
        if self.hears:
            limit = self.world.limit_of(server)
            self.limits.advertised.receive_answer(server, limit, sent_ms)

    def _tell_soon(self):
        self.world.timers.after(_WAY_MS, self._tell)

    def _tell(self):
        for one in self.world.reached_by(self):
            one.limits.advertised.merge_updates(
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
    """Instances, servers and callers.

    Attributes:
      running: How many requests run at each server, a map.
      refused: How many callers were refused while servers named limits.
      with_room: How many of those while a server without a limit had room.
      with_turn: How many of those while a server took more: over the window
        before it got less than nine tenths of what it takes, and a request less.
    """

    def __init__(self, way, case, seed):
        """Create the world."""
        self.way = way
        self.case = case
        self.timers = ManualTimers()
        self.random = random.Random(seed)
        self.servers = [one.identity for one in make_backends(_SERVERS)]
        self.running = dict.fromkeys(self.servers, 0)
        self.refused = 0
        self.with_room = 0
        self.with_turn = 0
        self._arrivals = {server: [] for server in self.servers}
        self._gone = set()
        self._active = [f'entry-{one}' for one in range(case.active)]
        names = [f'entry-{one}' for one in range(case.instances)]
        self._instances = {name: Instance(self, name) for name in names}

    def play(self):
        """Let callers come for a minute."""
        for _ in range(_LENGTH_MS // _EACH_MS):
            at_ms = self.random.uniform(0, _LENGTH_MS)
            self.timers.after(at_ms, self._ask)
        if not self.case.is_quiet:
            for at_ms in _REPLACED_MS:
                self.timers.after(at_ms, self._replace)
        self.timers.advance(_LENGTH_MS)

    def now_ms(self):
        """Return the time."""
        return self.timers.clock.now_ms()

    def limit_of(self, server):
        """Return what a server names in its answers now, or None."""
        is_named = _BEGIN_MS <= self.now_ms() < _END_MS
        is_limited = server in self.servers[: self.case.servers]
        return self.case.limit if is_named and is_limited else None

    def list_active(self, instance):
        """Return who callers are sent to, as an instance sees it."""
        if self._is_cut(instance.name, _SILENT_MS):
            return [instance.name]
        return [
            one for one in self._active if not self._is_cut(one, _SILENT_MS)
        ]

    def is_lost(self, instance, other):
        """Tell whether another instance does not answer one."""
        if instance.name == other:
            return False
        cut = (instance.name, other)
        return any(self._is_cut(one, _SILENT_MS) for one in cut)

    def reached_by(self, instance):
        """Return the instances that hear from one, and its followers now."""
        if self._is_cut(instance.name, 0):
            return [instance]
        reached = [
            self._instances[one]
            for one in self._active
            if not self._is_cut(one, 0)
        ]
        if instance.name in self._active:
            others = list(self._instances.values())
            reached.extend(self.random.sample(others, min(9, len(others))))
        return reached

    def find(self, instance, name):
        """Return another instance if one reaches it, or None."""
        if self._is_cut(instance.name, 0) or self._is_cut(name, 0):
            return None
        return self._instances.get(name)

    def record_arrival(self, server):
        """Note that something reaches a server."""
        self._arrivals[server].append(self.now_ms())

    def most_over(self):
        """Return the most of any window, as a part of what is allowed."""
        case = self.case
        since_ms = _BEGIN_MS + _CONTACT_MS
        allowed = _FACTOR * case.limit * WINDOW_MS / _MS_PER_SECOND + _SLACK
        most = 0
        for server in self.servers[: case.servers]:
            moments = [
                one
                for one in self._arrivals[server]
                if since_ms <= one < _END_MS
            ]
            for begin in moments:
                inside = [
                    one for one in moments if 0 <= one - begin < WINDOW_MS
                ]
                most = max(most, len(inside))
        return most / allowed

    def used(self):
        """Return which part of what servers take reached them."""
        since_ms = _BEGIN_MS + _CONTACT_MS
        arrived = sum(
            since_ms <= one < _END_MS
            for server in self.servers[: self.case.servers]
            for one in self._arrivals[server]
        )
        length_s = (_END_MS - since_ms) / _MS_PER_SECOND
        return arrived / (self.case.limit * self.case.servers * length_s)

    def free_again_ms(self):
        """Return when half of the servers were in use again, after the end."""
        begun = sorted(
            self._begin_of_use(self._arrivals[one])
            for one in self.servers[: self.case.servers]
        )
        return begun[len(begun) // 2] - _END_MS

    def _begin_of_use(self, moments):
        """Return when a server got three requests within a second again."""
        later = [one for one in moments if one >= _END_MS]
        return next(
            (
                first
                for place, first in enumerate(later)
                if later[place + 2 : place + 3]
                and later[place + 2] - first < _MS_PER_SECOND
            ),
            _LENGTH_MS,
        )

    def _is_cut(self, name, notice_ms):
        """Tell whether an instance is cut off, noticed so late."""
        begin_ms, end_ms = _CUT_MS
        is_cut = begin_ms + notice_ms <= self.now_ms() < end_ms
        is_cut = is_cut and not self.case.is_quiet
        return (is_cut and name == 'entry-0') or name in self._gone

    def _replace(self):
        """Start an instance in the place of an active one."""
        gone = self._active.pop(1)
        self._gone.add(gone)
        name = f'{gone}-again'
        self._active.append(name)
        self._instances[name] = Instance(self, name)
        self._instances.pop(gone)

    def _ask(self):
        names = list(self._instances)
        if self.random.random() < _ACTIVE_PART:
            names = self._active
        job = make_job(
            arrived_ms=self.now_ms(),
            deadline_ms=self.now_ms() + _LENGTH_MS,
            goal_ms=_LENGTH_MS,
            repeat=RetryMode.AGAIN,
            size=None,
        )
        instance = self._instances[self.random.choice(names)]
        instance.desk.submit(job, EndSink(self._take_end))

    def _take_end(self, refusal):
        is_limited = _BEGIN_MS + _CONTACT_MS <= self.now_ms() < _END_MS
        if refusal is None or not is_limited:
            return
        self.refused += 1
        self.with_room += self.case.servers < _SERVERS
        self.with_turn += any(map(self._takes_more, self.servers))

    def _takes_more(self, server):
        since_ms = self.now_ms() - WINDOW_MS
        lately = sum(one > since_ms for one in self._arrivals[server])
        taken = self.case.limit * WINDOW_MS / _MS_PER_SECOND
        return lately < taken * 0.9 - 1


def main():
    """Print a row for each case and way: the most of the seeds, and means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--case', type=int, help='the number of one case')
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
    """Return what happened in worlds of one way, as a line."""
    count = len(worlds)
    worst = max(one.most_over() for one in worlds)
    used = sum(one.used() for one in worlds) / count
    refused = sum(one.refused for one in worlds) / count
    with_room = sum(one.with_room for one in worlds) / count
    with_turn = sum(one.with_turn for one in worlds) / count
    again_ms = sum(one.free_again_ms() for one in worlds) / count
    return (
        f'{worst:5.2f} {used:6.2f} {refused:8.1f} {with_room:10.1f}'
        f' {with_turn:10.1f} {again_ms:9.0f}'
    )


if __name__ == '__main__':
    main()
