"""Estimates of the work in progress at every engine.

An instance knows its own requests exactly and those of other instances from
their updates.  Load reports of engines are older than a short prompt takes,
so scheduling uses these estimates instead.  A wrong entry costs efficiency,
never correctness, and expires at the deadline of its request.
"""

import enum
import heapq

from crankchute.core.account_shares import NO_ACCOUNT, AccountShares
from crankchute.core.length_demand import LengthDemand
from crankchute.core.reported_load import UnattributedLoad

#: Typical duration of a scheduler pass with decoding requests, in
#: milliseconds; used only to mark delayed requests.
_TYPICAL_PASS_MS = 50
#: Ratio of the observed to the predicted time to the first event from which
#: an engine counts as slow; above the variation of healthy engines.
_SLOW_THRESHOLD = 1.8
_MAX_SLOWNESS = 10
_SLOWNESS_WEIGHT = 0.5
#: How long an engine that refused a reservation is left out if no known work
#: ends there: its memory may be held by work that this instance never hears of.
_MAX_LEFT_OUT_MS = 500
#: The half-life of an observed slowness.
_SLOWNESS_HALF_LIFE_MS = 3000


#: The attributes of a WorkItem that its constructor takes.
_GIVEN_FIELDS = (
    'prefill_ms',
    'memory',
    'is_decoding',
    'gap_ms',
    'weight',
    'priority',
    'until_ms',
    'due_ms',
    'first_event_at_ms',
    'is_prioritized',
    'account',
)


class Change(enum.IntEnum):
    """A state change of a piece of work."""

    SENT = 0
    STARTED = 1
    ENDED = 2


class WorkItem:
    """A prompt, or one engine's part of a shared prompt.

    Attributes:
      key: A string that is unique to the attempt across the fleet.
      engine: The engine's id.
      origin: The id of the instance that sent it, or None if this one did.
      prefill_ms: The predicted prefill time.
      memory: KV memory that it needs, in tokens.
      is_decoding: Whether the engine also decodes the answer, a bool.
      gap_ms: The goal for the time between its events.
      weight: Its value if on time, relative to that of a usual prompt.
      priority: The urgency rank of its request, lower is more urgent.
      until_ms: The deadline of the request, on this process's clock.
      due_ms: The goal for the time of the first event.
      first_event_at_ms: The predicted time of the first event.
      is_prioritized: Whether its prefill runs before those that wait, as for a
        prompt shared by several engines, a bool.
      account: The hash of the client account, 0 for none.
      sent_ms: When this instance recorded it, or None.
      started: Whether its first event has arrived, a bool.
      is_delayed: Whether a gap beyond gap_ms is expected, a bool.
    """

    __slots__ = (
        'account',
        'due_ms',
        'engine',
        'first_event_at_ms',
        'gap_ms',
        'is_decoding',
        'is_delayed',
        'is_prioritized',
        'key',
        'memory',
        'origin',
        'prefill_ms',
        'priority',
        'sent_ms',
        'started',
        'until_ms',
        'weight',
    )

    def __init__(self, key, engine, **fields):
        """Create the record of newly sent work.

        Args:
          key: See the class.
          engine: See the class.
          fields: Values for the attributes from prefill_ms to account.
        """
        self.key = key
        self.engine = engine
        self.origin = None
        self.sent_ms = None
        for name in _GIVEN_FIELDS:
            setattr(self, name, fields[name])
        self.started = False
        self.is_delayed = False


