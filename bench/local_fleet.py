"""Engine stand-ins and dispatchers in one process and in virtual time."""

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
_CENTRES = 3


class Running:
    """An order that a model works on, which can be given up."""

    __slots__ = ('_key', '_model')

    def __init__(self, model, key):
        """Create the record.

        Args:
          model: The EngineModel.
          key: The work's key.
        """
        self._model = model
        self._key = key

    def cancel(self):
        """Give the order up."""
        self._model.cancel(self._key)


class LocalEngines(EnginePort):
    """Calls engine models directly, with the delay of a network."""

    def __init__(self, timers, models):
        """Create the port.

        Args:
          timers: A ManualTimers.
          models: A map from engine id to EngineModel.
        """
        self._timers = timers
        self._models = models

    def generate(self, backend, order, listener):
        """See EnginePort."""
        model = self._models[backend.identity]
        key = (order.request_id, order.attempt)
        begin = partial(self._begin, model, key, order, listener)
        self._timers.after(_NETWORK_MS, begin)
        return Running(model, key)

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
        return Running(model, key)

    def _begin(self, model, key, order, listener):
        tokens = model.count_tokens(order.prompt)
        need = 0 if order.group else tokens + order.max_tokens
        if not model.accepts(need):
            listener.on_refused('no_memory', _BUSY_RETRY_MS)
            return
        head = (order.request_id, order.attempt, 'boot')

        def send(offset, token):
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
            need=need,
            crc=0,
            blocks=hash_blocks(order.prompt, b'small'),
            max_tokens=order.max_tokens,
            offset=order.offset,
            deadline_ms=self._timers.clock.now_ms() + order.deadline_ms,
            on_token=send,
            on_done=finish,
        )
        model.submit(work)


class LocalFleet:
    """Engines and independent entry instances in virtual time.

    Attributes:
      timers: The ManualTimers.
      sinks: The RecordingSinks of all requests.
    """

    def __init__(self, engines, instances, routing, lag_ms):
        """Create a fleet at rest.

        Args:
          engines: How many engines.
          instances: How many dispatchers, which know nothing of one another.
          routing: The name of a routing policy.
          lag_ms: How old a load report is, and how often one comes.
        """
        self.timers = ManualTimers()
        self.sinks = []
        self._lost = set()
        self._models = {
            f'engine-{index}': EngineModel(self.timers, EngineSettings())
            for index in range(engines)
        }
        self._dispatchers = [
            self._make_dispatcher(index, routing) for index in range(instances)
        ]
        self._report(self._snapshot())
        self._lag_ms = lag_ms
        self.timers.every(lag_ms, self._sample)

    @property
    def rate(self):
        """Prompt tokens in a millisecond that the fleet works off."""
        models = self._models.values()
        return sum(model.settings.prefill_rate for model in models)

    def submit(self, number, arrival, prompt):
        """Submit a request at the instance whose turn it is.

        Args:
          number: The request's number.
          arrival: An Arrival.
          prompt: A string.
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
        turn = number % len(self._dispatchers)
        self._dispatchers[turn].submit(job, sink)

    def lose(self, count):
        """Take engines away: nothing is answered or reported by them."""
        self._lost.update(sorted(self._models)[:count])

    def _make_dispatcher(self, index, routing):
        fleet = Fleet()
        fleet.replace(
            [
                make_listed_instance(
                    name, data_centre=f'dc-{number % _CENTRES}'
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
        centre = f'dc-{index % _CENTRES}'
        dispatcher = Dispatcher(ports, fleet, limits, centre)
        documents = make_config_documents(
            accounts=[
                {'name': 'acc', 'width': 1, 'max_in_progress': 1_000_000}
            ],
            policy={'routing': routing},
        )
        dispatcher.config = load_config(1, documents)
        return dispatcher

    def _sample(self):
        self.timers.after(self._lag_ms, partial(self._report, self._snapshot()))

    def _snapshot(self):
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
            if name not in self._lost
        }

    def _report(self, snapshot):
        now_ms = self.timers.clock.now_ms()
        for dispatcher in self._dispatchers:
            for name, document in snapshot.items():
                backend = dispatcher.fleet.get(name)
                report = LoadReport(now_ms, document)
                dispatcher.fleet.record_load(backend, report)
                _record_events(backend.prefix, document['events'], now_ms)
            dispatcher.pump()


def _record_events(prefix, events, now_ms):
    for event in events:
        prefix.record_event(event.sequence, event.stored, event.evicted, now_ms)
    prefix.record_up_to_date(now_ms)
