"""Tests of evacuated data centres with whole instances and servers."""

import pytest

from crankchute.core.evacuations import Evacuation
from crankchute.core.outcomes import Outcome
from crankchute.entry.forward_state import dump_forward_node
from crankchute.platform.limited_servers_test import announce_limit
from crankchute.platform.standin_world import (
    ANSWERED,
    HUGE,
    PATIENT,
    SOUND,
    StandinWorld,
    ask_often,
    list_engine,
)
from crankchute.platform.statements_test import (
    list_received,
    reserve_helpers,
    resume_streams,
    retry_after_connection_loss,
    retry_after_rejection,
    send_after_config_change,
    send_first_attempts,
)

#: The data centre of all instances and of one engine, which they prefer.
HERE = 'here'
AWAY = 'away'
#: Below the time within which an evacuation must take effect.
_PROPAGATION_MS = 1500
_MS_PER_SECOND = 1000


def make_cluster(**fields):
    """Return a cluster whose other engines are in another data centre."""
    cluster = StandinWorld(evacuates=True, **fields)
    for node in cluster.nodes:
        move_engines(cluster, node)
    cluster.nodes[0].peers.evacuations.replace_all([], 1, is_current=True)
    cluster.wait(_PROPAGATION_MS)
    return cluster, cluster.engines[0]


def move_engines(cluster, node):
    for engine in cluster.engines[1:]:
        node.fleet.put(list_engine(engine, AWAY))


def evacuate(cluster, position=2, *, is_evacuated=True):
    """Pass a change to the first instance, as from the store."""
    record = Evacuation(HERE, position, is_evacuated=is_evacuated)
    cluster.nodes[0].peers.evacuations.apply_changes([record])


def list_sent(engine):
    """Return what an engine received, with load polls and health checks."""
    return {*list_received(engine), ('probes', engine.probes)}


def send_from_new_instance(cluster):
    """Start an instance, whose first request polls the load of servers."""
    node = cluster.start_instance()
    move_engines(cluster, node)
    cluster.loop.run_until(lambda: node.is_accepting, 0.001)
    ask_often(cluster, node)


@pytest.mark.parametrize(
    'trigger',
    [
        send_first_attempts,
        retry_after_rejection,
        retry_after_connection_loss,
        resume_streams,
        reserve_helpers,
        send_after_config_change,
        send_from_new_instance,
    ],
)
@pytest.mark.parametrize('is_evacuated', [True, False])
def test_evacuation_applies_to_each_decision(trigger, is_evacuated):
    """Any of these sends to a server that is not evacuated."""
    cluster, engine = make_cluster(instances=1, engines=3)
    evacuate(cluster, is_evacuated=is_evacuated)
    before = list_sent(engine)
    trigger(cluster)
    assert (list_sent(engine) == before) == is_evacuated


@pytest.mark.parametrize('is_plain', [False, True])
def test_evacuation_reaches_all_instances(is_plain):
    """Also those that cannot read the store, and those that start later."""
    cluster, engine = make_cluster(instances=5, engines=3, is_plain=is_plain)
    evacuate(cluster)
    move_engines(cluster, cluster.start_instance())
    cluster.wait(_PROPAGATION_MS)
    before = list_sent(engine)
    for node in cluster.nodes:
        assert node.is_accepting
        assert set(ask_often(cluster, node)) <= ANSWERED
    assert list_sent(engine) == before
    evacuate(cluster, 3, is_evacuated=False)
    cluster.wait(_PROPAGATION_MS)
    for node in cluster.nodes:
        assert node.fleet.evacuations.withdrawn_ms(HERE) is not None
        assert set(ask_often(cluster, node)) <= ANSWERED
    assert len(list_sent(engine)) > len(before)


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_change_is_sent_without_delay(is_evacuated):
    """The next periodic message would be up to half a second late."""
    cluster, _engine = make_cluster(instances=2, engines=1)
    sharing = cluster.nodes[0].peers.sharing
    cluster.loop.run_until(lambda: sharing._flush_timer is None, 0.001)
    evacuate(cluster, is_evacuated=is_evacuated)
    assert sharing._flush_timer is not None


