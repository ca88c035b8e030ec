"""Stateful test of the memory of requests: bounds, fairness and no loss."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crankchute.core.request_claim import Decision, MemoryClaim
from crankchute.core.request_memory import WAITING_BYTES, RequestMemory

_MEMORY = 16_000_000
_OWNERS = st.sampled_from(['a', 'b', 'c'])
_SIZES = st.integers(min_value=65_537, max_value=4_000_000)
_ALLOWED_MS = st.sampled_from([500, 4000, 20_000])
_STEPS_MS = st.integers(min_value=1, max_value=3000)
_CHOICES = st.integers(min_value=0)


class RequestMemoryMachine(RuleBasedStateMachine):
    """Requests that arrive, grow, end and are given up in any order."""

    def __init__(self):
        super().__init__()
        self.memory = RequestMemory(_MEMORY)
        self.now_ms = 0
        self.open = []

    @rule(size=_SIZES, owner=_OWNERS, allowed_ms=_ALLOWED_MS)
    def claim_large(self, size, owner, allowed_ms):
        """Claim memory for a large request."""
        claim = MemoryClaim(owner, self.now_ms, self.now_ms + allowed_ms)
        decision = self.memory.claim_large(claim, size, self.now_ms)
        if decision in {Decision.GRANTED, Decision.WAITS}:
            self.open.append(claim)
        else:
            self.memory.release(claim, self.now_ms)

    @rule(size=st.integers(min_value=1, max_value=65_536), owner=_OWNERS)
    def claim_small(self, size, owner):
        """Claim memory for a small request."""
        claim = MemoryClaim(owner, self.now_ms, self.now_ms + 1000)
        if self.memory.claim_small(claim, size) == Decision.GRANTED:
            self.open.append(claim)

    @precondition(lambda machine: machine.open)
    @rule(choice=_CHOICES, is_complete=st.booleans())
    def receive(self, choice, is_complete):
        """Receive bytes of a request that is read."""
        claim = self.open[choice % len(self.open)]
        if not claim.waits:
            claim.record_progress(self.now_ms, is_complete=is_complete)

    @precondition(lambda machine: machine.open)
    @rule(choice=_CHOICES)
    def end(self, choice):
        """End a request in any state."""
        self._release(self.open[choice % len(self.open)])

    @rule(step_ms=_STEPS_MS)
    def pass_time(self, step_ms):
        """Advance the time, and refuse what cannot be served."""
        self.now_ms += step_ms
        late = self.memory.list_late(self.now_ms)
        for claim in (*self.memory.list_hopeless(self.now_ms), *late):
            self._release(claim)

    @rule(memory=st.sampled_from([8_000_000, _MEMORY, 64_000_000]))
    def change_memory(self, memory):
        """Change the memory limit while requests are open."""
        self.memory.change_memory(memory)

    @invariant()
    def sums_match_the_requests(self):
        """No byte is counted twice or forgotten."""
        used = sum(one.size for one in self.open if not one.waits)
        assert self.memory.used == used
        assert set(self.memory.waiting) == {
            one for one in self.open if one.waits
        }

    @invariant()
    def waiting_requests_are_bounded(self):
        """Requests that wait take little, since they are not read."""
        assert len(self.memory.waiting) * WAITING_BYTES <= 64_000_000 // 16

    def teardown(self):
        """Let all requests end; those that wait are granted in turn."""
        self.memory.change_memory(_MEMORY)
        while self.open:
            self._release(self.open[0])
            assert all(one.waits for one in self.memory.waiting)
        assert not self.memory.used
        assert not self.memory.waiting

    def _release(self, claim):
        before = self.memory.used
        self.memory.release(claim, self.now_ms)
        self.open.remove(claim)
        assert self.memory.used <= before
        self.memory.grant_waiting(self.now_ms)
        assert self.memory.used <= max(self.memory.limit, before)


RequestMemoryMachine.TestCase.settings = settings(
    deadline=None,
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    phases=(Phase.generate,),
)
TestRequestMemory = RequestMemoryMachine.TestCase
