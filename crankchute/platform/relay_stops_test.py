"""Integration tests of relayed requests around the shutdown of an instance."""

import pytest

from crankchute.platform.standin_paced import Ending
from crankchute.platform.standin_relays import RelayingInstances
from crankchute.platform.standin_stop import GRACE_MS

_KINDS = ('once', 'again', 'stream')
_STARTUP_MS = 200
_INTERVAL_MS = 250
_LONGEST_MS = 4000


def run_shutdown(world, stopping, target):
    """Stop instances while callers of the first keep using their connections.

    Args:
      world: RelayingInstances.
      stopping: The StoppingInstances to stop.
      target: See StoppingInstance.send.
    """
    entry = world.entry
    count = GRACE_MS // _INTERVAL_MS
    connections = [entry.connect() for _ in range(count)]
    world.run_for(_STARTUP_MS)
    for instance in stopping:
        instance.stop()
    for connection in connections:
        world.run_for(_INTERVAL_MS)
        if entry.ended_ms is None:
            entry.send(target, sock=connection)
    world.run_for(_LONGEST_MS + _STARTUP_MS)


def check_promises(world, kind):
    """Check that "not run" was true, and that "once" ran only once."""
    for caller in world.entry.requests:
        runs = world.count_runs(caller)
        assert caller.ending is not None
        assert runs <= 1 or kind != 'once'
        if caller.ending == Ending.NOT_RUN:
            assert not runs


@pytest.mark.parametrize('kind', _KINDS)
@pytest.mark.parametrize('takes_ms', [40, 1500, _LONGEST_MS])
def test_stop_of_a_proxy_fails_requests_that_another_can_serve(kind, takes_ms):
    world = RelayingInstances(proxies=2)
    run_shutdown(world, world.proxies[:1], f'/{kind}/?ms={takes_ms}')
    check_promises(world, kind)
    endings = {caller.ending for caller in world.entry.requests}
    assert endings == {Ending.WHOLE}
    assert world.proxies[0].ended_ms < GRACE_MS
    assert len(world.proxies[0].server.runs) > 5
    assert len(world.proxies[1].server.runs) > 5


@pytest.mark.parametrize('kind', _KINDS)
@pytest.mark.parametrize('takes_ms', [40, 1500])
def test_stop_of_the_only_proxy_breaks_a_promise(kind, takes_ms):
    world = RelayingInstances(proxies=1)
    run_shutdown(world, world.proxies, f'/{kind}/?ms={takes_ms}')
    check_promises(world, kind)
    endings = {caller.ending for caller in world.entry.requests}
    assert endings == {Ending.WHOLE, Ending.NOT_RUN}


@pytest.mark.parametrize('kind', _KINDS)
@pytest.mark.parametrize('takes_ms', [40, 1500, _LONGEST_MS])
def test_stop_of_the_relaying_instance_cuts_late_requests(kind, takes_ms):
    world = RelayingInstances(proxies=1)
    run_shutdown(world, [world.entry], f'/{kind}/?ms={takes_ms}')
    check_promises(world, kind)
    endings = {caller.ending for caller in world.entry.requests}
    assert endings == {Ending.WHOLE, Ending.NOT_RUN}
    assert world.entry.ended_ms < GRACE_MS


@pytest.mark.parametrize(
    ('kind', 'stops_proxy', 'ending'),
    [
        ('once', True, Ending.FAILED),
        ('again', True, Ending.FAILED),
        ('stream', True, Ending.CUT),
        ('once', False, Ending.FAILED),
        ('again', False, Ending.FAILED),
        ('stream', False, Ending.CUT),
    ],
)
def test_relayed_request_that_outlasts_the_stop_is_called_not_run(
    kind, stops_proxy, ending
):
    world = RelayingInstances(proxies=1)
    caller = world.entry.send(f'/{kind}/?ms=9500')
    world.run_for(_STARTUP_MS)
    stopping = world.proxies[0] if stops_proxy else world.entry
    stopping.stop()
    world.run_for(GRACE_MS)
    assert world.count_runs(caller) == 1
    assert caller.ending == ending
    # The server of a request whose caller was told is not kept busy.
    world.run_for(_STARTUP_MS)
    assert not world.proxies[0].node.desk.in_progress
