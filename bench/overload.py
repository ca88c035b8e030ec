"""Goodput against offered load, in virtual time: `python -m bench.overload`.

One instance sends a mix of lengths to a pool of PassEngines, and callers do
what the users' do: they leave when nothing comes, and those that are refused
come back once.  A run is the same on every machine.
"""

import argparse
import random
import sys
from functools import partial
from pathlib import Path

from bench.pass_engines import FreeMemory, PassEngines
from crankchute.core.choosers import choosers
from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_chooser import PREDICTED, EngineChooser
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    POOL,
    FakeJournal,
    make_backends,
    make_chooser_parts,
    make_figures,
    make_job,
)
from crankchute.core.forward_job import PromptSize, RetryMode
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.outcomes import Outcome
from crankchute.core.reservations import ReservationManager
from crankchute.core.retry_hints import RetryHints
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import AnswerSink
from crankchute.ports.metrics import Metrics

#: A chooser that refuses nobody, for comparison.
ADMITS_ALL = 'predicted, sends all'
LOADS = (0.25, 0.5, 1, 1.5, 2, 3, 4)
_WINDOW_MS = 10_000
_LATE_PART = 0.25
_DEADLINE_MS = 10_000
#: A caller leaves when no first event has come after the longest of these.
_PATIENCE_MS = 2000
_PATIENCE_GOALS = 4
#: A caller waits at most so much of the time that it has left.
_MOST_WAIT = 0.33
_LENGTH_MS = 30_000
_MS_PER_SECOND = 1000


class Kind:
    """A kind of request of the mix.

    Attributes:
      size: Its PromptSize.
      per_second: How many come at load 1.
      goal_ms: When its first event must come.
      gap_ms: The longest pause between its events.
      worth: What an answer in time is worth.
    """

    __slots__ = ('gap_ms', 'goal_ms', 'per_second', 'size', 'worth')

    def __init__(self, size, per_second, **fields):
        """Create the kind.

        Args:
          size: See the class.
          per_second: See the class.
          fields: A value for each other attribute.
        """
        self.size = size
        self.per_second = per_second
        self.goal_ms = fields['goal_ms']
        self.gap_ms = fields['gap_ms']
        self.worth = fields['worth']


#: Lengths, aims and worths of the kind that the users' first deployments have.
MIX = (
    Kind(PromptSize(5000, 1300), 18, goal_ms=300, gap_ms=250, worth=1.3),
    Kind(PromptSize(45_000, 780), 1, goal_ms=1500, gap_ms=600, worth=3.9),
    Kind(PromptSize(182_000, 640), 0.5, goal_ms=3000, gap_ms=1000, worth=24),
)


@choosers.register(ADMITS_ALL)
class AdmitAllChooser(EngineChooser):
    """Places every prompt, whomever that harms."""

    def _is_admitted(self, job, plan):
        return True


class Caller(AnswerSink):
    """Asks once, and once more if it is refused.

    Attributes:
      kind: Its Kind.
      earned: What its answer is worth, 0 until it is whole.
      refused: How often it was refused.
      hint_ms: When it was last told to come back, in milliseconds, or None.
      first_ms: When the first event came, from its first try on, or None.
    """

    def __init__(self, world, kind, number):
        """Create a caller that has not asked yet."""
        self._world = world
        self._number = number
        self._start_ms = world.timers.clock.now_ms()
        self._flow = None
        self._heard_ms = None
        self._longest_gap_ms = 0
        self.kind = kind
        self.earned = 0
        self.refused = 0
        self.hint_ms = None
        self.first_ms = None

    def ask(self):
        """Ask, for the first or the second time."""
        now_ms = self._world.timers.clock.now_ms()
        job = make_job(
            request_id=f'r{self._number}-{self.refused}',
            arrived_ms=now_ms,
            deadline_ms=self._start_ms + _DEADLINE_MS,
            goal_ms=self.kind.goal_ms,
            gap_ms=self.kind.gap_ms,
            is_stream=True,
            repeat=RetryMode.RESUME,
            size=self.kind.size,
        )
        patience_ms = max(_PATIENCE_MS, _PATIENCE_GOALS * self.kind.goal_ms)
        self._world.timers.after(patience_ms, self._leave_unless_heard)
        self._flow = self._world.desk.submit(job, self)

    def on_answer(self, head, body):
        """See AnswerSink."""

    def on_head(self, head):
        """See AnswerSink."""

    def on_event(self, event):
        """See AnswerSink."""
        now_ms = self._world.timers.clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms - self._start_ms
        else:
            gap_ms = now_ms - self._heard_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        self._heard_ms = now_ms

    def on_end(self):
        """See AnswerSink."""
        in_time = self.first_ms <= self.kind.goal_ms
        in_time = in_time and self._longest_gap_ms <= self.kind.gap_ms
        part = 1 if in_time else _LATE_PART
        self.earned = self.kind.worth * part

    def on_refused(self, refusal):
        """See AnswerSink."""
        self.refused += 1
        self.hint_ms = refusal.retry_after_ms
        if self.refused > 1 or refusal.outcome != Outcome.NOT_RUN:
            return
        now_ms = self._world.timers.clock.now_ms()
        left_ms = self._start_ms + _DEADLINE_MS - now_ms
        wait_ms = min(refusal.retry_after_ms, left_ms * _MOST_WAIT)
        self._world.timers.after(wait_ms, self.ask)

    def _leave_unless_heard(self):
        if self.first_ms is None and self._flow is not None:
            self._flow.cancel()


