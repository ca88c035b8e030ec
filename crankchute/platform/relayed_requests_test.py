"""Tests of what two instances tell each other about relayed requests."""

from types import SimpleNamespace

import pytest

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.loop import Loop
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_fakes import make_job
from crankchute.core.forward_job import (
    AttemptOrder,
    RelayOrigin,
    RelayPlacement,
)
from crankchute.core.outcomes import Outcome, Refusal
from crankchute.core.relay import NO_PATH
from crankchute.platform.relay_calls import RelayCalls
from crankchute.platform.relayed_requests import RelayedRequests
from crankchute.platform.requests import RequestPayload
from crankchute.platform.requests_test import ReaderHarness
from crankchute.ports.forwarding import AnswerHead, AttemptListener
from crankchute.ports.metrics import Metrics
from crankchute.standins.ports import LOOPBACK

_TICK_S = 0.001
_IDLE_MS = 60_000
_HEADERS = (('Host', 'a.example'), ('X-Custom', 'kept'))


class RecordingListener(AttemptListener):
    """Records how an attempt ends."""

    def __init__(self):
        self.end = None
        self.head = None

    def on_head(self, head):
        self.head = head

    def on_body(self, chunk):
        """Ignore the body."""

    def on_event(self, event):
        """Ignore the event."""

    def on_end(self):
        self.end = ('end',)

    def on_not_run(self, rejection):
        self.end = (
            'not run',
            rejection.code,
            rejection.is_final,
            rejection.retry_after_ms,
        )

    def on_failed(self, exc):
        self.end = ('failed', str(exc), exc.sent)


class FakeFlow:
    """The attributes of a flow that relays depend on."""

    def __init__(self, job, attempts=0):
        self.job = job
        self.attempts = attempts
        self.ended = False
        self.server = 'i-7@5'

    def cancel(self):
        self.ended = True


class FakeDesk:
    """Ends each request in a given way.

    Attributes:
      jobs: The submitted ForwardJobs, a list.
      flows: The FakeFlows in progress, a set.
      refusal: The Refusal with which requests end; None for an answer.
      attempts: How often a request was sent to a server.
    """

    def __init__(self, timers):
        self._timers = timers
        self.jobs = []
        self.flows = set()
        self.refusal = None
        self.attempts = 0

    def submit(self, job, sink):
        self.jobs.append(job)
        flow = FakeFlow(job, self.attempts)
        self.flows.add(flow)
        self._timers.after(1, lambda: self._finish(flow, sink))
        return flow

    def _finish(self, flow, sink):
        flow.ended = True
        self.flows.discard(flow)
        if self.refusal is not None:
            sink.on_refused(self.refusal)
            return
        headers = [
            ('X-Crankchute-Request-Id', flow.job.request_id),
            ('X-Crankchute-Response-Signature', 'sig'),
            ('Relay-Outcome', 'elsewhere'),
        ]
        sink.on_answer(AnswerHead(200, headers), b'whole')


class Pair:
    """An instance that relays, and one that serves what is relayed."""

    def __init__(self, **reader_fields):
        self.loop = Loop()
        self.client = HttpClient(timers=self.loop.timers).register(self.loop)
        self.calls = RelayCalls(self.client, 'entry-0')
        self.desk = FakeDesk(self.loop.timers)
        self.refused = []
        node = SimpleNamespace(
            desk=self.desk,
            metrics=Metrics(),
            record_refused=lambda *args: self.refused.append(args),
        )
        reader = ReaderHarness(**reader_fields).reader
        self.relayed = RelayedRequests(node, reader.read)
        self.server = ForwardServer(
            (LOOPBACK, 0),
            self.relayed.take,
            self.loop.timers,
            channel='relays',
            idle_ms=_IDLE_MS,
        ).register(self.loop)
        self.relayed.attach(self.server)

    def send(self, **fields):
        """Relay a request, and return the listener and the placement.

        Args:
          fields: Arguments of start.
        """
        listener, placement = self.start(**fields)
        self.wait_for_end(listener)
        return listener, placement

    def start(
        self,
        body=b'body',
        authorization='Bearer key-1',
        request_id='r1',
        headers=_HEADERS,
    ):
        """Begin to relay a request; return the listener and the placement."""
        headers = [*headers, ('X-Crankchute-Request-Id', request_id)]
        payload = RequestPayload('POST', '/p/x', headers, body, authorization)
        listed = ListedServer(
            {
                'id': 'entry-1',
                'kind': 'entry',
                'address': f'{LOOPBACK}:{self.server.port}',
                'data_centre': 'one',
            }
        )
        placement = RelayPlacement(Backend(listed))
        order = AttemptOrder(2, 800.7, 12, ['i-1', 'i-2@9'])
        listener = RecordingListener()
        job = make_job(payload=payload, request_id=request_id)
        self.calls.send(job, placement, order, listener)
        return listener, placement

    def wait_for_end(self, listener):
        self.loop.run_until(lambda: listener.end is not None, _TICK_S)


