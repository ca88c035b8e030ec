"""Tests of a shutdown during which the end of a request fails."""

from types import SimpleNamespace

import pytest

from crankchute.core.forward_fakes import FakeSink, ForwardHarness, make_job
from crankchute.core.forward_job import PrefillHelper, RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.entry.shutdown import Shutdown

_REQUESTS = 4
_GRACE_MS = 8000
_CHECK_MS = 100
_ADDRESS_TTL_MS = 1000
#: Longer than any stage of the shutdown.
_LONG_MS = 60_000


class FailingSink(FakeSink):
    """Fails to tell its caller that a request ends."""

    def on_refused(self, refusal):
        raise ValueError('the caller cannot be told')


class StoppingDesk:
    """A shutdown of an instance with fake ports."""

    def __init__(self, *, is_waiting):
        """Create the instance.

        Args:
          is_waiting: Whether its requests wait for memory instead of being
            at their servers.
        """
        self.harness = ForwardHarness()
        self.ended_ms = None
        self._timers = self.harness.timers
        if is_waiting:
            helper = self.harness.backends[1]
            self.harness.chooser.helpers = (PrefillHelper(helper, 'ticket'),)
        self.peers = SimpleNamespace(stop=list)
        node = SimpleNamespace(
            desk=self.harness.forwarder,
            timers=self._timers,
            now_ms=self._timers.clock.now_ms,
            peers=self.peers,
            on_stopped=self._on_stopped,
        )
        self.shutdown = Shutdown(node)

    def submit(self, sink):
        job = make_job(repeat=RetryMode.ONCE, deadline_ms=_LONG_MS)
        self.harness.forwarder.shutdown.record_answered(job, _LONG_MS)
        self.harness.forwarder.submit(job, sink)
        return sink

    def run(self, delay_ms=_GRACE_MS):
        """Shut down."""
        self.shutdown.start(
            SimpleNamespace(grace_ms=_GRACE_MS, address_ttl_ms=_ADDRESS_TTL_MS),
        )
        self._timers.advance(delay_ms)

    def _on_stopped(self):
        self.ended_ms = self._timers.clock.now_ms()


@pytest.mark.parametrize('failing', range(_REQUESTS))
@pytest.mark.parametrize('is_waiting', [False, True])
def test_failing_end_of_a_request_leaves_the_others_without_an_end(
    is_waiting, failing
):
    desk = StoppingDesk(is_waiting=is_waiting)
    sinks = [
        desk.submit(FailingSink() if number == failing else FakeSink())
        for number in range(_REQUESTS)
    ]
    # Requests that wait are refused at once.
    desk.run(_CHECK_MS if is_waiting else _GRACE_MS)
    outcome = Outcome.NOT_RUN if is_waiting else Outcome.UNKNOWN
    sinks.pop(failing)
    for sink in sinks:
        assert sink.events == [('refused', outcome)]


@pytest.mark.parametrize('is_waiting', [False, True])
def test_process_with_a_request_that_cannot_be_ended_is_killed(is_waiting):
    """It ends by itself before the grace period is over."""
    desk = StoppingDesk(is_waiting=is_waiting)
    desk.submit(FailingSink())
    desk.run()
    assert desk.ended_ms is not None
    assert desk.ended_ms < _GRACE_MS


def fail_once(owner, name):
    """Replace a method of an object by one that raises an error first."""
    method = getattr(owner, name)

    def fail(*_args):
        setattr(owner, name, method)
        raise ValueError('this cannot be recorded')

    setattr(owner, name, fail)


@pytest.mark.parametrize(
    ('owner', 'record'),
    [
        ('chooser', 'record_end'),
        ('forwarder', 'record_left'),
        ('journal', 'log_attempt_end'),
        ('journal', 'log_end'),
    ],
)
def test_request_whose_end_was_not_recorded_has_not_run(owner, record):
    desk = StoppingDesk(is_waiting=False)
    sink = desk.submit(FakeSink())
    fail_once(getattr(desk.harness, owner), record)
    desk.run()
    assert sink.events == [('refused', Outcome.UNKNOWN)]
    assert desk.harness.port.calls[0].cancelled
    assert desk.ended_ms is not None


def test_failing_stop_of_peers_keeps_the_process_running():
    desk = StoppingDesk(is_waiting=False)
    fail_once(desk.peers, 'stop')
    with pytest.raises(ValueError):
        desk.run()
    assert desk.ended_ms is not None


def test_request_that_cannot_be_ended_is_logged_at_each_check(monkeypatch):
    logged = []
    monkeypatch.setattr(
        'crankchute.entry.shutdown.log_ended_by_stop',
        lambda flow, *_args: logged.append(flow.job.request_id),
    )
    desk = StoppingDesk(is_waiting=False)
    desk.submit(FailingSink())
    desk.run()
    assert len(logged) == 1


def test_failing_log_of_a_stop_leaves_a_request_without_an_end(monkeypatch):
    desk = StoppingDesk(is_waiting=False)
    sink = desk.submit(FakeSink())

    def fail(*_args):
        raise ValueError('the log is full')

    monkeypatch.setattr('crankchute.entry.shutdown.log_ended_by_stop', fail)
    desk.run()
    assert sink.events == [('refused', Outcome.UNKNOWN)]


@pytest.mark.parametrize('record', ['log_attempt_end', 'log_end'])
def test_request_whose_end_was_not_recorded_is_not_logged(record, monkeypatch):
    logged = []
    monkeypatch.setattr(
        'crankchute.adapters.shutdown_log.log_change',
        lambda name, **fields: logged.append((name, fields.get('server'))),
    )
    desk = StoppingDesk(is_waiting=False)
    desk.submit(FakeSink())
    fail_once(desk.harness.journal, record)
    desk.run()
    ended = [entry for entry in logged if entry[0] == 'ended_by_stop']
    assert ended == [('ended_by_stop', desk.harness.backends[0].identity)]
