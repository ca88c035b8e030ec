"""Measures goodput against offered load: `python -m bench.overload`.

One instance sends requests of mixed lengths to a pool of simulated engines in
virtual time.  Callers cancel when no first event arrives in time, and retry
once when they are refused.  Runs are deterministic.
"""

import argparse
import random
import sys
from functools import partial
from pathlib import Path

from bench.pass_engines import PassEngines, UnlimitedMemory
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
from crankchute.core.memory_planning import MemoryPlanner
from crankchute.core.outcomes import Outcome
from crankchute.core.reservations import ReservationManager
from crankchute.core.retry_hints import RetryHints
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import AnswerSink
from crankchute.ports.metrics import Metrics

#: The name of a chooser that never refuses, for comparison.
ADMITS_ALL = 'predicted, sends all'
LOADS = (0.25, 0.5, 1, 1.5, 2, 3, 4)
_WINDOW_MS = 10_000
_LATE_UTILITY_FACTOR = 0.25
_DEADLINE_MS = 10_000
#: A caller cancels when no first event arrives within this time, or within
#: _PATIENCE_GOALS times its latency target if that is longer.
_MIN_PATIENCE_MS = 2000
_PATIENCE_GOALS = 4
#: Callers wait at most this fraction of their remaining time.
_MAX_WAIT_FRACTION = 0.33
_DURATION_MS = 30_000
_MS_PER_SECOND = 1000


class RequestKind:
    """A kind of request in the mix.

    Attributes:
      size: The PromptSize.
      per_second: The arrival rate at load 1.
      goal_ms: The target latency of the first event.
      gap_ms: The longest acceptable gap between events.
      utility: The utility of an answer that meets both targets.
      priority: The priority, from 0 (highest) to 9.
    """

    __slots__ = (
        'gap_ms',
        'goal_ms',
        'per_second',
        'priority',
        'size',
        'utility',
    )

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
        self.utility = fields['utility']
        self.priority = fields.get('priority', 1)


#: Typical lengths, rates, targets and utilities of a deployment.
MIX = (
    RequestKind(
        PromptSize(5000, 1300), 18, goal_ms=300, gap_ms=250, utility=1.3
    ),
    RequestKind(
        PromptSize(45_000, 780), 1, goal_ms=1500, gap_ms=600, utility=3.9
    ),
    RequestKind(
        PromptSize(182_000, 640), 0.5, goal_ms=3000, gap_ms=1000, utility=24
    ),
)
#: The same with priorities: short prompts are the most urgent ones.
URGENT_MIX = (
    RequestKind(
        PromptSize(5000, 1500),
        18,
        goal_ms=270,
        gap_ms=250,
        utility=1.8,
        priority=0,
    ),
    RequestKind(
        PromptSize(45_000, 880),
        2,
        goal_ms=1500,
        gap_ms=600,
        utility=2.4,
        priority=1,
    ),
    RequestKind(
        PromptSize(182_000, 720),
        0.75,
        goal_ms=6000,
        gap_ms=1000,
        utility=7.3,
        priority=2,
    ),
)


class NeverRefusingPlanner(MemoryPlanner):
    """Places prompts at engines whose memory is used up, too."""

    def select(self, job, backends, now_ms, max_wait_ms):
        """See MemoryPlanner."""
        return backends

    def may_reserve(self, engine, tokens, now_ms):
        """See MemoryPlanner."""
        return True

    def still_fits(self, work):
        """See MemoryPlanner."""
        return True


@choosers.register(ADMITS_ALL)
class NeverRefusingChooser(EngineChooser):
    """Places every request, even if others then miss their targets."""

    def __init__(self, parts):
        """See Chooser."""
        super().__init__(parts)
        self._memory = NeverRefusingPlanner(
            self._figures, self._work_tracker.state
        )

    def _find_refusal(self, job, plan):
        """Refuse nothing."""


