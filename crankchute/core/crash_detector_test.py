"""Tests of the detection of server crashes, and of the quarantine."""

import pytest

from crankchute.core.forward_fakes import POOL, ForwardHarness
from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.errors import BackendError
from crankchute.ports.forwarding import AnswerHead, StreamEvent

CULPRIT = 7
BYSTANDER = 8
HINT_MS = 600_000
NOT_RUN = ('refused', Outcome.NOT_RUN)
FAILED = ('refused', Outcome.FAILED)
#: Longer than the delay of the probe that follows a closed connection.
_PROBE_MS = 25


class World(ForwardHarness):
    """A forwarding setup whose servers close connections or crash."""

    def __init__(self, servers=40):
        super().__init__(servers)

    def cut(self, call, is_listening, *, is_cut=True):
        """Fail a call; a probe of its server then finds `is_listening`."""
        backend = call.placement.backend
        self.port.listening[backend.identity] = is_listening
        if is_listening is False and backend in self.backends:
            self.backends.remove(backend)
        exc = BackendError('closed', sent=True, connection_lost=is_cut)
        call.listener.on_failed(exc)

    def submit_and_cut(self, is_listening=None, fingerprint=CULPRIT, **fields):
        """Submit a request, close each attempt's connection, return the sink."""
        now_ms = self.timers.clock.now_ms()
        _flow, sink = self.submit(
            fingerprint=fingerprint,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 10_000,
            **fields,
        )
        while not sink.events:
            self.cut(self.port.calls[-1], is_listening)
            self.timers.advance(100)
        return sink

    def submit_and_answer(self, fingerprint):
        """Submit a request, answer it if sent, return what the caller sees."""
        _flow, sink = self.submit(fingerprint=fingerprint)
        if not sink.events:
            call = self.port.calls[-1]
            call.listener.on_head(AnswerHead(200))
            call.listener.on_end()
        return sink.events


@pytest.mark.parametrize(
    ('is_listening', 'sent'),
    [(False, 3), (True, 8), (None, 8)],
)
def test_only_a_server_that_does_not_listen_counts_as_crashed(
    is_listening, sent
):
    """Four submissions of two attempts each."""
    harness = World()
    sinks = [harness.submit_and_cut(is_listening) for _ in range(4)]
    assert len(harness.port.calls) == sent
    assert sinks[0].events == [FAILED]
    assert (sinks[-1].events == [NOT_RUN]) == (is_listening is False)


def test_refusal_says_when_the_quarantine_ends():
    harness = World()
    for _ in range(3):
        sink = harness.submit_and_cut(is_listening=False)
    assert sink.events == [NOT_RUN]
    assert sink.retry_after_ms == HINT_MS
    assert harness.journal.ends[-1] == 'crashes_servers'


@pytest.mark.parametrize('is_cut', [True, False])
def test_other_failures_do_not_count_as_crashes(is_cut):
    """Time-outs and invalid answers have many other causes."""
    harness = World()
    for _ in range(6):
        harness.submit(fingerprint=CULPRIT)
        for _ in range(2):
            harness.cut(harness.port.calls[-1], False, is_cut=is_cut)
            harness.timers.advance(100)
    assert harness.crashes.is_quarantined(CULPRIT) == is_cut


def test_request_is_not_sent_to_a_fourth_server():
    """The retry waits for the probe after what may be the third crash."""
    harness = World()
    harness.submit_and_cut(is_listening=False)
    _flow, sink = harness.submit(fingerprint=CULPRIT)
    harness.cut(harness.port.calls[2], False)
    assert sink.events == []
    harness.timers.advance(_PROBE_MS)
    assert sink.events == [FAILED]
    assert len(harness.port.calls) == 3


@pytest.mark.parametrize(
    ('ends', 'seen'),
    [('cancel', []), ('deadline', [FAILED])],
)
def test_request_that_ends_during_the_probe_is_not_retried(ends, seen):
    harness = World()
    harness.submit_and_cut(is_listening=False)
    now_ms = harness.timers.clock.now_ms()
    flow, sink = harness.submit(fingerprint=CULPRIT, deadline_ms=now_ms + 5)
    harness.cut(harness.port.calls[2], True)
    if ends == 'cancel':
        flow.cancel()
    harness.timers.advance(_PROBE_MS)
    assert flow.ended
    assert sink.events == seen
    assert len(harness.port.calls) == 3


def test_retry_without_earlier_crashes_does_not_wait():
    harness = World()
    harness.submit(fingerprint=8)
    harness.cut(harness.port.calls[0], False)
    assert len(harness.port.calls) == 2


def test_stream_of_a_quarantined_request_is_not_resumed():
    """A copy in progress during the quarantine gets no further attempt."""
    harness = World()
    fields = {'is_stream': True, 'repeat': RetryMode.RESUME}
    _flow, sink = harness.submit(fingerprint=CULPRIT, **fields)
    copy_call = harness.port.calls[0]
    copy_call.listener.on_head(AnswerHead(200))
    copy_call.listener.on_event(StreamEvent(1, b'id: 1\n\n'))
    for _ in range(2):
        harness.submit_and_cut(is_listening=False)
    sent = len(harness.port.calls)
    harness.cut(copy_call, False)
    harness.timers.advance(_PROBE_MS)
    assert sink.events[-1] == FAILED
    assert len(harness.port.calls) == sent