class EngineState:
    """The estimated state of one engine.

    Attributes:
      works: A map from key to WorkItem.
      prefill_until_ms: The predicted end of all prefills sent so far.
      memory: KV memory of the works, in tokens.
      decode_count: The number of works that the engine decodes.
    """

    __slots__ = (
        '_left_out_until_ms',
        '_refused_tokens',
        '_slowness',
        '_slowness_at_ms',
        '_unreported',
        'decode_count',
        'memory',
        'prefill_until_ms',
        'works',
    )

    def __init__(self):
        """Create the state of an idle engine."""
        self.works = {}
        self.prefill_until_ms = float(0)
        self._slowness = float(1)
        self._slowness_at_ms = float(0)
        self._unreported = UnattributedLoad()
        self._refused_tokens = None
        self._left_out_until_ms = float(0)
        self.memory = 0
        self.decode_count = 0

    def record_refused(self, tokens, now_ms):
        """Record that the engine refused to reserve memory.

        Args:
          tokens: The size of the reservation.
          now_ms: The time.
        """
        self._refused_tokens = tokens
        self._left_out_until_ms = now_ms + _MAX_LEFT_OUT_MS

    def refused_tokens(self, now_ms):
        """Return the size of a reservation refused recently, or None.

        A refusal counts until known work that held memory ends, at most 500 ms.

        Args:
          now_ms: The time.
        """
        return self._refused_tokens if self.left_out_ms(now_ms) else None

    def refuses(self, tokens, now_ms):
        """Return whether a reservation of at most this size was refused.

        Args:
          tokens: The memory needed.
          now_ms: The time.
        """
        return (
            now_ms < self._left_out_until_ms and tokens >= self._refused_tokens
        )

    def left_out_ms(self, now_ms):
        """Return for how long a refusal still counts, in milliseconds."""
        return max(self._left_out_until_ms - now_ms, 0)

    def slowness(self, now_ms):
        """Return the estimated ratio of actual to published durations.

        The estimate decays towards 1, so that an engine without traffic is
        tried again.

        Args:
          now_ms: The time.
        """
        age_ms = now_ms - self._slowness_at_ms
        decay = 0.5 ** (age_ms / _SLOWNESS_HALF_LIFE_MS)
        return 1 + (self._slowness - 1) * decay

    def update_slowness(self, ratio, now_ms):
        """Update the slowness from the latency of a first event.

        Args:
          ratio: Observed by predicted latency; values in the normal range
            are ignored unless the engine is slow.
          now_ms: The time.
        """
        previous = self.slowness(now_ms)
        if ratio < _SLOW_THRESHOLD and previous < _SLOW_THRESHOLD:
            return
        observed = min(max(ratio * previous, 1), _MAX_SLOWNESS)
        self._slowness = previous + _SLOWNESS_WEIGHT * (observed - previous)
        self._slowness_at_ms = now_ms

    def record_load(self, load, now_ms):
        """Record a load that the engine stated.

        Args:
          load: A ReportedLoad.
          now_ms: The time.
        """
        stated_at_ms = now_ms - load.age_ms
        known = sum(
            work.is_decoding and work.sent_ms <= stated_at_ms
            for work in self.works.values()
        )
        self._unreported.record(load, known, now_ms)

    def count_requests(self, now_ms, usual_ms):
        """Return the estimated number of requests at the engine.

        Args:
          now_ms: The time.
          usual_ms: The duration of a usual request.
        Returns:
          A float; requests unknown to all instances count partially.
        """
        return self.decode_count + self._unreported.estimate(now_ms, usual_ms)

    def wait_ms(self, now_ms):
        """Return the queueing delay of a new prefill, in milliseconds."""
        return max(self.prefill_until_ms - now_ms, 0)

    def add(self, work, now_ms):
        """Add newly sent work.

        Args:
          work: A WorkItem; ignored if its key is known.
          now_ms: The time.
        """
        if work.key in self.works:
            return
        work.sent_ms = now_ms
        self.works[work.key] = work
        self.memory += work.memory
        self.decode_count += work.is_decoding
        prefill_ms = work.prefill_ms * self.slowness(now_ms)
        if work.is_prioritized:
            self._postpone_waiting(work, prefill_ms)
        start_ms = max(self.prefill_until_ms, now_ms)
        self.prefill_until_ms = start_ms + prefill_ms
        pause_ms = self.prefill_until_ms - now_ms + _TYPICAL_PASS_MS
        for other in self.works.values():
            if other.started and pause_ms > other.gap_ms:
                other.is_delayed = True

    def list_delayed_decodes(self, pause_ms):
        """Return the works that would miss their gap goal by a decode pause.

        Args:
          pause_ms: The duration of the pause.
        Returns:
          A list of WorkItem without those already delayed.  It includes waiting
          works, which will be decoding by then.
        """
        return [
            work
            for work in self.works.values()
            if work.is_decoding
            and not work.is_delayed
            and pause_ms > work.gap_ms
        ]

    def list_delayed_prefills(self, prefill_ms):
        """Return the works whose first event a prioritized prefill delays.

        Args:
          prefill_ms: The duration of the prefill that runs before all others.
        Returns:
          A list of WorkItem that miss their goal by it, without those already
          late.
        """
        return [
            work
            for work in self.works.values()
            if not work.started
            and work.first_event_at_ms
            <= work.due_ms
            < work.first_event_at_ms + prefill_ms
        ]

    def start(self, key, now_ms):
        """Record the end of a prefill.

        Args:
          key: The key of its WorkItem.
          now_ms: The time.
        """
        work = self.works.get(key)
        if work is not None and not work.started:
            work.started = True
            self._shorten_wait(now_ms)

    def end(self, key, now_ms):
        """Remove work that has ended.

        Args:
          key: The key of its WorkItem.
          now_ms: The time.
        """
        work = self.works.pop(key, None)
        if work is None:
            return
        self.memory -= work.memory
        self.decode_count -= work.is_decoding
        if work.started:
            # Work that never started may itself be a refused reservation.
            self._left_out_until_ms = float(0)
        else:
            self._shorten_wait(now_ms)

    def _postpone_waiting(self, prioritized, prefill_ms):
        """Postpone waiting works by the duration of a prioritized prefill."""
        for work in self.works.values():
            if not work.started and work is not prioritized:
                work.first_event_at_ms += prefill_ms

    def _shorten_wait(self, now_ms):
        """Limit the predicted wait to the prefills still outstanding."""
        outstanding_ms = sum(
            work.prefill_ms for work in self.works.values() if not work.started
        )
        until_ms = now_ms + outstanding_ms * self.slowness(now_ms)
        self.prefill_until_ms = min(self.prefill_until_ms, until_ms)