class Caller(AnswerSink):
    """Sends a request, and retries it once if it is refused.

    Attributes:
      kind: The RequestKind of its request.
      earned: The utility of its answer, 0 until it is complete.
      refused: The number of refusals.
      hint_ms: The retry delay of the last refusal, or None.
      start_ms: When it sent the request for the first time.
      sent_ms: When it last sent the request.
      first_event_ms: The time from the first attempt to the first event, or
        None.
    """

    def __init__(self, world, kind, number):
        """Create a caller that has not sent its request yet."""
        self._world = world
        self._number = number
        self.start_ms = world.timers.clock.now_ms()
        self._flow = None
        self._last_event_ms = None
        self._longest_gap_ms = 0
        self.kind = kind
        self.earned = 0
        self.refused = 0
        self.hint_ms = None
        self.first_event_ms = None
        self.sent_ms = None

    @property
    def is_timely(self):
        """Whether it was served in time from the submission that was served."""
        if not self.earned:
            return False
        waited_ms = self.sent_ms - self.start_ms
        first_ms = self.first_event_ms - waited_ms
        has_gap = self._longest_gap_ms > self.kind.gap_ms
        return first_ms <= self.kind.goal_ms and not has_gap

    def send_request(self):
        """Send the request, or retry it."""
        now_ms = self._world.timers.clock.now_ms()
        self.sent_ms = now_ms
        job = make_job(
            request_id=f'r{self._number}-{self.refused}',
            arrived_ms=now_ms,
            deadline_ms=self.start_ms + _DEADLINE_MS,
            goal_ms=self.kind.goal_ms,
            gap_ms=self.kind.gap_ms,
            is_stream=True,
            repeat=RetryMode.RESUME,
            size=self.kind.size,
            priority=self.kind.priority,
        )
        patience_ms = max(_MIN_PATIENCE_MS, _PATIENCE_GOALS * self.kind.goal_ms)
        self._world.timers.after(patience_ms, self._cancel_if_silent)
        self._flow = self._world.desk.submit(job, self)

    def on_answer(self, head, body):
        """See AnswerSink."""

    def on_head(self, head):
        """See AnswerSink."""

    def on_event(self, event):
        """See AnswerSink."""
        now_ms = self._world.timers.clock.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.start_ms
        else:
            gap_ms = now_ms - self._last_event_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms

    def on_end(self):
        """See AnswerSink."""
        in_time = self.first_event_ms <= self.kind.goal_ms
        in_time = in_time and self._longest_gap_ms <= self.kind.gap_ms
        utility_factor = 1 if in_time else _LATE_UTILITY_FACTOR
        self.earned = self.kind.utility * utility_factor

    def on_refused(self, refusal):
        """See AnswerSink."""
        self.refused += 1
        self.hint_ms = refusal.retry_after_ms
        if self.refused > 1 or refusal.outcome != Outcome.NOT_RUN:
            return
        now_ms = self._world.timers.clock.now_ms()
        left_ms = self.start_ms + _DEADLINE_MS - now_ms
        wait_ms = min(refusal.retry_after_ms, left_ms * _MAX_WAIT_FRACTION)
        self._world.timers.after(wait_ms, self.send_request)

    def _cancel_if_silent(self):
        if self.first_event_ms is None and self._flow is not None:
            self._flow.cancel()


class World:
    """A simulation of one instance, its engines and its callers."""

    def __init__(self, chooser, engines, seed):
        """Create the simulation without callers.

        Args:
          chooser: The name of a chooser.
          engines: The number of engines.
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
        pool_chooser = choosers[chooser](parts)
        journal = FakeJournal()
        reservations = ReservationManager(
            UnlimitedMemory(self.timers),
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
            find_chooser={POOL: pool_chooser}.get,
        )
        limits = RetryLimits(ratio=0.2, slack=100, window_ms=_WINDOW_MS)
        self.desk = Forwarder(ports, limits)

    def play(self, load, length_ms=_DURATION_MS, mix=MIX):
        """Simulate the arrivals of callers until all have an outcome.

        Args:
          load: A factor on the arrival rates of the mix.
          length_ms: The period in which callers arrive.
          mix: RequestKinds.
        """
        for kind in mix:
            self.add_arrivals(kind, kind.per_second * load, 0, length_ms)
        self.timers.advance(length_ms + 3 * _DEADLINE_MS)

    def add_arrivals(self, kind, per_second, start_ms, end_ms):
        """Schedule the random arrivals of callers.

        Args:
          kind: A RequestKind.
          per_second: The arrival rate.
          start_ms: The start of the period.
          end_ms: The end of the period.
        """
        rate = per_second / _MS_PER_SECOND
        at_ms = start_ms + self._random.expovariate(rate)
        while at_ms < end_ms:
            self.timers.after(at_ms, partial(self._add_caller, kind))
            at_ms += self._random.expovariate(rate)

    def _add_caller(self, kind):
        caller = Caller(self, kind, len(self.callers))
        self.callers.append(caller)
        caller.send_request()


def measure_goodput(
    chooser, load, engines=6, seed=1, length_ms=_DURATION_MS, mix=MIX
):
    """Return the utility of answers per second.

    Args:
      chooser: The name of a chooser.
      load: See World.play.
      engines: The number of engines.
      seed: An int.
      length_ms: See World.play.
      mix: See World.play.
    """
    world = World(chooser, engines, seed)
    world.play(load, length_ms, mix)
    earned = sum(caller.earned for caller in world.callers)
    return earned / length_ms * _MS_PER_SECOND


def draw_curves(curves, path):
    """Plot goodput against load.

    Args:
      curves: A map from the names of choosers to lists of goodput, for LOADS.
      path: The image file to write.
    """
    from matplotlib import pyplot  # noqa: WPS433  (an extra)

    for name, goodput in curves.items():
        pyplot.plot(LOADS, goodput, marker='o', label=name)
    pyplot.xlabel('offered load, relative to the usual')
    pyplot.ylabel('utility of answers per second')
    pyplot.ylim(bottom=0)
    pyplot.legend()
    pyplot.savefig(path)


def main():
    """Print the curves of both choosers, and plot them with --plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--plot', type=Path, help='image file to write')
    flags = parser.parse_args()
    curves = {}
    for name in (PREDICTED, ADMITS_ALL):
        curves[name] = [
            measure_goodput(name, load, flags.engines, flags.seed)
            for load in LOADS
        ]
        goodputs = ' '.join(f'{one:.1f}' for one in curves[name])
        print(f'{name}: {goodputs} at loads {LOADS}')
    if flags.plot is not None:
        draw_curves(curves, flags.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
