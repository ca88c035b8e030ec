"""Simulation of servers that return cold: `python -m bench.cold_return`.

Instances send requests in virtual time, as in bench.limit_ways.  The servers are
listed as cold, each instance reads that with a delay of its own, and the load is
more than the cold servers may get.  In the cases with changes, one active
instance is cut off from the others for a while and one is replaced.
"""

import argparse
from functools import partial

from bench.limit_ways import Case, World, ways
from bench.model_desk import EndSink
from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.fleet import ListedServer
from crankchute.core.forward_config import PoolConfig
from crankchute.core.forward_fakes import POOL, make_backends, make_job
from crankchute.core.forward_job import RetryMode

_WAY = 'cold servers'
#: The servers are cold from here to the end; the changes are within.
_RETURN_MS = 14_000
_END_MS = 30_000
#: Until then, all instances have read the entries.
_INFORMED_MS = _RETURN_MS + 1000
_OVERAGE = 1.5
_SLACK = 5
_MS_PER_SECOND = 1000
_ACTIVE_REQUEST_SHARE = 0.9


class ColdCase:
    """A fleet and the load on it.

    Attributes:
      instances: The number of instances.
      active: The number of active instances.
      per_second: The rate that a cold server is made for.
      cold: The number of cold servers.
      warm: The number of other servers.
      load: Requests a second.
      was_used: Whether the servers are in use when they become cold, instead of
        returning to the list.
      is_quiet: Whether no instance is cut off or replaced.
    """

    def __init__(self, instances, active, **fields):
        """Create the case; see the class."""
        self.instances = instances
        self.active = active
        self.per_second = fields['per_second']
        self.cold = fields['cold']
        self.warm = fields.get('warm', 0)
        self.load = fields['load']
        self.was_used = fields.get('was_used', False)
        self.is_quiet = fields.get('is_quiet', False)

    @property
    def allowed(self):
        """The most requests to a cold server in a second."""
        return self.per_second * _OVERAGE + _SLACK


CASES = (
    ColdCase(8, 3, per_second=26, cold=4, load=160, is_quiet=True),
    ColdCase(8, 3, per_second=26, cold=4, load=160),
    ColdCase(8, 3, per_second=26, cold=2, warm=2, load=160, was_used=True),
    ColdCase(24, 12, per_second=26, cold=4, load=160, is_quiet=True),
    ColdCase(24, 12, per_second=26, cold=4, load=160),
    ColdCase(8, 3, per_second=1, cold=12, load=40, is_quiet=True),
    ColdCase(8, 3, per_second=1, cold=12, load=40),
    ColdCase(8, 3, per_second=0.2, cold=6, warm=2, load=40),
)


@ways.register(_WAY)
def keep_to_cold_rate(instance):
    """Limit requests to cold servers; the servers advertise no limits."""
    instance.world.configure(instance)


