"""Simulation of engines and dispatchers in one process, in virtual time."""

import random
from functools import partial

from crankchute.core.account_limits import AccountLimits
from crankchute.core.config_loader import load_config
from crankchute.core.dispatcher import Dispatcher, DispatcherPorts
from crankchute.core.fakes import (
    ManualTimers,
    RecordingSink,
    make_config_documents,
    make_job,
    make_listed_instance,
)
from crankchute.core.fleet import Fleet, LoadReport
from crankchute.core.frames import Frame
from crankchute.core.prefix_index import hash_blocks
from crankchute.ports.engines import EnginePort, SegmentExport
from crankchute.ports.metrics import Metrics
from crankchute.standins.engine_model import EngineModel, EngineSettings, Work

_NETWORK_MS = 1
_BUSY_RETRY_MS = 100
_DATA_CENTRES = 3


class RunningWork:
    """A handle to cancel work in progress on a model."""

    __slots__ = ('_key', '_model')

    def __init__(self, model, key):
        """Create the handle.

        Args:
          model: The EngineModel.
          key: The key of the Work.
        """
        self._model = model
        self._key = key

    def cancel(self):
        """Cancel the work."""
        self._model.cancel(self._key)


class LocalEngines(EnginePort):
    """An engine port that calls engine models after a network delay."""

    def __init__(self, timers, models):
        """Create the port.

        Args:
          timers: A ManualTimers.
          models: A dict from engine id to EngineModel.
        """
        self._timers = timers
        self._models = models

    def generate(self, backend, order, listener):
        """See EnginePort."""
        model = self._models[backend.identity]
        key = (order.request_id, order.attempt)
        start = partial(self._start, model, key, order, listener)
        self._timers.after(_NETWORK_MS, start)
        return RunningWork(model, key)

    def hold(self, backend, order, on_done):
        """See EnginePort."""
        memory = self._models[backend.identity].memory
        expiry_ms = self._timers.clock.now_ms() + order.deadline_ms
        held = memory.hold(order.group, order.tokens, expiry_ms)
        self._timers.after(_NETWORK_MS, partial(on_done, held))

    def release(self, backend, group):
        """See EnginePort."""
        self._models[backend.identity].memory.release(group)

    def prefill(self, backend, order, on_done):
        """See EnginePort."""
        model = self._models[backend.identity]
        key = (order.group, order.index)
        export = SegmentExport(None, order.group, order.index, 'carry')
        work = Work(
            key,
            priority=order.priority,
            left=model.count_tokens(order.prompt),
            need=0,
            crc=0,
            max_tokens=0,
            deadline_ms=self._timers.clock.now_ms() + order.deadline_ms,
            on_done=lambda done: on_done(export if done else None),
        )
        model.submit(work)
        return RunningWork(model, key)

    def _start(self, model, key, order, listener):
        tokens = model.count_tokens(order.prompt)
        memory_tokens = 0 if order.group else tokens + order.max_tokens
        if not model.accepts(memory_tokens):
            listener.on_refused('no_memory', _BUSY_RETRY_MS)
            return
        head = (order.request_id, order.attempt, 'boot')

        def send_token(offset, token):
            frame = Frame(*head, offset=offset, tokens=[token])
            listener.on_frame(frame)

        def finish(work):
            if work is not None:
                count = work.max_tokens
                listener.on_frame(Frame(*head, offset=count, count=count))

        work = Work(
            key,
            priority=order.priority,
            left=tokens,
            need=memory_tokens,
            crc=0,
            blocks=hash_blocks(order.prompt, b'small'),
            max_tokens=order.max_tokens,
            offset=order.offset,
            deadline_ms=self._timers.clock.now_ms() + order.deadline_ms,
            on_token=send_token,
            on_done=finish,
        )
        model.submit(work)


