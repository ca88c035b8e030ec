"""Ways to deal with servers that want rest: `python -m bench.rest_ways`.

A few instances send requests to a pool of servers in virtual time.  At times
some servers, or all, turn a part of what comes away and name for how long they
want nothing from the instance that asked.  Callers that are refused come back
once, when they were told to.  A run is the same on every machine.
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
from crankchute.core.outcomes import Outcome
from crankchute.core.registry import Registry
from crankchute.core.retry_hints import RetryHints
from crankchute.ports.forwarding import AnswerHead, ForwardPort, Rejection

#: What an instance does with a server's wish, by name: functions of the World,
#: of the number of the instance, of the server's place in its list, and of the
#: milliseconds that it wants.
ways = Registry()
#: The name of the one that the product takes.
BY_REST = 'rest'

_INSTANCES = 3
_SERVERS = 18
_SLOTS = 8
_LENGTH_MS = 60_000
_EACH_MS = 25
_RUN_MS = (100, 1500)
#: Answers to what does not run come so soon, and news of other instances.
_WAY_MS = 2
#: From so long after a wish on, requests count as too many (the users' rule).
_KNOWN_MS = 500
_TRIES = 2
_DEADLINE_MS = 10_000
#: So long that no server seems silent.
_GOAL_MS = 2000
#: Callers wait no longer than this part of what they have left.
_MOST_WAIT = 1 / 3


class Spell:
    """A time in which servers turn requests away.

    Attributes:
      begin_ms: When it begins.
      end_ms: When it ends.
      servers: How many servers it takes, the first of the list.
      part: Which part of the requests they turn away.
      pause_ms: For how long they want nothing.
    """

    __slots__ = ('begin_ms', 'end_ms', 'part', 'pause_ms', 'servers')

    def __init__(self, begin_ms, end_ms, servers, *, part, pause_ms):
        """Create the spell."""
        self.begin_ms = begin_ms
        self.end_ms = end_ms
        self.servers = servers
        self.part = part
        self.pause_ms = pause_ms


_SPELLS = (
    Spell(5000, 11_000, 2, part=0.9, pause_ms=3000),
    Spell(20_000, 22_000, _SERVERS, part=1, pause_ms=1000),
    Spell(30_000, 40_000, 6, part=0.5, pause_ms=2000),
)


@ways.register('ignored')
def ignore_wish(_world, _instance, _place, _rest_ms):
    """Do nothing; a baseline."""


@ways.register(BY_REST)
def leave_alone(world, instance, place, pause_ms):
    """Send nothing from the instance that was turned away."""
    backend = world.fleets[instance][place]
    backend.pause_until(world.timers.clock.now_ms() + pause_ms)


@ways.register('rest and suspicion')
def leave_alone_and_suspect(world, instance, place, pause_ms):
    """Count it as a failure as well, which fades by half in 3 s."""
    leave_alone(world, instance, place, pause_ms)
    backend = world.fleets[instance][place]
    backend.suspicion.record_failure(world.timers.clock.now_ms())


@ways.register('rest, all suspect')
def leave_alone_and_warn(world, instance, place, pause_ms):
    """Count it as a failure at all instances, as they tell each other."""
    leave_alone(world, instance, place, pause_ms)
    for fleet in world.fleets:
        fleet[place].suspicion.record_failure(world.timers.clock.now_ms())


@ways.register('rest at all instances')
def leave_alone_everywhere(world, _instance, place, pause_ms):
    """Send nothing from anywhere."""
    for instance in range(_INSTANCES):
        leave_alone(world, instance, place, pause_ms)


class Servers(ForwardPort):
    """The servers, as one instance reaches them."""

    def __init__(self, world, instance):
        """Create the port of an instance, by its number."""
        self._world = world
        self._instance = instance
        self._wants_ms = {}

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        world = self._world
        place = world.fleets[self._instance].index(placement.backend)
        self._record_arrival(place)
        spell = world.find_spell(place)
        call = SentCall()
        if spell is not None and world.random.random() < spell.part:
            world.timers.after(
                _WAY_MS,
                partial(self._turn_away, place, spell, listener),
            )
        elif world.running[place] >= _SLOTS:
            reject = partial(listener.on_not_run, Rejection('full'))
            world.timers.after(_WAY_MS, reject)
        else:
            world.running[place] += 1
            run_ms = world.random.uniform(*_RUN_MS)
            world.timers.after(run_ms, partial(_finish, world, place, listener))
        return call

    def _record_arrival(self, place):
        now_ms = self._world.timers.clock.now_ms()
        begin_ms, end_ms, count = self._wants_ms.get(place, (0, 0, 0))
        if begin_ms < now_ms < end_ms:
            self._wants_ms[place] = (begin_ms, end_ms, count + 1)
            self._world.unwanted += 1
            self._world.worst = max(self._world.worst, count + 1)

    def _turn_away(self, place, spell, listener):
        now_ms = self._world.timers.clock.now_ms()
        if now_ms >= self._wants_ms.get(place, (0, 0, 0))[1]:
            until_ms = now_ms + spell.pause_ms
            self._wants_ms[place] = (now_ms + _KNOWN_MS, until_ms, 0)
        self._world.take_wish(self._instance, place, spell.pause_ms)
        listener.on_not_run(Rejection('full'))


class World:
    """Instances, servers and callers.

    Attributes:
      fleets: The Backends of each instance, lists.
      running: How many requests run at each server, by its place.
      unwanted: How many requests reached servers that had asked for rest.
      worst: The most of them in one rest.
      refused: How many times a caller was refused.
      with_room: How many of those while a server had room that turned nothing
        away.
      answered: How many callers got an answer.
      at_once: How many of those at their first try.
      asked: How many callers came.
    """

    def __init__(self, way, seed):
        """Create the world.

        Args:
          way: The name of a way.
          seed: An int.
        """
        self.timers = ManualTimers()
        self.random = random.Random(seed)
        self.fleets = [make_backends(_SERVERS) for _ in range(_INSTANCES)]
        self.running = [0 for _ in range(_SERVERS)]
        self.unwanted = 0
        self.worst = 0
        self.refused = 0
        self.with_room = 0
        self.answered = 0
        self.at_once = 0
        self.asked = 0
        self._take = ways[way]
        self._desks = [self._make_desk(one) for one in range(_INSTANCES)]

    def play(self):
        """Let callers come for a minute."""
        for _ in range(_LENGTH_MS // _EACH_MS):
            at_ms = self.random.uniform(0, _LENGTH_MS)
            deadline_ms = at_ms + _DEADLINE_MS
            self.asked += 1
            self.timers.after(at_ms, partial(self._ask, deadline_ms, _TRIES))
        self.timers.advance(_LENGTH_MS * 2)

    def find_spell(self, place):
        """Return the Spell that a server has now, or None."""
        now_ms = self.timers.clock.now_ms()
        for spell in _SPELLS:
            is_now = spell.begin_ms <= now_ms < spell.end_ms
            if is_now and place < spell.servers:
                return spell
        return None

    def take_wish(self, instance, place, pause_ms):
        """Let an instance take a server's wish in the way of this world."""
        self._take(self, instance, place, pause_ms)

    def _ask(self, deadline_ms, tries):
        job = make_job(
            arrived_ms=self.timers.clock.now_ms(),
            deadline_ms=deadline_ms,
            goal_ms=_GOAL_MS,
            repeat=RetryMode.AGAIN,
            size=None,
        )
        sink = EndSink(partial(self._take_end, deadline_ms, tries))
        self.random.choice(self._desks).submit(job, sink)

    def _take_end(self, deadline_ms, tries, refusal):
        if refusal is None:
            self.answered += 1
            self.at_once += tries == _TRIES
            return
        self.refused += 1
        self.with_room += self._has_room()
        left_ms = deadline_ms - self.timers.clock.now_ms()
        if tries > 1 and refusal.outcome == Outcome.NOT_RUN:
            wait_ms = min(refusal.retry_after_ms, left_ms * _MOST_WAIT)
            again = partial(self._ask, deadline_ms, tries - 1)
            self.timers.after(wait_ms, again)

    def _has_room(self):
        return any(
            running < _SLOTS and self.find_spell(place) is None
            for place, running in enumerate(self.running)
        )

    def _make_desk(self, instance):
        parts = make_chooser_parts(
            self.timers, lambda: list(self.fleets[instance])
        )
        parts.random = self.random
        parts.hints = RetryHints(self.random)
        return make_plain_desk(Servers(self, instance), parts, parts.hints)


def _finish(world, place, listener):
    world.running[place] -= 1
    listener.on_head(AnswerHead(200))
    listener.on_end()


def main():
    """Print a row for each way, means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    seeds = parser.parse_args().seeds
    print(
        'way                     unwanted   refused with room   at once', end=''
    )
    print('  answered worst')
    for way in sorted(ways):
        worlds = [World(way, seed) for seed in range(seeds)]
        for world in worlds:
            world.play()
        print(f'{way:22}', _describe(worlds))


def _describe(worlds):
    """Return what happened in worlds of one way, their means as a line."""
    means = [
        sum(getattr(one, name) for one in worlds) / len(worlds)
        for name in ('unwanted', 'refused', 'with_room', 'at_once', 'answered')
    ]
    worst = max(one.worst for one in worlds)
    return ' '.join(f'{mean:9.1f}' for mean in (*means, worst))


if __name__ == '__main__':
    main()
