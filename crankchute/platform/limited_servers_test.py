"""Tests of request rate limits that servers set in response headers.

All instances together must keep to a server's limit, and use the other servers
meanwhile.
"""

from functools import partial

import pytest

from crankchute.platform.standin_world import (
    ANSWERED,
    HUGE,
    PATIENT,
    SOUND,
    StandinWorld,
    ask_for_memory,
    ask_for_report,
    ask_for_work,
    ask_often,
    list_engine,
)

#: The required accuracy: once the propagation time is over, no window has more
#: requests than the limit allows times the factor, plus the slack.
_PROPAGATION_MS = 3000
_WINDOW_MS = 4000
_MS_PER_SECOND = 1000
_BURST_FACTOR = 1.5
_BURST_SLACK = 5
_LOAD_DURATION_MS = 9000


def announce_limit(engines, *limits):
    """Let engines send limit headers in all responses."""
    for engine in engines:
        engine.limits = limits


def max_window_count(engine, since_ms):
    """Return the most requests that reached an engine within one window."""
    arrival_times = [
        time_ms for time_ms in engine.reached_ms if time_ms >= since_ms
    ]
    return max(
        (
            sum(
                start <= time_ms < start + _WINDOW_MS
                for time_ms in arrival_times
            )
            for start in arrival_times
        ),
        default=0,
    )


def allowed_in_window(limit):
    """Return how many requests a limit allows in a window."""
    return _BURST_FACTOR * limit * _WINDOW_MS / _MS_PER_SECOND + _BURST_SLACK


def find_excess_counts(engines, limit, since_ms):
    """Return the window counts of engines that exceed what the limit allows."""
    counts = [max_window_count(engine, since_ms) for engine in engines]
    return [count for count in counts if count > allowed_in_window(limit)]


@pytest.mark.parametrize('is_plain', [False, True])
@pytest.mark.parametrize(
    ('instances', 'limit'),
    [(8, '1'), (8, '2'), (8, '1.5'), (3, '0'), (24, '0.5')],
)
def test_limit_applies_to_all_instances_together(instances, limit, is_plain):
    """No request is refused while other servers have capacity."""
    cluster = StandinWorld(instances, engines=8, is_plain=is_plain)
    limited = cluster.engines[:4]
    announce_limit(limited, limit)
    announced_ms = cluster.nodes[0].now_ms()
    ends = cluster.send_load(cluster.nodes, 50, _LOAD_DURATION_MS)
    assert set(ends) <= ANSWERED
    assert not find_excess_counts(
        limited, float(limit), announced_ms + _PROPAGATION_MS
    )


@pytest.mark.parametrize('is_plain', [False, True])
def test_limited_pool_is_used_to_capacity(is_plain):
    """Requests over the limit are refused without being sent."""
    cluster = StandinWorld(
        instances=6, engines=4, is_plain=is_plain, peer_delay_ms=10
    )
    cluster.wait(_WINDOW_MS + _MS_PER_SECOND)
    announce_limit(cluster.engines, '3')
    announced_ms = cluster.nodes[0].now_ms()
    cluster.send_load(cluster.nodes, 40, _MS_PER_SECOND)
    load_start_ms = cluster.nodes[0].now_ms()
    before = sum(engine.arrivals for engine in cluster.engines)
    ends = cluster.send_load(cluster.nodes, 40, 2 * _WINDOW_MS)
    load_duration_ms = cluster.nodes[0].now_ms() - load_start_ms
    assert 'refused' in ends
    assert not find_excess_counts(
        cluster.engines, 3, announced_ms + _PROPAGATION_MS
    )
    arrived = sum(engine.arrivals for engine in cluster.engines) - before
    assert arrived == len(ends) - ends.count('refused')
    allowed = 3 * len(cluster.engines) * load_duration_ms / _MS_PER_SECOND
    assert arrived > allowed * 0.8


@pytest.mark.parametrize('is_plain', [False, True])
@pytest.mark.parametrize(('limit', 'per_second'), [('1', 1), ('4', 5)])
def test_no_request_is_refused_below_the_limits(limit, per_second, is_plain):
    """This holds for each instance, whatever its share of the limit is."""
    cluster = StandinWorld(
        instances=8, engines=3, is_plain=is_plain, peer_delay_ms=10
    )
    cluster.wait(_WINDOW_MS + _MS_PER_SECOND)
    announce_limit(cluster.engines, limit)
    announced_ms = cluster.nodes[0].now_ms()
    cluster.send_load(cluster.nodes, 20, _MS_PER_SECOND)
    cluster.wait(_WINDOW_MS)
    ends = cluster.send_load(cluster.nodes, per_second, 2 * _WINDOW_MS)
    assert set(ends) <= ANSWERED
    assert not find_excess_counts(
        cluster.engines, float(limit), announced_ms + _PROPAGATION_MS
    )


def list_shares(cluster):
    """Return the share of each instance in the limit of a server."""
    return [
        node.peers.limits.shares.share_of('i-0', 4) for node in cluster.nodes
    ]


@pytest.mark.parametrize('pause_ms', [900, 60_000])
def test_pause_of_the_process_changes_no_share_of_a_limit(pause_ms):
    """A share that is lost and regained cannot be used for a whole window."""
    cluster = StandinWorld(instances=8, engines=3, peer_delay_ms=10)
    cluster.wait(_WINDOW_MS + _MS_PER_SECOND)
    shares = list_shares(cluster)
    assert sum(shares) == pytest.approx(1)
    for wait_ms in (130, 170, 210, 250):
        cluster.loop.clock.time_ms += pause_ms
        cluster.wait(wait_ms)
        assert list_shares(cluster) == shares


