"""A model of instances that compete for the memory of engines, for tests.

Instances choose, reserve and send as in production.  They learn of each
other's work late, and of the engines' memory only by the answers to orders.
"""

import copy
from collections import Counter
from functools import partial
from random import Random

from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_config import PoolConfig
from crankchute.core.forward_fakes import (
    POOL,
    FakeJournal,
    FakeSink,
    make_backends,
    make_chooser_parts,
    make_figures,
    make_job,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.memory_fakes import (
    MEMORY_TOKENS,
    NETWORK_MS,
    ModelCall,
    ModelEngine,
)
from crankchute.core.peer_message import WorkChange
from crankchute.core.reservations import ReservationManager, ReservationPort
from crankchute.core.retry_hints import RetryHints
from crankchute.core.sliding_budget import RetryLimits
from crankchute.ports.forwarding import ForwardPort
from crankchute.ports.metrics import Metrics

USUAL_PROMPT = 4960
_MAX_CONNECTIONS = 64
_SLOTS = 6
#: How long other instances take to notice that an instance died.
_DEATH_NOTICE_MS = 2500
_RETRY_WINDOW_MS = 10_000


class ModelJournal(FakeJournal):
    """Counts the refused reservations of each request.

    Attributes:
      refusals: A Counter of refused reservations by request id.
    """

    def __init__(self):
        """Create the journal without entries."""
        super().__init__()
        self.refusals = Counter()

    def log_reserved(self, request_id, helpers, refused, took_ms):
        """See ForwardJournal."""
        super().log_reserved(request_id, helpers, refused, took_ms)
        self.refusals[request_id] += bool(refused)


class ModelInstance(ForwardPort, ReservationPort):
    """An instance with its own knowledge of the work at the engines.

    Attributes:
      world: The ModelWorld.
      is_dead: Whether it died; it sends and receives nothing from then on.
      metrics: Its Metrics.
      journal: Its ModelJournal.
      work_tracker: Its EngineWorkTracker.
    """

    def __init__(self, world, name):
        """Create the instance; it must be connected to its peers later."""
        self.world = world
        self.name = name
        self.is_dead = False
        self.metrics = Metrics()
        self.journal = ModelJournal()
        self.calls = []
        manager = ReservationManager(
            self, world.timers, self.metrics, self.journal, name
        )
        parts = make_chooser_parts(
            world.timers, lambda: world.backends, self._announce
        )
        parts.random = Random(name)
        parts.create_ticket_id = manager.create_ticket_id
        figures = make_figures(
            slots=_SLOTS,
            memory_tokens=MEMORY_TOKENS,
            usual_prompt=USUAL_PROMPT,
        )
        parts.pool = PoolConfig(POOL, _MAX_CONNECTIONS, figures)
        self.work_tracker = parts.work_tracker
        ports = ForwarderPorts(
            forward=self,
            timers=world.timers,
            metrics=self.metrics,
            journal=self.journal,
            reservations=manager,
            hints=RetryHints(Random(name)),
            crashes=CrashHistory(world.timers.clock.now_ms),
            record_moved=None,
            find_chooser={POOL: EngineChooser(parts)}.get,
        )
        limits = RetryLimits(ratio=0, slack=100, window_ms=_RETRY_WINDOW_MS)
        self.forwarder = Forwarder(ports, limits)

    def submit(self, **fields):
        """Submit a stream; return its FakeSink."""
        now_ms = self.world.timers.clock.now_ms()
        sink = FakeSink()
        deadline_ms = now_ms + fields.pop('remaining_ms')
        self.forwarder.submit(
            make_job(
                arrived_ms=now_ms,
                deadline_ms=deadline_ms,
                is_stream=True,
                repeat=RetryMode.RESUME,
                **fields,
            ),
            sink,
        )
        return sink

    def die(self):
        """Stop at once; connections close and other instances notice later."""
        self.is_dead = True
        for call in self.calls:
            call.cancel()
        for peer in self.world.instances:
            self.world.timers.after(
                _DEATH_NOTICE_MS,
                partial(peer.work_tracker.replace, self.name, []),
            )

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        call = ModelCall(self, job, placement, listener)
        self.calls.append(call)
        reserved = sum(helper.tokens for helper in placement.helpers)
        tokens = max(job.size.kv_tokens - reserved, 0)
        self._transmit(lambda: call.engine.run(call, tokens))
        return call

    def ask_listening(self, backend, on_known):
        """See ForwardPort."""

    def forget(self, backend):
        """See ForwardPort."""

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""
        engine = self.world.engines[helper.backend.identity]

        def execute():
            is_held = engine.reserve(helper.ticket, helper.tokens, hold_ms)
            self._transmit(lambda: on_done(is_held))

        self._transmit(execute)

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""
        engine = self.world.engines[helper.backend.identity]

        def execute():
            engine.release(helper.ticket)
            self._transmit(lambda: on_done(True))  # noqa: WPS425

        self._transmit(execute)

    def _transmit(self, callback):
        """Call after the network delay, unless this instance died before."""

        def deliver():
            if not self.is_dead:
                callback()

        self.world.timers.after(NETWORK_MS, deliver)

    def _announce(self, change, work):
        if not self.is_dead:
            self.world.announce(self, change, work)


class ModelWorld:
    """Engines, and instances that hear of each other's work with a delay.

    Attributes:
      timers: ManualTimers.
      backends: The engines' Backends.
      engines: A dict from an engine's id to its ModelEngine.
      instances: The ModelInstances, a list.
    """

    def __init__(self, engine_count, instance_count, news_ms):
        """Create idle engines and instances.

        Args:
          engine_count: The number of engines.
          instance_count: The number of instances.
          news_ms: The delay of news about work between instances.
        """
        self.timers = ManualTimers()
        self.backends = make_backends(engine_count)
        self.engines = {
            backend.identity: ModelEngine(self.timers)
            for backend in self.backends
        }
        self._news_ms = news_ms
        self.instances = [
            ModelInstance(self, f'instance-{number}')
            for number in range(instance_count)
        ]

    def announce(self, sender, change, work):
        """Tell the other instances about a change of work.

        Args:
          sender: The ModelInstance.
          change: A Change.
          work: A WorkItem.
        """
        for peer in self.instances:
            if peer is not sender and not peer.is_dead:
                told = copy.copy(work)
                told.origin = sender.name
                self.timers.after(
                    self._news_ms,
                    partial(peer.work_tracker.record, WorkChange(change, told)),
                )

    def count_reservations(self, outcome):
        """Return the number of reservations of all instances.

        Args:
          outcome: The label of the metric.
        """
        return sum(
            instance.metrics.counts.get(('reservations', outcome), 0)
            for instance in self.instances
        )
