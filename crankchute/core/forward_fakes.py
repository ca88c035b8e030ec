"""Fakes of the forwarding ports, for tests, benchmarks and embedders."""

from random import Random

from crankchute.core.choosers import Chooser, ChooserParts
from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.engine_model import EngineFigures
from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_config import PoolConfig
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.forward_job import (
    ForwardJob,
    Placement,
    PromptSize,
    RetryMode,
)
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.core.retry_hints import RetryHints
from crankchute.core.reservations import ReservationManager, ReservationPort
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import AnswerSink, ForwardPort
from crankchute.ports.metrics import Metrics

POOL = 'pool-a'
_DEADLINE_MS = 10_000
_GOAL_MS = 300
_RETRY_WINDOW_MS = 10_000
_FIRST_PORT = 7000
_MAX_CONNECTIONS = 64
#: Timeout of reserve orders in DelayedReservations, in milliseconds.
_RESERVE_TIMEOUT_MS = 250
_DEFAULT_SIZE = PromptSize(prompt=5000, answer=1000)  # noqa: WPS432


class FakeCall:
    """An attempt that the test answers.

    Attributes:
      placement: The Placement.
      order: The AttemptOrder.
      listener: The AttemptListener.
      sent: Whether any bytes may have been sent, a bool.
      cancelled: Whether the attempt was cancelled, a bool.
      paused: Whether reading of the answer is paused, a bool.
    """

    def __init__(self, placement, order, listener):
        """Create the call."""
        self.placement = placement
        self.order = order
        self.listener = listener
        self.sent = True
        self.cancelled = False
        self.paused = False

    def cancel(self):
        """Record the cancellation."""
        self.cancelled = True

    def pause_reading(self):
        """Record the pause."""
        self.paused = True

    def resume_reading(self):
        """Record the end of the pause."""
        self.paused = False


class FakeForwardPort(ForwardPort):
    """Records the requests that are sent.

    Attributes:
      calls: The FakeCalls, a list.
      forgotten: The ids of servers whose connections were closed, a list.
      listening: A dict from server id to whether a process listens there;
        this is unknown for servers that are missing.
      unreached: The ids of servers to which no connection can be opened.
    """

    def __init__(self):
        """Create the port without calls."""
        self.calls = []
        self.forgotten = []
        self.listening = {}
        self.unreached = set()

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        call = FakeCall(placement, attempt, listener)
        self.calls.append(call)
        return call

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""
        on_known(self.listening.get(backend.identity))

    def probe(self, backend, on_known):
        """See ForwardPort."""
        on_known(backend.identity not in self.unreached)

    def forget(self, backend):
        """See ForwardPort."""
        self.forgotten.append(backend.identity)


class FakeReservations(ReservationPort):
    """Records memory orders until the test answers them.

    Attributes:
      pending_orders: The unanswered reserve orders, pairs of a PrefillHelper
        and a callback.
      released: The tickets of release orders, a list.
      answers_release: Whether release orders are answered, a bool.
    """

    def __init__(self):
        """Create the port without orders."""
        self.pending_orders = []
        self.released = []
        self.answers_release = True

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""
        self.pending_orders.append((helper, on_done))

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""
        self.released.append(helper.ticket)
        on_done(self.answers_release)

    def answer(self, is_done):
        """Answer all unanswered reserve orders.

        Args:
          is_done: True, False or None; see ReservationPort.reserve.
        """
        pending = self.pending_orders
        self.pending_orders = []
        for _helper, on_done in pending:
            on_done(is_done)


class DelayedReservations(ReservationPort):
    """Simulates the memory of engines behind a slow or lossy network.

    An order is executed and answered when it arrives.  If that is after its
    timeout, it counts as unanswered but is executed nevertheless.

    Attributes:
      delay_ms: How long orders take to arrive, or None if they are lost.
      held_until_ms: A dict from ticket to when its reservation expires.
    """

    def __init__(self, timers):
        """Create the simulation without reservations.

        Args:
          timers: A TimerService.
        """
        self._timers = timers
        self.delay_ms = 0
        self.held_until_ms = {}

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""

        def execute():
            until_ms = self._timers.clock.now_ms() + hold_ms
            self.held_until_ms[helper.ticket] = until_ms

        def on_answer(is_answered):
            on_done(is_answered or None)

        self._send(execute, _RESERVE_TIMEOUT_MS, on_answer)

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""

        def execute():
            self.held_until_ms.pop(helper.ticket, None)

        self._send(execute, timeout_ms, on_done)

    def is_held(self, ticket):
        """Tell whether memory is reserved.

        Args:
          ticket: The reservation's ticket id.
        """
        until_ms = self.held_until_ms.get(ticket, 0)
        return until_ms > self._timers.clock.now_ms()

    def _send(self, execute, timeout_ms, on_done):
        delay_ms = self.delay_ms
        if delay_ms is not None:
            self._timers.after(delay_ms, execute)
        is_answered = delay_ms is not None and delay_ms < timeout_ms
        answer_ms = delay_ms if is_answered else timeout_ms
        self._timers.after(answer_ms, lambda: on_done(is_answered))


