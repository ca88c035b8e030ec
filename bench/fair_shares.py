"""Simulation of fair shares of client accounts: `python -m bench.fair_shares`.

Active instances send the requests of several accounts to engines in virtual
time, and report the work to each other.  One account floods them.  A simple
rule stands in for the admission: a request is admitted while the wait at the
engines is below its target, divided by the account's excess.  One instance is
replaced by an empty one, and one is cut off from the others for some seconds.
All instances see the wait at the engines; only the shares come from messages.
Results depend on the seed only.
"""

import random
from functools import partial

from crankchute.core.account_shares import AccountShares
from crankchute.core.fakes import ManualTimers
from crankchute.core.registry import Registry

#: The floods by name; each returns the Flood for a number of seconds.
floods = Registry()
#: The flood that has no requests, for comparison.
NO_FLOOD = 'none'
#: The numbers of instances.
FLEETS = (6, 72, 780)
HEAVY = 1000
#: About one instance in this many is active, but at least the minimum.
_INSTANCES_PER_ACTIVE = 24
_MIN_ACTIVE = 2
_ENGINES = 12
_OTHERS = 20
_COST_MS = 200
#: The target for the wait at the engines.
_GOAL_MS = 1000
_MESSAGE_DELAY_MS = 5
_REPEAT_DELAY_MS = 20
_FLOOD_START_MS = 2000
_EARLY_MS = 500
_REPLACED_MS = 8000
_PARTITION_MS = (12_000, 15_000)
_DURATION_MS = 20_000
_MS_PER_SECOND = 1000
#: The rate of one other account if all others take 0.9 of the engines.
_USUAL_RATE = 0.9 * _ENGINES * _MS_PER_SECOND / _COST_MS / _OTHERS


class Flood:
    """The load of the account that floods the engines.

    Attributes:
      rate: Its requests per second.
      cost_ms: The engine time of each.
      repeats: How often it repeats a refused request.
      others_rate: The requests per second of each other account.
    """

    __slots__ = ('cost_ms', 'others_rate', 'rate', 'repeats')

    def __init__(
        self, rate, *, cost_ms=_COST_MS, repeats=0, others_rate=_USUAL_RATE
    ):
        """Create the load; see the class for the arguments."""
        self.rate = rate
        self.cost_ms = cost_ms
        self.repeats = repeats
        self.others_rate = others_rate


@floods.register(NO_FLOOD)
def _make_no_flood():
    return Flood(0)


@floods.register('ten times as much')
def _make_more():
    return Flood(10 * _USUAL_RATE)


@floods.register('ten times, repeats at once')
def _make_repeating():
    return Flood(10 * _USUAL_RATE, repeats=20)


@floods.register('prompts 40 times larger')
def _make_large():
    return Flood(1, cost_ms=40 * _COST_MS)


@floods.register('ten times, others want twice the capacity')
def _make_overload():
    others_rate = 2 * _USUAL_RATE / 0.9
    return Flood(10 * others_rate, others_rate=others_rate)


class Engines:
    """The engines as one queue that all of them serve."""

    def __init__(self):
        """Create idle engines."""
        self._free_at_ms = float(0)

    def wait_ms(self, now_ms):
        """Return the wait of a new request.

        Args:
          now_ms: The time.
        """
        return max(self._free_at_ms - now_ms, 0)

    def add(self, cost_ms, now_ms):
        """Add a request.

        Args:
          cost_ms: Its engine time.
          now_ms: The time.
        """
        start_ms = max(self._free_at_ms, now_ms)
        self._free_at_ms = start_ms + cost_ms / _ENGINES


class Tally:
    """Counts of one account or several.

    Attributes:
      asked: The number of requests.
      served: The number of admitted requests.
      work_ms: The engine time of admitted requests.
    """

    __slots__ = ('asked', 'served', 'work_ms')

    def __init__(self):
        """Create the counts of no requests."""
        self.asked = 0
        self.served = 0
        self.work_ms = 0

    @property
    def part(self):
        """The served part of the requests."""
        return self.served / self.asked if self.asked else 1


