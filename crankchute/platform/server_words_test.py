"""Tests of servers that announce in response headers that they shut down.

While the store is unavailable, instances learn of it only from these headers.
"""

import pytest

from crankchute.platform.standin_world import (
    ANSWERED,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
    list_engine,
)

#: A required limit: the time until all instances know what one has learnt.
_PROPAGATION_MS = 3000


@pytest.mark.parametrize(
    ('is_plain', 'ask'),
    [
        (False, ask_for_work),
        (True, ask_for_work),
        (False, ask_for_memory),
        (False, ask_for_report),
    ],
)
def test_leaving_server_gets_no_more_requests(is_plain, ask):
    """This holds at all instances, whatever the store has of the server."""
    cluster = StandinWorld(instances=2, engines=3, is_plain=is_plain)
    engine = cluster.engines[0]
    engine.is_leaving = True
    ask(cluster, engine)
    before = engine.arrivals
    assert set(ask_often(cluster, cluster.nodes[0])) <= ANSWERED
    cluster.wait(_PROPAGATION_MS)
    for node in cluster.nodes:
        node.fleet.put(list_engine(engine))
        assert set(ask_often(cluster, node)) <= ANSWERED
    assert engine.arrivals == before


def test_restarted_server_gets_requests_again():
    """A notice does not apply to the server after a restart."""
    cluster = StandinWorld(instances=1, engines=2)
    engine = cluster.engines[0]
    engine.is_leaving = True
    ask_for_work(cluster, engine)
    before = engine.arrivals
    ask_often(cluster, cluster.nodes[0])
    engine.is_leaving = False
    engine.restart()
    cluster.nodes[0].fleet.put(list_engine(engine))
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals > before


def test_leaving_notice_is_read_from_rejections():
    """The rejected request runs at another server."""
    cluster = StandinWorld(instances=1, engines=3)
    engine = cluster.engines[0]
    engine.is_leaving = True
    engine.rest = '0'
    ask_for_work(cluster, engine)
    before = engine.arrivals
    assert set(ask_often(cluster, cluster.nodes[0])) <= ANSWERED
    assert engine.arrivals == before
