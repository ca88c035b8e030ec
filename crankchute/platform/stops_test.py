"""Integration tests of requests around the shutdown of an instance."""

import pytest

from crankchute.platform.standin_stop import GRACE_MS, StoppingInstance

#: From here on no caller uses an address that it learnt before the shutdown.
_CACHED_MS = 3000


def run_shutdown(instance, target, every_ms):
    """Stop an instance whose caller keeps using its connection.

    Args:
      instance: A StoppingInstance.
      target: See StoppingInstance.send.
      every_ms: The interval between two requests, each on a connection that
        was open before the shutdown.
    """
    count = int(GRACE_MS / every_ms)
    connections = [instance.connect() for _ in range(count)]
    instance.run_for(200)
    instance.stop()
    for connection in connections:
        instance.run_for(every_ms)
        if instance.ended_ms is None:
            instance.send(target, sock=connection)
    instance.run_for(GRACE_MS)


@pytest.mark.parametrize(('kind', 'takes_ms'), [('stream', 4000)])
def test_stop_cuts_requests_that_it_accepted_late(kind, takes_ms):
    instance = StoppingInstance()
    run_shutdown(instance, f'/{kind}/?ms={takes_ms}', every_ms=250)
    late = [
        caller.sent_ms
        for caller in instance.list_lost()
        if caller.sent_ms > _CACHED_MS
    ]
    assert not late
