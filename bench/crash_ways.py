"""Ways to deal with requests that crash servers: `python -m bench.crash_ways`.

A few instances send requests to a pool of servers in virtual time.  Some
requests end each server that begins to run them, and come again and again, each
time at any instance; a part of them comes in bursts.  Servers also end for no
request's sake, alone or many at the same moment, and networks cut connections.
A run is the same on every machine.
"""

import argparse
import random
from functools import partial

from bench.model_desk import make_plain_desk
from crankchute.core.crash_attribution import blames
from crankchute.core.crash_history import CrashHistory
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    FakeSink,
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.retry_hints import RetryHints
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead, ForwardPort

_INSTANCES = 3
_SERVERS = 18
_LENGTH_MS = 90_000
#: Other requests come so often, and run for so long.
_EACH_MS = 45
_RUN_MS = (300, 2500)
#: A request that ends servers does so after so long; they are back later.
_END_MS = (30, 120)
_BACK_MS = 3200
#: How long news are on their way between instances.
_WAY_MS = 5
_CONTACT_MS = 3000
_CULPRITS = (1, 2)
_FIRST_OTHER = 1000
_MOST_ATTEMPTS = 2
#: The name of the way that remembers nothing.
_NOBODY = 'nobody'


class Server:
    """One server and what it works on.

    Attributes:
      is_up: Whether its process runs, a bool.
      runs: The Runs in progress, in order, keys of a map.
    """

    __slots__ = ('is_up', 'runs')

    def __init__(self):
        """Create an idle server."""
        self.is_up = True
        self.runs = {}

    def end(self):
        """End its process, and cut what it works on."""
        self.is_up = False
        runs = self.runs
        self.runs = {}
        for run in runs:
            run.listener.on_failed(
                BackendError('closed', sent=True, connection_lost=True)
            )


class Run:
    """A request at a server, which can be given up."""

    __slots__ = ('listener', 'sent', 'server')

    def __init__(self, server, listener):
        """Create the record."""
        self.server = server
        self.listener = listener
        self.sent = True

    def cancel(self):
        """Give it up."""
        self.server.runs.pop(self, None)


class Servers(ForwardPort):
    """Servers by their ids."""

    def __init__(self, world):
        """Create servers for a world's backends."""
        self._world = world
        self.by_id = {one.identity: Server() for one in world.backends}

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        world = self._world
        server = self.by_id[placement.backend.identity]
        run = Run(server, listener)
        if not server.is_up:
            exc = BackendError('refused', sent=False)
            world.timers.after(1, partial(listener.on_failed, exc))
            return run
        server.runs[run] = True
        is_culprit = job.fingerprint in _CULPRITS
        if is_culprit:
            world.record_arrival(job.fingerprint)
        low_ms, high_ms = _END_MS if is_culprit else _RUN_MS
        length_ms = world.random.uniform(low_ms, high_ms)
        ended = partial(self._finish, run, job.fingerprint)
        world.timers.after(length_ms, ended)
        return run

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        on_known(self.by_id[backend.identity].is_up)

    def _finish(self, run, fingerprint):
        if run not in run.server.runs:
            return
        if fingerprint in _CULPRITS:
            self._world.end_server(run.server, fingerprint)
            return
        run.server.runs.pop(run)
        run.listener.on_head(AnswerHead(200))
        run.listener.on_end()