@pytest.mark.parametrize('rounds', [1, 2, 3, 5])
def test_bystander_is_served(rounds):
    """Its servers crashed under another request, present each time."""
    harness = World()
    for _ in range(rounds):
        first = len(harness.port.calls)
        harness.submit(fingerprint=CULPRIT, max_attempts=1)
        harness.submit(fingerprint=BYSTANDER, max_attempts=1)
        both = harness.port.calls[first:]
        if len(both) < 2:
            break
        for call in both:
            # Put both on one server: a suspect would otherwise run alone.
            call.placement.backend = both[0].placement.backend
        for call in both:
            harness.cut(call, is_listening=False)
        harness.timers.advance(100)
        # The culprit also runs without the bystander, and crashes a server.
        harness.submit_and_cut(is_listening=False, max_attempts=1)
    assert harness.submit_and_answer(BYSTANDER) == [('answer', 200)]


def test_possible_culprit_gets_one_attempt_per_submission():
    """Two requests always present together are both left unquarantined."""
    harness = World()
    for _ in range(3):
        first = len(harness.port.calls)
        harness.submit(fingerprint=CULPRIT, max_attempts=1)
        harness.submit(fingerprint=BYSTANDER, max_attempts=1)
        both = harness.port.calls[first:]
        for call in both:
            call.placement.backend = both[0].placement.backend
        for call in both:
            harness.cut(call, is_listening=False)
        harness.timers.advance(100)
    before = len(harness.port.calls)
    assert harness.submit_and_cut(is_listening=False).events == [FAILED]
    assert len(harness.port.calls) - before == 1


def test_crashes_of_other_cause_quarantine_no_request():
    """A request is retried while servers go down for another reason."""
    harness = World()
    for copies in range(18):
        harness.submit(fingerprint=CULPRIT, max_attempts=1)
        harness.cut(harness.port.calls[-1], is_listening=False)
        if copies % 6 < 5:
            continue
        harness.timers.advance(1000)
        assert harness.submit_and_answer(CULPRIT) == [('answer', 200)]


@pytest.mark.parametrize(
    ('crashes', 'is_alone'),
    [(0, False), (1, True), (2, True)],
)
def test_suspect_request_runs_on_an_idle_server(crashes, is_alone):
    """A further crash would otherwise interrupt the answers of others."""
    harness = World(servers=6)
    harness.submit(fingerprint=BYSTANDER, max_attempts=1)
    bystander = harness.port.calls[-1]
    for number in range(crashes):
        now_ms = harness.timers.clock.now_ms()
        harness.crashes.record_crash(f'gone-{number}', now_ms, [CULPRIT])
    harness.submit(fingerprint=CULPRIT)
    chosen = harness.port.calls[-1].placement.backend
    assert (chosen is not bystander.placement.backend) == is_alone


@pytest.mark.parametrize('is_listening', [True, False, None])
def test_answer_that_ends_with_its_connection_clears_if_the_server_listens(
    is_listening,
):
    """A crash may end such an answer at a boundary of events."""
    harness = World()
    harness.submit_and_cut(is_listening=False, max_attempts=1)
    harness.submit(fingerprint=CULPRIT)
    call = harness.port.calls[-1]
    harness.port.listening[call.placement.backend.identity] = is_listening
    call.listener.on_head(AnswerHead(200, ends_with_connection=True))
    call.listener.on_end()
    harness.timers.advance(_PROBE_MS)
    expected = {True: 0, None: 1, False: 2}[is_listening]
    assert harness.crashes.count_crashes(CULPRIT) == expected


def test_trial_that_crashes_its_server_is_not_retried():
    """It is sent once every ten minutes, to an idle server."""
    harness = World()
    part = 99
    history = harness.crashes
    for number in range(20):
        history.record_parts_answered((98,), POOL, 0)
    for number in range(5):
        harness.timers.advance(100)
        history.record_crash(
            f's{number}',
            harness.timers.clock.now_ms(),
            [1000 + number],
            parts=[part],
            pool=POOL,
        )
    assert history.is_quarantined(part)
    for _ in range(3):
        harness.timers.advance(HINT_MS / 2)
        assert history.is_quarantined(part)
    before = len(harness.port.calls)
    for fingerprint in (2001, 2002, 2003):
        harness.submit_and_cut(
            is_listening=False,
            fingerprint=fingerprint,
            part_fingerprints=(part,),
        )
    assert len(harness.port.calls) - before == 1


def test_suspect_request_shares_a_server_if_none_is_idle():
    harness = World(servers=1)
    harness.submit(fingerprint=BYSTANDER)
    harness.crashes.record_crash('gone', 0, [CULPRIT])
    harness.submit(fingerprint=CULPRIT)
    assert len(harness.port.calls) == 2


def test_crashed_server_is_not_chosen_while_still_listed():
    """It stays listed until it has missed three heartbeats."""
    harness = World(servers=2)
    backend = harness.backends[0]
    harness.submit(fingerprint=BYSTANDER, max_attempts=1)
    harness.cut(harness.port.calls[0], is_listening=False)
    harness.timers.advance(_PROBE_MS)
    assert backend.breaker.is_open
    harness.backends.insert(0, backend)
    harness.submit(fingerprint=CULPRIT)
    assert harness.port.calls[-1].placement.backend is not backend