class EngineWorkTracker:
    """The estimated states of all engines, by id.

    Attributes:
      demand: The LengthDemand of all work sent.
      account_shares: The AccountShares of all work sent.
    """

    def __init__(self, now_ms, estimate_slot_ms=None):
        """Create an empty work_tracker.

        Args:
          now_ms: A function that returns the time in milliseconds.
          estimate_slot_ms: A function of an engine's id that returns the
            decode time of a usual answer there, divided by the slots of the
            engine.  None if only prefills count as the cost of work.
        """
        self._now_ms = now_ms
        self._estimate_slot_ms = estimate_slot_ms
        self._states = {}
        self._expiries = []
        self.demand = LengthDemand()
        self.account_shares = AccountShares()

    def state(self, engine):
        """Return the EngineState of an engine.

        Args:
          engine: The engine's id.
        """
        state = self._states.get(engine)
        if state is None:
            state = EngineState()
            self._states[engine] = state
        return state

    def add(self, work):
        """Add a WorkItem sent by this instance or another."""
        now_ms = self._now_ms()
        state = self.state(work.engine)
        if work.key not in state.works:
            self.demand.record(work, now_ms)
            self._record_cost(work, now_ms)
        state.add(work, now_ms)
        heapq.heappush(self._expiries, (work.until_ms, work.key, work.engine))
        self._drop_expired()

    def start(self, engine, key):
        """Record the first event of a prompt."""
        self.state(engine).start(key, self._now_ms())

    def end(self, engine, key):
        """Remove work that has ended."""
        self.state(engine).end(key, self._now_ms())

    def forget(self, engine):
        """Drop the state of a removed engine.

        Args:
          engine: The engine's id.
        """
        self._states.pop(engine, None)

    def has_work(self, engine):
        """Return whether any work is known at an engine, a bool.

        Args:
          engine: The engine's id.
        """
        state = self._states.get(engine)
        return state is not None and bool(state.works)

    def list_work_of(self, origin):
        """Return the WorkItems sent by an instance, a list.

        Args:
          origin: The instance's id, or None for this one.
        """
        return [
            work
            for state in self._states.values()
            for work in state.works.values()
            if work.origin == origin
        ]

    def record(self, update):
        """Apply an update of another instance.

        Args:
          update: A WorkChange.
        """
        work = update.work
        if update.change == Change.SENT:
            self.add(work)
        elif update.change == Change.STARTED:
            self.start(work.engine, work.key)
        else:
            self.end(work.engine, work.key)

    def replace(self, origin, changes):
        """Replace all work of another instance.

        Args:
          origin: The instance's id.
          changes: A list of WorkChange; works missing from it have ended.
        """
        current_keys = {update.work.key for update in changes}
        for work in self.list_work_of(origin):
            if work.key not in current_keys:
                self.end(work.engine, work.key)
        for update in changes:
            self.add(update.work)
            if update.change == Change.STARTED:
                self.start(update.work.engine, update.work.key)

    def _record_cost(self, work, now_ms):
        if work.account == NO_ACCOUNT:
            return
        cost_ms = work.prefill_ms
        if work.is_decoding and self._estimate_slot_ms is not None:
            cost_ms += self._estimate_slot_ms(work.engine)
        self.account_shares.record(work.account, cost_ms, now_ms)

    def _drop_expired(self):
        now_ms = self._now_ms()
        while self._expiries and self._expiries[0][0] < now_ms:
            _until_ms, key, engine = heapq.heappop(self._expiries)
            state = self._states.get(engine)
            if state is not None:
                state.end(key, now_ms)
