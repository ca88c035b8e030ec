"""Integration tests of requests around the shutdown of an instance."""

import socket

import pytest

from crankchute.platform.standin_paced import Ending
from crankchute.platform.standin_stop import GRACE_MS, StoppingInstance

#: From here on no caller uses an address that it learnt before the shutdown.
_CACHED_MS = 3000
#: Where a sixth of the grace period is left.
_LAST_SIXTH_MS = GRACE_MS * 5 / 6
_LARGE = 4_000_000


def run_shutdown(instance, target, every_ms, busy_ms=0):
    """Stop an instance whose caller keeps using its connection.

    Args:
      instance: A StoppingInstance.
      target: See StoppingInstance.send.
      every_ms: The interval between two requests, each on a connection that
        was open before the shutdown.
      busy_ms: For how long the process does not notice the signal.
    """
    count = int(GRACE_MS / every_ms)
    connections = [instance.connect() for _ in range(count)]
    instance.run_for(200)
    instance.stop_while_busy(busy_ms)
    for connection in connections:
        instance.run_for(every_ms)
        if instance.ended_ms is None:
            instance.send(target, sock=connection)
    instance.run_for(GRACE_MS)


@pytest.mark.parametrize('kind', ['once', 'again', 'stream'])
@pytest.mark.parametrize('takes_ms', [40, 1500, 4000, 5100])
@pytest.mark.parametrize('busy_ms', [0, 70, 400, 900])
def test_stop_cuts_requests_that_it_accepted_late(kind, takes_ms, busy_ms):
    """The platform counts from the signal, not from when it is noticed."""
    instance = StoppingInstance()
    target = f'/{kind}/?ms={takes_ms}'
    run_shutdown(instance, target, 80, busy_ms)
    late = [
        caller.sent_ms
        for caller in instance.list_lost()
        if caller.sent_ms > _CACHED_MS
        or caller.sent_ms + takes_ms < _LAST_SIXTH_MS
    ]
    assert not late
    # A promise that a request has not run is true.
    for caller in instance.requests:
        if caller.ending == Ending.NOT_RUN:
            assert caller.request_id not in instance.server.runs


@pytest.mark.parametrize(
    ('kind', 'ending'),
    [
        ('once', Ending.FAILED),
        ('again', Ending.FAILED),
        ('stream', Ending.CUT),
    ],
)
def test_plain_request_that_outlasts_the_stop_gets_no_answer(kind, ending):
    instance = StoppingInstance()
    caller = instance.send(f'/{kind}/?ms=9500')
    instance.run_for(100)
    instance.stop()
    instance.run_for(GRACE_MS)
    assert caller.ending == ending


def test_stop_does_not_wait_for_callers_that_have_not_read_their_answer():
    instance = StoppingInstance()
    caller = instance.send(f'/once/?ms=10&size={_LARGE}')
    caller.reads = False
    instance.run_for(100)
    instance.stop()
    instance.run_for(_CACHED_MS + 1000)
    assert instance.ended_ms is None
    caller.reads = True
    instance.run_for(GRACE_MS)
    assert caller.ending == Ending.WHOLE
    assert instance.ended_ms < GRACE_MS


def test_caller_that_never_reads_delays_the_end_beyond_the_grace_period():
    instance = StoppingInstance()
    caller = instance.send(f'/once/?ms=10&size={_LARGE}')
    caller.reads = False
    instance.run_for(100)
    instance.stop()
    instance.run_for(GRACE_MS)
    assert _LAST_SIXTH_MS < instance.ended_ms < GRACE_MS


def test_request_read_in_the_turn_in_which_the_stop_ends_is_cut():
    """Such a request is answered without having been sent."""
    instance = StoppingInstance()
    connection = instance.connect()
    instance.run_for(100)
    on_stopped = instance.node.on_stopped
    callers = []

    def send_and_stop():
        callers.append(instance.send('/once/?ms=40', sock=connection))
        on_stopped()

    instance.node.on_stopped = send_and_stop
    instance.stop()
    instance.run_for(GRACE_MS)
    assert instance.ended_ms < GRACE_MS
    assert not instance.list_lost()
    assert callers[0].ending == Ending.NOT_RUN


def test_request_half_read_at_the_end_gets_no_answer():
    instance = StoppingInstance()
    connection = instance.connect()
    caller = instance.send('/once/?ms=40', sock=connection, missing=10)
    instance.stop()
    instance.run_for(GRACE_MS)
    assert caller.ending == Ending.NOT_RUN


def test_second_signal_or_a_reload_changes_the_end_of_a_stop():
    instance = StoppingInstance()
    caller = instance.send('/stream/?ms=5000')
    instance.run_for(100)
    instance.stop()
    instance.run_for(1000)
    instance.stop()
    instance.reload(grace_ms=2000)
    instance.run_for(GRACE_MS)
    assert caller.ending == Ending.WHOLE
    assert instance.ended_ms < GRACE_MS


@pytest.mark.parametrize('sent_ms', [100, 3500])
def test_refused_caller_keeps_its_connection(sent_ms):
    """It would return to the instance that stops."""
    instance = StoppingInstance()
    connection = instance.connect()
    long = instance.send('/stream/?ms=6000')
    instance.run_for(100)
    instance.stop()
    instance.run_for(sent_ms)
    caller = instance.send('/stream/?ms=1', sock=connection)
    instance.run_for(500)
    expected = Ending.WHOLE if sent_ms < _CACHED_MS else Ending.NOT_RUN
    assert caller.ending == expected
    assert not caller.keeps_connection
    instance.run_for(GRACE_MS)
    assert long.ending == Ending.WHOLE


def test_closed_sockets_are_seen_as_cut():
    """Checks the harness itself."""
    instance = StoppingInstance()
    caller = instance.send('/once/?ms=100')
    caller.sock.shutdown(socket.SHUT_RDWR)
    instance.run_for(100)
    assert caller.ending == Ending.CUT
