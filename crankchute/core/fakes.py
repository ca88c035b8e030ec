"""Fakes of the core's ports, for tests, benchmarks and embedders."""

import orjson

from crankchute.core.fleet import ListedServer, LoadReport
from crankchute.core.frames import Frame
from crankchute.core.job import Job
from crankchute.core.timer_heap import TimerHeap
from crankchute.ports.engines import EnginePort, RequestSink, SegmentExport
from crankchute.ports.time import Clock, TimerService

_MEMORY_TOKENS = 400_000
_PREFILL_RATE = 130
_OTHER_REQUEST_ID = 'other-request'


class ManualClock(Clock):
    """A clock that is advanced by hand.

    Attributes:
      time_ms: The current time, in milliseconds; it may be set forward.
    """

    def __init__(self):
        """Create the clock at zero."""
        self.time_ms = float(0)

    def now_ms(self):
        """See Clock."""
        return self.time_ms


class ManualTimers(TimerService):
    """A deterministic timer service in virtual time."""

    def __init__(self):
        """Create the service at time zero."""
        self._clock = ManualClock()
        self._heap = TimerHeap()

    @property
    def clock(self):
        """See TimerService."""
        return self._clock

    def after(self, delay_ms, callback):
        """See TimerService."""
        due_ms = self._clock.time_ms + max(delay_ms, 0)
        return self._heap.subscribe(due_ms, callback)

    def advance(self, delay_ms):
        """Advance the time and run the timers that come due, in order.

        Args:
          delay_ms: Milliseconds.
        """
        end_ms = self._clock.time_ms + delay_ms
        due_ms = self._heap.next_due_ms()
        while due_ms is not None and due_ms <= end_ms:
            self._clock.time_ms = max(self._clock.time_ms, due_ms)
            self._heap.pop_due(due_ms).run()
            due_ms = self._heap.next_due_ms()
        self._clock.time_ms = end_ms

    def suspend(self, delay_ms):
        """Advance the time without running timers, as in a suspended process.

        Args:
          delay_ms: Milliseconds.
        """
        self._clock.time_ms += delay_ms


class FakeGeneration:
    """A generate order that the test answers.

    Attributes:
      listener: The EngineListener.
      sent: The number of frames sent, an int.
    """

    def __init__(self, engines, order, listener):
        """Create the generation.

        Args:
          engines: The FakeEngines.
          order: A GenerateOrder.
          listener: An EngineListener.
        """
        self._engines = engines
        self._order = order
        self._next_offset = order.offset
        self.listener = listener
        self.sent = 0

    def cancel(self):
        """Cancel the order."""
        if self in self._engines.generating:
            self._engines.generating.remove(self)

    def send(self, event):
        """Send a frame.

        Args:
          event: "next" for the next token, "again" for a repeated one, "skip"
            for one after a gap, "cross" for one of another request, "end" for
            a correct end mark, or "early" for a premature one.
        """
        self.sent += 1
        order = self._order
        if event in {'end', 'early'}:
            count = (
                order.max_tokens if event == 'end' else self._next_offset + 1
            )
            self._deliver(order.request_id, order.max_tokens, [], count)
            return
        shift = {'again': -1, 'skip': 1}.get(event, 0)
        request_id = _OTHER_REQUEST_ID if event == 'cross' else order.request_id
        offset = max(self._next_offset + shift, 0)
        if offset < order.max_tokens:
            self._next_offset = max(self._next_offset, offset + 1)
            self._deliver(request_id, offset, [f'{request_id}-{offset}'], None)

    def _deliver(self, request_id, offset, tokens, count):
        frame = Frame(
            request_id,
            self._order.attempt,
            'boot',
            offset=offset,
            tokens=tokens,
            count=count,
        )
        self.listener.on_frame(frame)