class LocalFleet:
    """Engines and independent entry instances in virtual time.

    Attributes:
      timers: The ManualTimers.
      sinks: The RecordingSinks of all submitted requests, a list.
    """

    def __init__(self, engines, instances, routing, lag_ms):
        """Create an idle fleet.

        Args:
          engines: The number of engines.
          instances: The number of dispatchers, which share no state.
          routing: The name of a routing policy.
          lag_ms: The delay of load reports and the interval between them.
        """
        self.timers = ManualTimers()
        self.sinks = []
        self._failed = set()
        self._models = {
            f'engine-{index}': EngineModel(self.timers, EngineSettings())
            for index in range(engines)
        }
        self._dispatchers = [
            self._make_dispatcher(index, routing) for index in range(instances)
        ]
        self._deliver_reports(self._collect_reports())
        self._lag_ms = lag_ms
        self.timers.every(lag_ms, self._schedule_report)

    @property
    def rate(self):
        """The prefill rate of all engines, in tokens per millisecond."""
        models = self._models.values()
        return sum(model.settings.prefill_rate for model in models)

    def submit(self, number, arrival, prompt):
        """Submit a request to the instances in round-robin order.

        Args:
          number: The number of the request.
          arrival: An Arrival.
          prompt: The prompt, a string.
        """
        now_ms = self.timers.clock.now_ms()
        job = make_job(
            request_id=f'r{number}',
            prompt=prompt.encode(),
            tokens=arrival.tokens,
            max_tokens=arrival.part.max_tokens,
            arrived_ms=now_ms,
            deadline_ms=now_ms + arrival.part.deadline_ms,
        )
        sink = RecordingSink(job, self.timers.clock)
        self.sinks.append(sink)
        index = number % len(self._dispatchers)
        self._dispatchers[index].submit(job, sink)

    def lose(self, count):
        """Stop the load reports of some engines, as if they had failed.

        Args:
          count: The number of engines.
        """
        self._failed.update(sorted(self._models)[:count])

    def _make_dispatcher(self, index, routing):
        fleet = Fleet()
        fleet.replace(
            [
                make_listed_instance(
                    name, data_centre=f'dc-{number % _DATA_CENTRES}'
                )
                for number, name in enumerate(self._models)
            ]
        )
        ports = DispatcherPorts(
            engines=LocalEngines(self.timers, self._models),
            timers=self.timers,
            random=random.Random(index),
            metrics=Metrics(),
        )
        limits = AccountLimits(self.timers.clock)
        data_centre = f'dc-{index % _DATA_CENTRES}'
        dispatcher = Dispatcher(ports, fleet, limits, data_centre)
        documents = make_config_documents(
            accounts=[
                {'name': 'acc', 'width': 1, 'max_in_progress': 1_000_000}
            ],
            policy={'routing': routing},
        )
        dispatcher.config = load_config(1, documents)
        return dispatcher

    def _schedule_report(self):
        self.timers.after(
            self._lag_ms,
            partial(self._deliver_reports, self._collect_reports()),
        )

    def _collect_reports(self):
        return {
            name: {
                'boot': 'boot',
                'queued_tokens': model.queued_tokens,
                'queued_by_priority': model.queued_by_priority.items(),
                'running': model.running,
                'memory_free': model.memory.free_tokens,
                'memory_total': model.memory.total,
                'prefill_rate': model.settings.prefill_rate,
                'models': {'small': 'v1'},
                'leaving': False,
                'events': list(model.memory.events),
            }
            for name, model in self._models.items()
            if name not in self._failed
        }

    def _deliver_reports(self, reports):
        now_ms = self.timers.clock.now_ms()
        for dispatcher in self._dispatchers:
            for name, document in reports.items():
                backend = dispatcher.fleet.get(name)
                report = LoadReport(now_ms, document)
                dispatcher.fleet.record_load(backend, report)
                _update_prefix_index(backend.prefix, document['events'], now_ms)
            dispatcher.pump()


def _update_prefix_index(prefix, events, now_ms):
    for event in events:
        prefix.record_event(event.sequence, event.stored, event.evicted, now_ms)
    prefix.record_up_to_date(now_ms)