class World:
    """One instance, its engines and its callers."""

    def __init__(self, chooser, engines, seed):
        """Create the world without callers.

        Args:
          chooser: The name of a chooser.
          engines: How many engines there are.
          seed: An int.
        """
        self.timers = ManualTimers()
        self.callers = []
        self._random = random.Random(seed)
        figures = make_figures(usual_prompt=12_000, usual_answer=1250)
        backends = make_backends(engines)
        parts = make_chooser_parts(self.timers, lambda: backends)
        parts.pool.engine_figures = figures
        parts.random = self._random
        parts.hints = RetryHints(self._random)
        parts.work_tracker = EngineWorkTracker(self.timers.clock.now_ms)
        chosen = choosers[chooser](parts)
        journal = FakeJournal()
        reservations = ReservationManager(
            FreeMemory(self.timers),
            self.timers,
            Metrics(),
            journal,
            'instance-boot',
        )
        ports = ForwarderPorts(
            forward=PassEngines(self.timers, figures, backends),
            timers=self.timers,
            metrics=Metrics(),
            journal=journal,
            reservations=reservations,
            hints=parts.hints,
            crashes=CrashHistory(self.timers.clock.now_ms),
            record_moved=None,
            find_chooser={POOL: chosen}.get,
        )
        limits = RetryLimits(ratio=0.2, slack=100, window_ms=_WINDOW_MS)
        self.desk = Forwarder(ports, limits)

    def play(self, load, length_ms=_LENGTH_MS):
        """Let callers come, and wait until all are served or gone.

        Args:
          load: By how much more of them come than in MIX.
          length_ms: For how long they come.
        """
        for kind in MIX:
            rate = kind.per_second * load / _MS_PER_SECOND
            at_ms = self._random.expovariate(rate)
            while at_ms < length_ms:
                self.timers.after(at_ms, partial(self._come, kind))
                at_ms += self._random.expovariate(rate)
        self.timers.advance(length_ms + 3 * _DEADLINE_MS)

    def _come(self, kind):
        caller = Caller(self, kind, len(self.callers))
        self.callers.append(caller)
        caller.ask()


def measure_goodput(chooser, load, engines=6, seed=1, length_ms=_LENGTH_MS):
    """Return the worth of answers a second.

    Args:
      chooser: The name of a chooser.
      load: See World.play.
      engines: How many engines there are.
      seed: An int.
      length_ms: See World.play.
    """
    world = World(chooser, engines, seed)
    world.play(load, length_ms)
    earned = sum(caller.earned for caller in world.callers)
    return earned / length_ms * _MS_PER_SECOND


def draw_curves(curves, path):
    """Draw goodput against load.

    Args:
      curves: A map from the names of choosers to lists of goodput, for LOADS.
      path: Where the picture is written.
    """
    from matplotlib import pyplot  # noqa: WPS433  (an extra)

    for name, goodput in curves.items():
        pyplot.plot(LOADS, goodput, marker='o', label=name)
    pyplot.xlabel('offered load, times the usual')
    pyplot.ylabel('worth of answers a second')
    pyplot.ylim(bottom=0)
    pyplot.legend()
    pyplot.savefig(path)


def main():
    """Print the curves of both ways, and draw them if asked to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--plot', type=Path, help='a picture to write')
    flags = parser.parse_args()
    curves = {}
    for name in (PREDICTED, ADMITS_ALL):
        curves[name] = [
            measure_goodput(name, load, flags.engines, flags.seed)
            for load in LOADS
        ]
        told = ' '.join(f'{one:.1f}' for one in curves[name])
        print(f'{name}: {told} at loads {LOADS}')
    if flags.plot is not None:
        draw_curves(curves, flags.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