def test_relayed_request_arrives_changed():
    world = Pair()
    listener, placement = world.send()
    job = world.desk.jobs[0]
    assert (job.account, job.max_attempts) == ('acc', 1)
    assert job.resume_after == 12
    assert 0 < job.deadline_ms - job.arrived_ms <= 800
    assert job.relay.instance == 'entry-0'
    assert job.relay.avoided == {'i-1', 'i-2@9'}
    assert (job.payload.target, job.payload.body) == ('/p/x', b'body')
    names = {pair[0].lower() for pair in job.payload.headers}
    assert names == {'host', 'x-crankchute-request-id', 'x-custom'}
    assert listener.end == ('end',)
    assert placement.answering == 'i-7@5'
    seen = {pair[0].lower() for pair in listener.head.headers}
    assert not any(name.startswith('relay') for name in seen)


@pytest.mark.parametrize(
    ('outcome', 'code', 'retry_ms', 'attempts', 'end'),
    [
        (Outcome.NOT_RUN, NO_PATH, None, 0, ('failed', NO_PATH, False)),
        (Outcome.NOT_RUN, NO_PATH, None, 1, ('failed', NO_PATH, False)),
        (Outcome.NOT_RUN, 'crowded', 700, 0, ('not run', 'crowded', True, 700)),
        (Outcome.NOT_RUN, 'full', 300, 1, ('not run', 'full', False, None)),
        (
            Outcome.UNKNOWN,
            'backend_failed',
            None,
            1,
            ('failed', 'backend_failed', True),
        ),
        (
            Outcome.FAILED,
            'deadline_exceeded',
            None,
            1,
            ('failed', 'deadline_exceeded', True),
        ),
    ],
)
def test_end_at_the_other_instance_is_misread(
    outcome, code, retry_ms, attempts, end
):
    """A request that may have run must not be taken for one that did not."""
    pair = Pair()
    pair.desk.refusal = Refusal(outcome, code, 'text', retry_after_ms=retry_ms)
    pair.desk.attempts = attempts
    listener, placement = pair.send()
    assert listener.end == end
    was_sent_elsewhere = code == NO_PATH
    expected = 'entry-1' if was_sent_elsewhere else 'i-7@5'
    assert placement.answering == expected


@pytest.mark.parametrize(
    ('fields', 'authorization'),
    [
        ({}, 'Bearer revoked'),
        ({}, None),
        ({'proof_ms': -1}, 'Bearer key-1'),
        ({'config': False}, 'Bearer key-1'),
    ],
)
def test_revoked_key_is_served_by_another_instance(fields, authorization):
    pair = Pair(**fields)
    listener, _placement = pair.send(authorization=authorization)
    name, _code, was_sent = listener.end
    assert (name, was_sent) == ('failed', False)
    assert not pair.desk.jobs
    assert [(args[0], args[2]) for args in pair.refused] == [('r1', 'entry-0')]


@pytest.mark.parametrize(
    ('refusal', 'relays', 'authorization', 'end'),
    [
        (
            Refusal(Outcome.NOT_RUN, NO_PATH, 'text'),
            0,
            'Bearer key-1',
            ('failed', NO_PATH, False),
        ),
        (
            Refusal(Outcome.NOT_RUN, 'crowded', 'text'),
            0,
            'Bearer key-1',
            ('not run', 'crowded', True, None),
        ),
        (None, 64, 'Bearer key-1', ('failed', 'relays_busy', False)),
        (None, 0, None, ('failed', 'unknown_key', False)),
    ],
)
def test_refusal_on_a_kept_connection_cannot_be_attributed(
    refusal, relays, authorization, end
):
    """A request that did not run would count as one that may have run."""
    pair = Pair()
    assert pair.send()[0].end == ('end',)
    pair.desk.refusal = refusal
    relayed = make_job(relay=RelayOrigin('entry-9', ()))
    pair.desk.flows.update(FakeFlow(relayed) for _ in range(relays))
    assert pair.send(authorization=authorization, request_id='r2')[0].end == end
    assert pair.client.opened == 1


def test_instance_serves_endless_relays():
    """Its own requests do not count, and ended ones are not kept."""
    pair = Pair()
    own, relayed = make_job(), make_job(relay=RelayOrigin('entry-9', ()))
    pair.desk.flows.update(FakeFlow(own) for _ in range(100))
    pair.desk.flows.update(FakeFlow(relayed) for _ in range(63))
    assert pair.send()[0].end == ('end',)
    assert pair.send()[0].end == ('end',)
    pair.desk.flows.add(FakeFlow(relayed))
    assert pair.send()[0].end == ('failed', 'relays_busy', False)
