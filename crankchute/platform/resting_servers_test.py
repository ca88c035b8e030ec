"""Tests of servers that send Retry-After with a 503.

Such a server has no running requests and so seems idle; it must not be chosen
again before the delay is over.
"""

import pytest

from crankchute.core.outcomes import Outcome
from crankchute.platform.standin_world import (
    ANSWERED,
    SOUND,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
    list_engine,
)


@pytest.mark.parametrize('is_plain', [False, True])
def test_resting_server_gets_no_requests(is_plain):
    """No request is refused while other servers have capacity."""
    cluster = StandinWorld(instances=1, engines=3, is_plain=is_plain)
    engine = cluster.engines[0]
    engine.rest = '600'
    ask_for_work(cluster, engine)
    before = engine.arrivals
    assert set(ask_often(cluster, cluster.nodes[0])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('is_plain', [False, True])
def test_request_is_refused_while_all_servers_rest(is_plain):
    """It is not sent; its Retry-After tells when the first server is back."""
    cluster = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    for number, rest in enumerate(('600', '20')):
        cluster.engines[number].rest = rest
    assert set(ask_often(cluster, cluster.nodes[0])) == {'refused'}
    before = [engine.arrivals for engine in cluster.engines]
    sink, finish = cluster.submit(cluster.nodes[0], SOUND)
    assert finish() == ('refused', Outcome.NOT_RUN)
    assert [engine.arrivals for engine in cluster.engines] == before
    assert 15_000 < sink.retry_after_ms <= 20_000 * 1.25


@pytest.mark.parametrize('ask', [ask_for_memory, ask_for_report])
def test_retry_after_is_read_from_orders_and_reports(ask):
    cluster = StandinWorld(instances=1, engines=3)
    engine = cluster.engines[0]
    engine.rest = '600'
    ask(cluster, engine)
    before = engine.arrivals
    assert set(ask_often(cluster, cluster.nodes[0])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('rest', ['0', 'soon', '-3', ''])
def test_zero_or_invalid_retry_after_is_ignored(rest):
    """The server is used again for the next request."""
    cluster = StandinWorld(instances=1, engines=1)
    engine = cluster.engines[0]
    engine.rest = rest
    ask_for_work(cluster, engine)
    engine.rest = None
    assert cluster.ask(cluster.nodes[0], SOUND) == ('end', None)


def test_rest_ends_with_a_server_restart():
    """It outlasts a lapse of the server's entry in the store."""
    cluster = StandinWorld(instances=1, engines=2)
    engine = cluster.engines[0]
    engine.rest = '600'
    ask_for_work(cluster, engine)
    before = engine.arrivals
    fleet = cluster.nodes[0].fleet
    fleet.remove(engine.identity, may_have_expired=False)
    fleet.put(list_engine(engine))
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals == before
    engine.rest = None
    engine.restart()
    fleet.put(list_engine(engine))
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals > before