class FakeEngines(EnginePort):
    """Records every call until the test answers it.

    Attributes:
      generating: The FakeGenerations that have not ended, a list.
      pending_answers: Functions of a bool that answer a hold or prefill order,
        a list.
      held: Pairs of engine id and group for which memory is held, a set.
      lost_releases: How many of the next releases are lost, an int.
      is_listening: Whether engines' processes still listen, or None if that is
        unknown.
    """

    def __init__(self):
        """Create the port without calls."""
        self.generating = []
        self.pending_answers = []
        self.held = set()
        self.lost_releases = 0
        self.is_listening = None

    def generate(self, backend, order, listener):
        """See EnginePort."""
        generation = FakeGeneration(self, order, listener)
        self.generating.append(generation)
        return generation

    def ask_listening(self, backend, on_known):
        """See EnginePort."""
        on_known(self.is_listening)

    def hold(self, backend, order, on_done):
        """See EnginePort."""

        def answer(accepted):
            if accepted:
                self.held.add((backend.identity, order.group))
            on_done(accepted)

        self.pending_answers.append(answer)

    def release(self, backend, group, on_done):
        """See EnginePort."""
        if self.lost_releases:
            self.lost_releases -= 1
            return
        self.held.discard((backend.identity, group))
        on_done(True)

    def prefill(self, backend, order, on_done):
        """See EnginePort."""

        def answer(accepted):
            address = backend.listed.address
            export = SegmentExport(address, order.group, order.index, 'c')
            on_done(export if accepted else None)

        self.pending_answers.append(answer)
        return self

    def cancel(self):
        """Cancel a prefill order; its answer may still arrive."""


class RecordingSink(RequestSink):
    """Records what a caller would receive.

    Attributes:
      job: The Job.
      tokens: The tokens, a list.
      end_count: The number of ends reported, an int.
      count: The number of tokens reported at a regular end, or None.
      refusal: The Refusal, or None.
      first_ms: When the first token arrived, or None.
      ended_ms: When the request ended, or None.
      is_late: Whether a token arrived after the deadline, a bool.
      is_caller_gone: Whether the caller disconnected, a bool set by the test.
    """

    def __init__(self, job, clock):
        """Create the sink of a job.

        Args:
          job: The Job.
          clock: A Clock.
        """
        self._clock = clock
        self.job = job
        self.tokens = []
        self.end_count = 0
        self.count = None
        self.refusal = None
        self.first_ms = None
        self.ended_ms = None
        self.is_late = False
        self.is_caller_gone = False

    def on_tokens(self, offset, tokens):
        """See RequestSink."""
        now_ms = self._clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        self.is_late = self.is_late or now_ms > self.job.deadline_ms
        self.tokens.extend(tokens)

    def on_end(self, count):
        """See RequestSink."""
        self.count = count
        self._end()

    def on_refused(self, refusal):
        """See RequestSink."""
        self.refusal = refusal
        self._end()

    def _end(self):
        self.end_count += 1
        self.ended_ms = self._clock.now_ms()


def make_config_documents(**changes):
    """Return the documents of a small configuration, encoded as JSON.

    Args:
      changes: Documents that replace the default ones.
    """
    documents = {
        'models': [{'name': 'small', 'version': 'v1'}],
        'pools': [
            {
                'name': 'text',
                'kind': 'model',
                'selector': {},
                'models': ['small'],
            },
            {'name': 'booking', 'kind': 'service', 'selector': {}},
        ],
        'classes': [{'name': 'any', 'pools': {}, 'accounts': {}}],
        'accounts': [{'name': 'acc', 'width': 1}],
        **changes,
    }
    return {
        name: orjson.dumps(document) for name, document in documents.items()
    }


def make_listed_instance(identity, kind='engine', data_centre='dc-1'):
    """Return an entry of the instance list."""
    return ListedServer(
        {
            'id': identity,
            'kind': kind,
            'address': '127.0.0.1:1',
            'data_centre': data_centre,
        }
    )


def make_load(now_ms, **changes):
    """Return a load report of an idle engine.

    Args:
      now_ms: When the report arrived, in milliseconds.
      changes: Fields that differ from the defaults.
    """
    document = {
        'boot': 'boot',
        'queued_tokens': 0,
        'running': 0,
        'memory_free': _MEMORY_TOKENS,
        'memory_total': _MEMORY_TOKENS,
        'prefill_rate': _PREFILL_RATE,
        'models': {'small': 'v1'},
        'leaving': False,
        **changes,
    }
    return LoadReport(now_ms, document)


def make_job(**changes):
    """Return a Job of the small configuration.

    Args:
      changes: Fields that differ from the defaults.
    """
    fields = {
        'request_id': 'r0',
        'account': 'acc',
        'workload': 'any',
        'model': 'small',
        'prompt': b'prompt',
        'tokens': 1000,
        'max_tokens': 4,
        'arrived_ms': 0,
        'deadline_ms': 60_000,
        'fingerprint': 1,
        'priority': 5,
        'pools': ('text',),
        **changes,
    }
    return Job(**fields)
