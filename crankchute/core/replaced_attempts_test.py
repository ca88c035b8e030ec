"""Tests of silent attempts whose successor can no longer be sent.

Time passes while its server is chosen.
"""

import pytest

from crankchute.core.forward_fakes import (
    FirstChooser,
    ForwardHarness,
    make_chooser_parts,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.core.silent_attempts import Verdict
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import AnswerHead

_DEADLINE_MS = 3000
_SILENCE_MS = 500
_WINDOW_MS = 1000
_MODES = (RetryMode.AGAIN, RetryMode.RESUME)


class SlowChooser(FirstChooser):
    """Takes its time.

    Attributes:
      takes_ms: How long the next choices take.
      in_use: The placements that have not ended, a list.
    """

    def __init__(self, parts):
        super().__init__(parts)
        self.max_silence_ms = _SILENCE_MS
        self.takes_ms = 0
        self.in_use = []

    def choose(self, job, avoided):
        self._parts.timers.suspend(self.takes_ms)
        return super().choose(job, avoided)

    def record_sent(self, job, placement):
        super().record_sent(job, placement)
        self.in_use.append(placement)

    def record_end(self, job, placement):
        self.in_use.remove(placement)


class SlowChoices:
    """A Forwarder with a SlowChooser, whose servers are silent."""

    def __init__(self):
        self.harness = ForwardHarness()
        self.timers = self.harness.timers
        self.chooser = SlowChooser(
            make_chooser_parts(self.timers, lambda: self.harness.backends)
        )
        self.forwarder = self.harness.forwarder
        self.forwarder.find_chooser = lambda _pool: self.chooser

    def submit(self, repeat):
        return self.harness.submit(
            repeat=repeat,
            is_stream=repeat == RetryMode.RESUME,
            deadline_ms=_DEADLINE_MS,
        )

    def fall_silent(self, takes_ms):
        """Let silent attempts be judged while the next choices take long."""
        self.chooser.takes_ms = takes_ms
        self.timers.advance(_SILENCE_MS + 1)
        self.chooser.takes_ms = 0


@pytest.mark.parametrize('repeat', _MODES)
@pytest.mark.parametrize(
    ('takes_ms', 'sent', 'in_use'), [(100, 2, 1), (_DEADLINE_MS, 1, 0)]
)
def test_placement_is_kept_though_the_deadline_passes_before_it_is_sent(
    takes_ms, sent, in_use, repeat
):
    world = SlowChoices()
    flow, sink = world.submit(repeat)
    world.fall_silent(takes_ms)
    calls = world.harness.port.calls
    assert len(calls) == sent
    assert calls[0].cancelled
    assert len(world.chooser.in_use) == in_use
    world.timers.advance(_DEADLINE_MS)
    assert not world.chooser.in_use
    assert flow.ended
    assert sink.events == [('refused', Outcome.FAILED)]


@pytest.mark.parametrize('repeat', _MODES)
@pytest.mark.parametrize(
    ('takes_ms', 'is_replaced'), [(100, True), (_WINDOW_MS, False)]
)
def test_retry_that_the_budget_denies_is_made(takes_ms, is_replaced, repeat):
    """The requests that allowed it leave the window meanwhile."""
    world = SlowChoices()
    world.forwarder.budgets.change_limits(
        RetryLimits(ratio=2, slack=0, window_ms=_WINDOW_MS)
    )
    _flow, sink = world.submit(repeat)
    world.fall_silent(takes_ms)
    calls = world.harness.port.calls
    assert len(calls) == 1 + is_replaced
    assert calls[0].cancelled == is_replaced
    assert len(world.chooser.in_use) == 1
    verdict = Verdict.REPLACED if is_replaced else Verdict.NO_BUDGET
    assert world.harness.journal.silences[-1] == verdict
    counts = world.forwarder.metrics.counts
    assert counts.get('retries', 0) == is_replaced
    calls[-1].listener.on_head(AnswerHead(200))
    calls[-1].listener.on_end()
    assert sink.events[-1] in {('answer', 200), ('end', None)}
    assert not world.chooser.in_use