class ColdWorld(World):
    """A simulation of servers that are cold.

    Attributes:
      cold_case: The ColdCase.
      refused_beside_warm: How many requests were refused although servers
        without a limit were listed.
    """

    def __init__(self, case, seed):
        """Create the simulation.

        Args:
          case: A ColdCase.
          seed: The seed of the random numbers, an int.
        """
        self.cold_case = case
        self.refused_beside_warm = 0
        fleet = Case(case.instances, case.active, 0, 0, is_quiet=case.is_quiet)
        super().__init__(_WAY, fleet, seed)

    def configure(self, instance):
        """Configure an instance, and let it read the entries of the servers.

        Args:
          instance: An Instance.
        """
        cold = instance.limits.cold
        cold.bounds = ColdBounds(_OVERAGE, _SLACK)
        cold.pools = {
            POOL: PoolConfig(
                POOL,
                1,
                None,
                cold_start_ms=_END_MS,
                cold_per_second=self.cold_case.per_second,
            )
        }
        instance._backends = []  # noqa: SLF001
        if self.cold_case.was_used:
            self._list_servers(instance, revision=1, remaining_ms=0)
        read_ms = _RETURN_MS + self.random.uniform(0, _MS_PER_SECOND)
        self.timers.after(
            max(read_ms - self.now_ms(), 0),
            partial(self._list_servers, instance, 2, _END_MS),
        )

    def play(self):
        """Run the simulation to its end."""
        case = self.cold_case
        start_ms = _RETURN_MS
        if case.was_used:
            start_ms -= 2 * _MS_PER_SECOND
        for _ in range(case.load * (_END_MS - start_ms) // _MS_PER_SECOND):
            at_ms = self.random.uniform(start_ms, _END_MS)
            self.timers.after(at_ms, self._submit)
        if not case.is_quiet:
            self.timers.after(22_000, self._replace_active)
        self.timers.advance(_END_MS)

    def max_per_second(self):
        """Return the most requests that reach a cold server in a second.

        Counted from when all instances have read the entries; before that,
        servers that were in use get requests of the others.
        """
        since_ms = _INFORMED_MS if self.cold_case.was_used else _RETURN_MS
        most = 0
        for server in self._list_cold():
            times = [
                at_ms for at_ms in self._arrivals[server] if at_ms >= since_ms
            ]
            most = max(most, _max_in_window(times))
        return most

    def used(self):
        """Return the part of the rate of the cold servers that was used."""
        arrived = sum(
            at_ms >= _INFORMED_MS
            for server in self._list_cold()
            for at_ms in self._arrivals[server]
        )
        length_s = (_END_MS - _INFORMED_MS) / _MS_PER_SECOND
        case = self.cold_case
        return arrived / (case.per_second * case.cold * length_s)

    def _list_cold(self):
        return self.servers[: self.cold_case.cold]

    def _list_servers(self, instance, revision, remaining_ms):
        case = self.cold_case
        instance._backends = make_backends(case.cold + case.warm)  # noqa: SLF001
        for backend in instance._backends:  # noqa: SLF001
            is_cold = backend.identity in self._list_cold()
            listed = ListedServer(
                {
                    'id': backend.identity,
                    'kind': 'backend',
                    'address': '127.0.0.1:80',
                    'data_centre': 'one',
                    'cold_remaining_ms': remaining_ms if is_cold else 0,
                }
            )
            listed.revision = revision
            instance.limits.cold.record_listed(listed, POOL)

    def _submit(self):
        names = list(self._instances)
        if self.random.random() < _ACTIVE_REQUEST_SHARE:
            names = self._active
        now_ms = self.now_ms()
        job = make_job(
            arrived_ms=now_ms,
            deadline_ms=now_ms + _END_MS,
            goal_ms=_END_MS,
            repeat=RetryMode.AGAIN,
            size=None,
        )
        instance = self._instances[self.random.choice(names)]
        instance.desk.submit(job, EndSink(self._record_refusal))

    def _record_refusal(self, refusal):
        if refusal is not None and self.now_ms() >= _INFORMED_MS:
            self.refused += 1
            self.refused_beside_warm += bool(self.cold_case.warm)


def _max_in_window(times):
    """Return the most of ascending times within any second."""
    most = 0
    first = 0
    for index, at_ms in enumerate(times):
        while times[first] <= at_ms - _MS_PER_SECOND:
            first += 1
        most = max(most, index - first + 1)
    return most


def main():
    """Print a row for each case: the worst of the seeds, and means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    count = parser.parse_args().seeds
    for case in CASES:
        worlds = [ColdWorld(case, seed) for seed in range(count)]
        for world in worlds:
            world.play()
        print(_describe(case, worlds), flush=True)


def _describe(case, worlds):
    """Return a table row for the simulations of a case."""
    count = len(worlds)
    most = max(world.max_per_second() for world in worlds)
    used = sum(world.used() for world in worlds) / count
    refused = sum(world.refused for world in worlds) / count
    return (
        f'{case.instances} instances, {case.active} active; {case.cold}'
        f' cold at {case.per_second}, {case.warm} warm; {case.load}/s;'
        f' {"quiet" if case.is_quiet else "with changes"}:'
        f' most {most} of {case.allowed:g}, used {used:.2f},'
        f' refused {refused:.1f}'
    )


if __name__ == '__main__':
    main()