class FakeSink(AnswerSink):
    """Records what a caller would receive.

    Attributes:
      events: A list of pairs of an event's name and its main value.
      retry_after_ms: The retry delay of a refusal, in milliseconds, or None.
    """

    def __init__(self):
        """Create the sink without an answer."""
        self.events = []
        self.retry_after_ms = None

    def on_answer(self, head, body):
        """See AnswerSink."""
        self.events.append(('answer', head.status))

    def on_head(self, head):
        """See AnswerSink."""
        self.events.append(('head', head.status))

    def on_event(self, event):
        """See AnswerSink."""
        self.events.append(('event', event.number))

    def on_end(self):
        """See AnswerSink."""
        self.events.append(('end', None))

    def on_refused(self, refusal):
        """See AnswerSink."""
        self.events.append(('refused', refusal.outcome))
        self.retry_after_ms = refusal.retry_after_ms


class FakeJournal:
    """Records the logged ends of requests and events about memory.

    Attributes:
      ends: The outcome codes of requests, a list.
      memory_events: Tuples of an event's name and its main values, a list.
      silences: The Verdicts on silent attempts, a list.
    """

    def __init__(self):
        """Create the journal without entries."""
        self.ends = []
        self.memory_events = []
        self.silences = []

    def log_request(self, job):
        """See ForwardJournal."""

    def log_not_admitted(self, job, refusal):
        """See ForwardJournal."""

    def log_attempt(self, flow, attempt, cause):
        """See ForwardJournal."""

    def log_attempt_end(self, flow, attempt, cause):
        """See ForwardJournal."""

    def log_silent(self, flow, attempt, alternatives):
        """See ForwardJournal."""
        self.silences.append(alternatives.verdict)

    def log_crash(self, backend, fingerprints):
        """See ForwardJournal."""

    def log_reserved(self, request_id, helpers, refused, took_ms):
        """See ForwardJournal."""
        refused_tickets = [helper.ticket for helper in refused]
        self.memory_events.append(('reservation', refused_tickets, took_ms))

    def log_memory_refused(self, request_id, helper, known_tokens):
        """See ForwardJournal."""
        self.memory_events.append(('refused', helper.ticket, known_tokens))

    def log_no_memory(self, request_id, refusal):
        """See ForwardJournal."""
        self.memory_events.append((refusal.code, request_id, refusal.inputs))

    def log_order_unanswered(self, name, request_id, helper):
        """See ForwardJournal."""
        self.memory_events.append(('unanswered', name, helper.ticket))

    def log_released(self, request_id, helper, attempts):
        """See ForwardJournal."""
        self.memory_events.append(('released', helper.ticket, attempts))

    def log_end(self, flow, outcome, code):
        """See ForwardJournal."""
        self.ends.append(code)


class FirstChooser(Chooser):
    """Chooses the first usable server.

    Attributes:
      helpers: The PrefillHelpers of the next placements, a tuple.
      ended_placements: The placements that ended, a list.
      max_silence_ms: How long servers may be silent, in milliseconds, or None
        for no limit.
    """

    def __init__(self, parts):
        """See Chooser."""
        super().__init__(parts)
        self.helpers = ()
        self.ended_placements = []
        self.max_silence_ms = None

    def choose(self, job, avoided):
        """See Chooser."""
        usable = self.usable(avoided)
        if not usable:
            return self.refuse()
        return Placement(usable[0], helpers=self.helpers)

    def stalled_at_ms(self, job, attempt):
        """See Chooser."""
        if self.max_silence_ms is None:
            return None
        return attempt.last_event_ms + self.max_silence_ms

    def record_end(self, job, placement):
        """See Chooser."""
        self.ended_placements.append(placement)