class World:
    """Instances, servers and callers.

    Attributes:
      ends: How many servers ended under each culprit, a map.
      late: How many more arrivals of each culprit counted after that, a map.
      cut: How many runs of others were broken off by culprits.
      refused: How many others were refused as if they ended servers.
      others: How many others came.
    """

    def __init__(self, blame, seed):
        """Create the world.

        Args:
          blame: The name of a way to blame requests.
          seed: An int.
        """
        self.timers = ManualTimers()
        self.random = random.Random(seed)
        self.backends = make_backends(_SERVERS)
        self.port = Servers(self)
        self.ends = dict.fromkeys(_CULPRITS, 0)
        self.late = dict.fromkeys(_CULPRITS, 0)
        self.cut = 0
        self.refused = 0
        self.others = 0
        self._third_ms = {}
        self._histories = []
        self._desks = [self._make_desk(blame) for _ in range(_INSTANCES)]

    def play(self):
        """Let callers come, and servers end, for a day."""
        for number in range(int(_LENGTH_MS / _EACH_MS)):
            fingerprint = _FIRST_OTHER + number
            at_ms = self.random.uniform(0, _LENGTH_MS)
            self.timers.after(at_ms, partial(self._ask, fingerprint))
        for culprit in _CULPRITS:
            at_ms = 5000 * culprit
            while at_ms < _LENGTH_MS:
                for copy in range(self.random.choice((1, 1, 6))):
                    ask = partial(self._ask, culprit)
                    self.timers.after(at_ms + copy * 250, ask)
                at_ms += self.random.uniform(1500, 15_000)
        for _ in range(6):
            at_ms = self.random.uniform(0, _LENGTH_MS)
            count = self.random.choice((1, 1, 4))
            self.timers.after(at_ms, partial(self._lose_power, count))
        for _ in range(100):
            at_ms = self.random.uniform(0, _LENGTH_MS)
            self.timers.after(at_ms, self._cut_connection)
        self.timers.advance(_LENGTH_MS * 2)

    def record_arrival(self, culprit):
        """Count an arrival of a culprit, if all could know by now."""
        third_ms = self._third_ms.get(culprit)
        now_ms = self.timers.clock.now_ms()
        if third_ms is not None and now_ms > third_ms + _CONTACT_MS:
            self.late[culprit] += 1

    def end_server(self, server, culprit=None):
        """End a server; it is back after a while."""
        if culprit is not None:
            self.ends[culprit] += 1
            if self.ends[culprit] == 3:
                self._third_ms[culprit] = self.timers.clock.now_ms()
            self.cut += len(server.runs) - 1
        server.end()
        self.timers.after(_BACK_MS, partial(self._start, server))

    def _start(self, server):
        server.is_up = True

    def _lose_power(self, count):
        up = [one for one in self.port.by_id.values() if one.is_up]
        for server in self.random.sample(up, min(count, len(up))):
            self.end_server(server)

    def _cut_connection(self):
        runs = [run for one in self.port.by_id.values() for run in one.runs]
        if runs:
            run = self.random.choice(runs)
            run.cancel()
            exc = BackendError('closed', sent=True, connection_lost=True)
            run.listener.on_failed(exc)

    def _ask(self, fingerprint, tries=2):
        """Ask any instance, and another one after a failure."""
        now_ms = self.timers.clock.now_ms()
        job = make_job(
            fingerprint=fingerprint,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 10_000,
            repeat=RetryMode.AGAIN,
            max_attempts=_MOST_ATTEMPTS,
            size=None,
        )
        self.others += fingerprint not in _CULPRITS and tries == 2
        sink = _Sink(partial(self._take_end, fingerprint, tries))
        self.random.choice(self._desks).submit(job, sink)

    def _take_end(self, fingerprint, tries, refusal):
        is_held = refusal.code == 'crashes_servers'
        if is_held and fingerprint not in _CULPRITS:
            self.refused += 1
        if tries > 1 and refusal.outcome != Outcome.UNKNOWN:
            again = partial(self._ask, fingerprint, tries - 1)
            self.timers.after(6, again)

    def _make_desk(self, blame):
        make_history = _Forgetful if blame == _NOBODY else CrashHistory
        history = make_history(self.timers.clock.now_ms, blame=blames[blame])
        self._histories.append(history)
        history.subscribe(partial(self._tell_all, history))
        parts = make_chooser_parts(self.timers, lambda: list(self.backends))
        parts.random = self.random
        hints = RetryHints(self.random)
        return make_plain_desk(self.port, parts, hints, history)

    def _tell_all(self, teller):
        for other in self._histories:
            if other is not teller:
                self.timers.after(
                    _WAY_MS,
                    partial(_tell, teller, other),
                )


class _Forgetful(CrashHistory):
    """Remembers nothing: no request is a suspect, whatever ended."""

    def record_crash(self, server, at_ms, requests, begun_ms=None):
        """See CrashHistory."""


class _Sink(FakeSink):
    """Hands a refusal on."""

    def __init__(self, on_end):
        super().__init__()
        self._on_end = on_end

    def on_refused(self, refusal):
        """See AnswerSink."""
        super().on_refused(refusal)
        self._on_end(refusal)


def _tell(teller, other):
    other.merge_report(teller.make_report())


def main():
    """Print a row for each way and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    seeds = parser.parse_args().seeds
    print('way                  ends  late  cut  others refused')
    for blame in sorted(blames):
        worlds = [World(blame, seed) for seed in range(seeds)]
        for world in worlds:
            world.play()
        ends = sum(sum(one.ends.values()) for one in worlds) / seeds
        late = max(max(one.late.values()) for one in worlds)
        cut = sum(one.cut for one in worlds) / seeds
        refused = sum(one.refused for one in worlds)
        print(f'{blame:20} {ends:5.1f} {late:5} {cut:5.1f}', refused)


if __name__ == '__main__':
    main()
