"""Tests of requests whose servers fall silent for a while and then go on."""

import itertools
from functools import partial

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_plans import PlacementKey
from crankchute.core.forward_fakes import (
    POOL,
    FakeForwardPort,
    ForwardHarness,
    make_backends,
    make_chooser_parts,
)
from crankchute.core.forward_job import Placement, RetryMode
from crankchute.core.silent_attempts import Verdict, list_responsive
from crankchute.ports.forwarding import AnswerHead, StreamEvent

_SERVERS = 3
_REQUESTS = 9
_EVENTS = 20
_EVENT_MS = 50
_ANSWER_MS = 60
#: Shorter than any limit on silence.
_PART_MS = 300
#: Longer than any limit on the silence of a server.
_SILENCE_MS = 2500
_DEADLINE_MS = 10_000
_PLAIN = (('answer', 200),)
_STREAM = (
    ('head', 200),
    *(('event', number) for number in range(1, _EVENTS + 1)),
    ('end', None),
)
KINDS = (
    ('plain', RetryMode.AGAIN, 20),
    ('plain', RetryMode.ONCE, 20),
    ('stream', RetryMode.RESUME, 20),
    ('stream', RetryMode.RESUME, 500),
    ('stream', RetryMode.ONCE, 20),
    ('stream', RetryMode.ONCE, 500),
)


class SpreadingChooser(EngineChooser):
    """Spreads requests evenly; the limits on silence are those of engines."""

    def choose(self, job, avoided):
        """See Chooser."""
        usable = self.usable(avoided)
        if not usable:
            return self.refuse()
        chosen = min(usable, key=lambda one: one.in_flight)
        return Placement(chosen, first_ms=_ANSWER_MS, key=PlacementKey(()))


class PausableServers(FakeForwardPort):
    """Servers that answer every request, later if they are paused.

    Attributes:
      paused_until_ms: A dict from the ids of paused servers to when they go on.
      repeats_to_paused: The number of repeated requests that paused servers got.
    """

    def __init__(self, timers):
        """Create servers that are not paused."""
        super().__init__()
        self._timers = timers
        self.paused_until_ms = {}
        self.repeats_to_paused = 0

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        call = super().send(job, placement, attempt, listener)
        is_paused = self._pause_ms(call) > 0
        self.repeats_to_paused += is_paused and attempt.number > 1
        if job.is_stream:
            first = (attempt.resume_after or 0) + 1
            self._after(_ANSWER_MS, call, partial(self._send_event, first))
        else:
            self._after(_ANSWER_MS, call, self._send_answer)
        return call

    def _pause_ms(self, call):
        until_ms = self.paused_until_ms.get(call.placement.answering, 0)
        return until_ms - self._timers.clock.now_ms()

    def _after(self, delay_ms, call, act):
        """Act after a delay, and not before the server goes on."""

        def act_unless_paused():
            pause_ms = self._pause_ms(call)
            if pause_ms > 0:
                self._timers.after(pause_ms, act_unless_paused)
            elif not call.cancelled:
                act(call)

        self._timers.after(delay_ms, act_unless_paused)

    def _send_answer(self, call):
        call.listener.on_head(AnswerHead(200))
        call.listener.on_body(b'body')
        call.listener.on_end()

    def _send_event(self, number, call):
        if number == 1 or call.order.resume_after == number - 1:
            call.listener.on_head(AnswerHead(200))
        if number > _EVENTS:
            call.listener.on_end()
            return
        call.listener.on_event(StreamEvent(number, b'id: 1\n\n'))
        self._after(_EVENT_MS, call, partial(self._send_event, number + 1))


class SilentWorld:
    """Requests at servers of which some are paused.

    Attributes:
      harness: The ForwardHarness.
      servers: The PausableServers.
      sinks: The FakeSinks of the requests, a list.
    """

    def __init__(self, kind, slack=100):
        """Create servers of a kind, "plain" or "stream"."""
        self.harness = ForwardHarness(_SERVERS, slack)
        self.timers = self.harness.timers
        self.servers = PausableServers(self.timers)
        self.harness.forwarder.port = self.servers
        parts = make_chooser_parts(self.timers, lambda: self.harness.backends)
        chooser_class = (
            SpreadingChooser if kind == 'stream' else LeastBusyChooser
        )
        chooser = chooser_class(parts)
        self.harness.forwarder.find_chooser = {POOL: chooser}.get
        self.sinks = []
        self._kind = kind
        self._numbers = itertools.count()

    def submit(self, count, repeat, max_attempts=2):
        """Submit requests."""
        for _ in range(count):
            now_ms = self.timers.clock.now_ms()
            _flow, sink = self.harness.submit(
                request_id=f'r{next(self._numbers)}',
                repeat=repeat,
                max_attempts=max_attempts,
                is_stream=self._kind == 'stream',
                arrived_ms=now_ms,
                deadline_ms=now_ms + _DEADLINE_MS,
            )
            self.sinks.append(sink)

    def pause(self, count, for_ms=_SILENCE_MS):
        """Pause servers for a while, the first ones."""
        until_ms = self.timers.clock.now_ms() + for_ms
        for backend in self.harness.backends[:count]:
            self.servers.paused_until_ms[backend.identity] = until_ms

    def list_answers(self):
        """Return what the callers got, a set of tuples."""
        return {tuple(sink.events) for sink in self.sinks}