def test_no_permit_is_borrowed_for_an_evacuated_server():
    """Instances without a share of a limit borrow permits of the others."""
    cluster, engine = make_cluster(instances=3, engines=3)
    announce_limit(cluster.engines, '3')
    cluster.send_load(cluster.nodes, 20, _MS_PER_SECOND)
    limits = cluster.nodes[0].peers.limits
    assert limits.advertised.limit_of(list_engine(engine).identity)
    evacuate(cluster)
    cluster.wait(_PROPAGATION_MS)
    before = list_sent(engine)
    cluster.send_load(cluster.nodes, 30, 3 * _MS_PER_SECOND)
    assert list_sent(engine) == before
    assert sum(other.arrivals for other in cluster.engines[1:])


@pytest.mark.parametrize('is_plain', [False, True])
def test_request_is_refused_if_all_servers_are_evacuated(is_plain):
    """At once, since no server will take it."""
    cluster, _engine = make_cluster(instances=1, engines=2, is_plain=is_plain)
    node = cluster.nodes[0]
    evacuate(cluster)
    record = Evacuation(AWAY, 3, is_evacuated=True)
    node.peers.evacuations.apply_changes([record])
    assert cluster.ask(node, SOUND) == ('refused', Outcome.NOT_RUN)
    assert node.metrics.counts['refusals', 'evacuated'] == 1
    assert not any(engine.arrivals for engine in cluster.engines)


def test_request_that_waits_for_memory_is_sent_elsewhere():
    """The engine has the order, but answers it after the evacuation."""
    cluster, engine = make_cluster(instances=1, engines=3)
    for other in cluster.engines:
        other.answers_orders = False
    _sink, finish = cluster.submit(
        cluster.nodes[0], SOUND, size=HUGE, **PATIENT
    )
    cluster.wait(50)
    for other in cluster.engines:
        other.answers_orders = True
    evacuate(cluster)
    assert finish()[0] in ANSWERED
    assert not engine.arrivals
    assert not any(
        run.tickets and engine.tickets.keys() & set(run.tickets)
        for other in cluster.engines
        for run in other.runs
    )


def test_instance_is_ready_only_when_evacuations_are_known():
    """It may be called before it has read the store."""
    cluster = StandinWorld(instances=1, engines=2, evacuates=True)
    node = cluster.nodes[0]
    assert not node.is_accepting
    assert cluster.ask(node, SOUND) == ('refused', Outcome.NOT_RUN)
    assert not any(engine.arrivals for engine in cluster.engines)
    node.peers.evacuations.replace_all([], 1, is_current=True)
    assert node.is_accepting
    assert cluster.ask(node, SOUND)[0] in ANSWERED


@pytest.mark.parametrize('knows', [True, False])
def test_proof_of_the_configuration_needs_the_evacuations(knows):
    """Else an instance would not read the store, and miss evacuations."""
    cluster = StandinWorld(instances=2, engines=1, evacuates=True)
    sender, receiver = cluster.nodes
    if knows:
        sender.peers.evacuations.replace_all([], 1, is_current=True)
    sender.holder.confirm(1, sender.now_ms())
    cluster.wait(_PROPAGATION_MS)
    age_ms = receiver.holder.proof_age_ms(receiver.now_ms())
    assert (age_ms is not None) == knows


def test_evacuations_are_in_the_state_dump_and_the_metrics():
    cluster, _engine = make_cluster(instances=1, engines=1)
    evacuate(cluster)
    node = cluster.nodes[0]
    record = {
        'data_centre': HERE,
        'position': 2,
        'evacuated': True,
        'withdrawn_ms_ago': None,
    }
    dumped = dump_forward_node(node)['evacuations']
    assert dumped == {'known': True, 'records': [record]}
    assert b'evacuated_data_centres 1.0' in node.metrics.render()
    evacuate(cluster, 3, is_evacuated=False)
    record = dump_forward_node(node)['evacuations']['records'][0]
    assert record['withdrawn_ms_ago'] >= 0


@pytest.mark.parametrize('enabled', [0, 1])
def test_evacuations_have_no_effect_unless_enabled(enabled):
    """During an upgrade, some instances run without the setting."""
    cluster = StandinWorld(instances=2, engines=2)
    other = cluster.nodes[1 - enabled]
    cluster.nodes[enabled].fleet.evacuations.is_enabled = True
    evacuations = cluster.nodes[enabled].peers.evacuations
    evacuations.replace_all(
        [Evacuation(HERE, 2, is_evacuated=True)], 3, is_current=True
    )
    cluster.wait(_PROPAGATION_MS)
    assert other.is_accepting
    assert set(ask_often(cluster, other)) <= ANSWERED
    assert dump_forward_node(other)['evacuations'] == {
        'known': False,
        'records': [],
    }