class World:
    """A simulation of the active instances of a fleet.

    Attributes:
      others: The Tally of the other accounts from the start of the flood.
      early: The same for the first 500 ms of the flood.
      isolated: The same for the time in which an instance is cut off.
      heavy: The Tally of the account that floods.
      is_fair: Whether the excess of an account counts, a bool.
    """

    def __init__(self, instances, flood, seed, *, is_fair):
        """Create the simulation.

        Args:
          instances: The number of instances of the fleet.
          flood: A Flood.
          seed: An int.
          is_fair: See the class.
        """
        self.is_fair = is_fair
        self.others = Tally()
        self.early = Tally()
        self.isolated = Tally()
        self.heavy = Tally()
        self._timers = ManualTimers()
        self._random = random.Random(seed)
        self._engines = Engines()
        self._flood = flood
        active = max(instances // _INSTANCES_PER_ACTIVE, _MIN_ACTIVE)
        self._instances = [AccountShares() for _ in range(active)]
        self._isolated = None

    def play(self):
        """Simulate all requests."""
        for account in range(1, _OTHERS + 1):
            self._schedule(account, self._flood.others_rate, 0)
        if self._flood.rate:
            self._schedule(HEAVY, self._flood.rate, _FLOOD_START_MS)
        self._timers.after(_REPLACED_MS, self._replace)
        for at_ms, isolated in zip(_PARTITION_MS, (0, None), strict=True):
            self._timers.after(at_ms, partial(self._isolate, isolated))
        self._timers.advance(_DURATION_MS)

    def compare_heavy(self):
        """Return the work of the flooding account over that of another one."""
        return self.heavy.work_ms / (self.others.work_ms / _OTHERS)

    def _schedule(self, account, rate, start_ms):
        at_ms = start_ms + self._draw_gap_ms(rate)
        while at_ms < _DURATION_MS:
            self._timers.after(at_ms, partial(self._ask, account))
            at_ms += self._draw_gap_ms(rate)

    def _draw_gap_ms(self, rate):
        return self._random.expovariate(rate / _MS_PER_SECOND)

    def _ask(self, account):
        tallies = self._list_tallies(account)
        for tally in tallies:
            tally.asked += 1
        if account == HEAVY:
            self._try(
                account, self._flood.cost_ms, tallies, self._flood.repeats
            )
        else:
            self._try(account, _COST_MS, tallies)

    def _list_tallies(self, account):
        if account == HEAVY:
            return [self.heavy]
        now_ms = self._timers.clock.now_ms()
        periods = (
            (self.others, _FLOOD_START_MS, _DURATION_MS),
            (self.early, _FLOOD_START_MS, _FLOOD_START_MS + _EARLY_MS),
            (self.isolated, *_PARTITION_MS),
        )
        return [
            tally
            for tally, start_ms, end_ms in periods
            if start_ms <= now_ms < end_ms
        ]

    def _try(self, account, cost_ms, tallies, repeats=0):
        """Send a request to an instance, and repeat it if it is refused."""
        now_ms = self._timers.clock.now_ms()
        chosen = self._random.randrange(len(self._instances))
        shares = self._instances[chosen]
        excess = shares.excess(account, now_ms) if self.is_fair else 1
        if self._engines.wait_ms(now_ms) > _GOAL_MS / excess:
            if repeats:
                again = partial(
                    self._try, account, cost_ms, tallies, repeats - 1
                )
                self._timers.after(_REPEAT_DELAY_MS, again)
            return
        self._engines.add(cost_ms, now_ms)
        for tally in tallies:
            tally.served += 1
            tally.work_ms += cost_ms
        shares.record(account, cost_ms, now_ms)
        self._report(chosen, account, cost_ms)

    def _report(self, sender, account, cost_ms):
        """Report work to the other instances."""
        for receiver, shares in enumerate(self._instances):
            if receiver == sender or self._isolated in {receiver, sender}:
                continue
            self._timers.after(
                _MESSAGE_DELAY_MS,
                partial(self._receive, shares, account, cost_ms),
            )

    def _receive(self, shares, account, cost_ms):
        shares.record(account, cost_ms, self._timers.clock.now_ms())

    def _replace(self):
        self._instances[-1] = AccountShares()

    def _isolate(self, isolated):
        self._isolated = isolated


def simulate(instances, flood, *, is_fair, seed=1):
    """Return the World after a simulation.

    Args:
      instances: The number of instances.
      flood: The name of a flood.
      is_fair: Whether the excess of an account counts.
      seed: An int.
    """
    world = World(instances, floods[flood](), seed, is_fair=is_fair)
    world.play()
    return world


def main():
    """Print the results of all floods."""
    for instances in FLEETS:
        for flood in floods:
            for is_fair in (False, True):
                world = simulate(instances, flood, is_fair=is_fair)
                figures = (
                    instances,
                    flood,
                    'fair' if is_fair else 'plain',
                    f'{world.early.part:.2f}',
                    f'{world.isolated.part:.2f}',
                    f'{world.others.part:.2f}',
                    f'{world.heavy.part:.2f}',
                    f'{world.compare_heavy():.2f}',
                )
                print(*figures, sep=' | ')


if __name__ == '__main__':
    main()