@pytest.mark.parametrize('slack', [100, 0])
@pytest.mark.parametrize('max_attempts', [1, 2])
@pytest.mark.parametrize(('kind', 'repeat', 'pause_after_ms'), KINDS)
@pytest.mark.parametrize('silent', [1, 2, 3])
def test_request_fails_though_its_silent_server_goes_on(
    silent, kind, repeat, pause_after_ms, max_attempts, slack
):
    world = SilentWorld(kind, slack)
    world.submit(_REQUESTS, repeat, max_attempts)
    assert {one.in_flight for one in world.harness.backends} == {3}
    world.timers.advance(pause_after_ms)
    world.pause(silent)
    world.timers.advance(_DEADLINE_MS - pause_after_ms)
    expected = _STREAM if kind == 'stream' else _PLAIN
    assert world.list_answers() == {expected}
    assert world.servers.repeats_to_paused == 0
    may_repeat = repeat != RetryMode.ONCE and max_attempts == 2 and slack
    repeated = 3 * silent if may_repeat and silent < _SERVERS else 0
    assert len(world.servers.calls) == _REQUESTS + repeated


@pytest.mark.parametrize('kind', ['plain', 'stream'])
def test_request_stays_at_a_hung_server_while_another_one_answers(kind):
    """The other server is silent too at first, and goes on earlier."""
    world = SilentWorld(kind)
    repeat = RetryMode.RESUME if kind == 'stream' else RetryMode.AGAIN
    world.submit(_SERVERS, repeat)
    world.pause(_SERVERS)
    world.pause(1, _DEADLINE_MS)
    world.timers.advance(_DEADLINE_MS - 1)
    expected = _STREAM if kind == 'stream' else _PLAIN
    assert world.list_answers() == {expected}
    assert len(world.servers.calls) == _SERVERS + 1
    assert world.harness.journal.silences[0] == Verdict.NO_SERVER
    assert world.harness.journal.silences[-1] == Verdict.REPLACED


def test_retry_is_charged_though_no_server_can_take_it():
    world = SilentWorld('plain')
    world.submit(_SERVERS, RetryMode.AGAIN)
    world.pause(_SERVERS, _DEADLINE_MS)
    world.timers.advance(_DEADLINE_MS + 1)
    assert len(world.servers.calls) == _SERVERS
    assert 'retries' not in world.harness.forwarder.metrics.counts
    assert all(call.cancelled for call in world.servers.calls)


def test_silent_servers_that_hang_get_new_requests():
    """Three requests of one attempt each wait at a server that hangs."""
    world = SilentWorld('plain')
    world.pause(1, _DEADLINE_MS)
    world.submit(_REQUESTS, RetryMode.AGAIN, max_attempts=1)
    world.timers.advance(1000)
    hung = world.harness.backends[0]
    assert hung.breaker.is_open
    world.submit(_SERVERS, RetryMode.AGAIN)
    assert hung.in_flight == 3


@pytest.mark.parametrize(
    ('heard_ms_ago', 'in_flight', 'expected'),
    [
        ((10, 10, 900), (1, 1, 1), [0, 1]),
        ((10, 900, None), (1, 0, 0), [0]),
        ((900, 900, None), (1, 0, 0), [1, 2]),
        ((900, None, 260), (1, 2, 1), []),
    ],
)
def test_silent_server_is_expected_to_answer(heard_ms_ago, in_flight, expected):
    backends = make_backends(_SERVERS)
    for number, backend in enumerate(backends):
        backend.in_flight = in_flight[number]
        if heard_ms_ago[number] is not None:
            backend.breaker.record_heard(1000 - heard_ms_ago[number])
    responsive = list_responsive(backends, 1000)
    assert responsive == [backends[number] for number in expected]


def test_answer_that_arrives_slowly_is_taken_for_silence():
    world = SilentWorld('plain')
    world.harness.forwarder.port = world.harness.port
    world.submit(1, RetryMode.AGAIN)
    call = world.harness.port.calls[0]
    call.listener.on_head(AnswerHead(200))
    for _ in range(_EVENTS):
        world.timers.advance(_PART_MS)
        call.listener.on_body(b'part')
    call.listener.on_end()
    assert len(world.harness.port.calls) == 1
    assert world.list_answers() == {_PLAIN}