class ForwardHarness:
    """A Forwarder whose ports are fakes.

    Attributes:
      timers: ManualTimers.
      port: A FakeForwardPort.
      reservations: A FakeReservations.
      reservation_manager: The ReservationManager that uses these reservations.
      chooser: A FirstChooser.
      crashes: The CrashHistory.
      forwarder: The Forwarder.
      journal: A FakeJournal.
      moved: The Backends reported as no longer at their addresses, a list.
    """

    def __init__(self, servers=3, slack=100):
        """Create the Forwarder and its fakes.

        Args:
          servers: The number of backend servers.
          slack: The slack of the retry budget.
        """
        self.timers = ManualTimers()
        self.moved = []
        self.port = FakeForwardPort()
        self.reservations = FakeReservations()
        self.journal = FakeJournal()
        self.crashes = CrashHistory(self.timers.clock.now_ms)
        self.backends = make_backends(servers)
        metrics = Metrics()
        self.chooser = FirstChooser(
            make_chooser_parts(self.timers, lambda: self.backends)
        )
        self.reservation_manager = ReservationManager(
            self.reservations,
            self.timers,
            metrics,
            self.journal,
            'instance-boot',
        )
        ports = ForwarderPorts(
            forward=self.port,
            timers=self.timers,
            metrics=metrics,
            journal=self.journal,
            reservations=self.reservation_manager,
            hints=RetryHints(Random(1)),
            crashes=self.crashes,
            record_moved=self.moved.append,
            find_chooser={POOL: self.chooser}.get,
        )
        limits = RetryLimits(ratio=0, slack=slack, window_ms=_RETRY_WINDOW_MS)
        self.forwarder = Forwarder(ports, limits)

    def submit(self, **fields):
        """Submit a job.

        Args:
          fields: See make_job.
        Returns:
          A pair of the ForwardFlow and its FakeSink.
        """
        sink = FakeSink()
        flow = self.forwarder.submit(make_job(**fields), sink)
        return flow, sink


def make_backends(count):
    """Return a list of Backends with ascending ids.

    Args:
      count: The number of backends.
    """
    return [
        Backend(
            ListedServer(
                {
                    'id': f'server-{number:02}',
                    'kind': 'backend',
                    'address': f'127.0.0.1:{_FIRST_PORT + number}',
                    'data_centre': 'one',
                    'labels': {'pool': POOL},
                }
            )
        )
        for number in range(count)
    ]


def make_figures(**changes):
    """Return the EngineFigures of a typical engine.

    Args:
      changes: Attributes that differ from the defaults.
    """
    fields = {
        'slots': 8,
        'memory_tokens': 232_000,
        'stride': 43,
        'step_ms': 1.02,
        'writer_ms': 0.0045,
        'context_ms': 0.0043,
        'read_per_ms': 206,
        'pairs_ms': 0.138,
        'chunk': 2048,
        'hop_ms': 0.075,
        'stall_ms': 1500,
        'report_lag_ms': 200,
        'usual_prompt': 9000,
        'usual_answer': 1200,
    }
    fields.update(changes)
    return EngineFigures(**fields)


def make_chooser_parts(timers, members, announce_work=None):
    """Return ChooserParts with fixed random choices.

    Args:
      timers: ManualTimers.
      members: A function that returns Backends.
      announce_work: A function that is notified of sent work, or None.
    """
    ticket_numbers = iter(range(1000))
    return ChooserParts(
        pool=PoolConfig(POOL, _MAX_CONNECTIONS, make_figures()),
        members=members,
        timers=timers,
        random=_FixedRandom(),
        work_tracker=EngineWorkTracker(timers.clock.now_ms),
        announce_work=announce_work or _ignore,
        last_peer_message_age_ms=_ignore,
        hints=RetryHints(_FixedRandom()),
        data_centre='',
        is_connected=_ignore,
        create_ticket_id=lambda: f'ticket-{next(ticket_numbers)}',
        permits=ServerRateLimits(timers, 'entry-0', 'boot').permits,
        count_active=lambda: 1,
    )


def make_job(**changes):
    """Return a ForwardJob.

    Args:
      changes: Attributes that differ from the defaults.
    """
    fields = {
        'account': None,
        'arrived_ms': 0,
        'deadline_ms': _DEADLINE_MS,
        'fingerprint': 1,
        'gap_ms': 250,
        'goal_ms': _GOAL_MS,
        'is_keyed': False,
        'is_stream': False,
        'max_attempts': 2,
        'payload': None,
        'pool': POOL,
        'priority': 1,
        'repeat': RetryMode.AGAIN,
        'request_id': 'r1',
        'resume_after': None,
        'size': _DEFAULT_SIZE,
        'timeout_ms': _DEADLINE_MS,
    }
    fields.update(changes)
    fields.setdefault('urgency_rank', fields['priority'])
    return ForwardJob(**fields)


class _FixedRandom:
    """A deterministic replacement for random.Random."""

    def shuffle(self, _choices):
        """Keep the order."""

    def choice(self, choices):
        """Return the first choice."""
        return choices[0]

    def randrange(self, _stop):
        """Return zero."""
        return 0

    def uniform(self, low, high):
        """Return the middle of the range."""
        return (low + high) / 2


def _ignore(*_args):
    """Ignore a notification, or return None for an unknown value."""