@pytest.mark.parametrize('is_plain', [False, True])
def test_request_over_the_limit_is_refused_with_retry_after(is_plain):
    cluster = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    announce_limit(cluster.engines, '0.1')
    cluster.send_load(cluster.nodes, 40, _MS_PER_SECOND)
    before = [len(engine.reached_ms) for engine in cluster.engines]
    sink, finish = cluster.submit(cluster.nodes[0], SOUND)
    assert finish()[0] == 'refused'
    assert [len(engine.reached_ms) for engine in cluster.engines] == before
    assert 1000 < sink.retry_after_ms


def change_nothing(cluster):
    """Leave all instances as they are."""


def isolate_one(cluster):
    """Disconnect an instance from the others; it keeps sending requests."""
    cluster.cut_off(cluster.nodes[0])


def replace_half(cluster):
    """Replace four instances by new ones."""
    for node in cluster.nodes[:4]:
        cluster.cut_off(node)
        cluster.nodes.remove(node)
        cluster.start_instance()


@pytest.mark.parametrize('change', [change_nothing, isolate_one, replace_half])
def test_limit_holds_during_membership_changes(change):
    """The instances' views of the membership differ meanwhile."""
    cluster = StandinWorld(instances=8, engines=6)
    announce_limit(cluster.engines, '2')
    announced_ms = cluster.nodes[0].now_ms()
    cluster.loop.timers.after(_LOAD_DURATION_MS / 3, partial(change, cluster))
    cluster.send_load(cluster.nodes, 60, _LOAD_DURATION_MS)
    assert not find_excess_counts(
        cluster.engines, 2, announced_ms + _PROPAGATION_MS
    )


@pytest.mark.parametrize('ask', [ask_for_work, ask_for_memory, ask_for_report])
@pytest.mark.parametrize('node', [0, 1])
def test_limit_is_read_from_each_response_kind_and_shared(ask, node):
    cluster = StandinWorld(instances=2, engines=3)
    engine = cluster.engines[0]
    announce_limit([engine], '0')
    ask(cluster, engine)
    cluster.wait(_MS_PER_SECOND)
    before = engine.arrivals
    assert set(ask_often(cluster, cluster.nodes[node])) <= ANSWERED
    assert engine.arrivals == before


@pytest.mark.parametrize('limit', ['soon', '', '-1', 'nan', 'inf', '1e9999'])
def test_invalid_limit_is_ignored(limit):
    cluster = StandinWorld(instances=1, engines=2)
    engine = cluster.engines[0]
    announce_limit([engine], limit)
    ask_for_work(cluster, engine)
    before = engine.arrivals
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals - before > _BURST_SLACK


@pytest.mark.parametrize('limit', ['0', '0.01', '2'])
@pytest.mark.parametrize('is_plain', [False, True])
def test_limit_ends_with_the_first_response_without_it(limit, is_plain):
    """This includes limits so low that no request would be sent there again."""
    cluster = StandinWorld(instances=3, engines=3, is_plain=is_plain)
    engine = cluster.engines[0]
    announce_limit([engine], limit)
    ask_for_work(cluster, engine)
    cluster.wait(_MS_PER_SECOND)
    announce_limit([engine])
    cluster.wait(_WINDOW_MS)
    before = engine.arrivals
    for node in cluster.nodes:
        assert set(ask_often(cluster, node)) <= ANSWERED
    assert engine.arrivals - before > _BURST_SLACK


def test_limit_ends_with_a_server_restart():
    """It outlasts a lapse of the server's entry in the store."""
    cluster = StandinWorld(instances=1, engines=2)
    engine = cluster.engines[0]
    announce_limit([engine], '0')
    ask_for_work(cluster, engine)
    before = engine.arrivals
    fleet = cluster.nodes[0].fleet
    fleet.remove(engine.identity, may_have_expired=False)
    fleet.put(list_engine(engine))
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals == before
    announce_limit([engine])
    engine.restart()
    fleet.put(list_engine(engine))
    ask_often(cluster, cluster.nodes[0])
    assert engine.arrivals > before


@pytest.mark.parametrize('notice', ['leaving', 'rest'])
@pytest.mark.parametrize('is_plain', [False, True])
def test_leaving_or_resting_server_is_not_probed_for_its_limit(
    notice, is_plain
):
    """Each probe would be a further call of a server that wants none."""
    cluster = StandinWorld(instances=1, engines=2, is_plain=is_plain)
    engine = cluster.engines[0]
    announce_limit([engine], '0')
    engine.is_leaving = notice == 'leaving'
    engine.rest = '600' if notice == 'rest' else None
    ask_for_work(cluster, engine)
    before = len(engine.reached_ms)
    cluster.wait(2 * _WINDOW_MS)
    assert len(engine.reached_ms) == before


def test_orders_and_probes_count_towards_the_limit():
    """Limited engines get few orders, even if prompts need their memory."""
    cluster = StandinWorld(instances=3, engines=4)
    announce_limit(cluster.engines, '1')
    announced_ms = cluster.nodes[0].now_ms()
    ask_for_memory(cluster, cluster.engines[0])
    cluster.wait(_PROPAGATION_MS)
    for node in cluster.nodes:
        for _ in range(4):
            cluster.submit(node, SOUND, size=HUGE, **PATIENT)
    cluster.wait(_WINDOW_MS)
    assert not find_excess_counts(
        cluster.engines, 1, announced_ms + _PROPAGATION_MS
    )
