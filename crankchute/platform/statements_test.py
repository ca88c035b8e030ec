"""Tests of the table in docs/design/what-servers-state.md.

Each notice that a server sends is checked in each kind of response, at each
instance that must know of it, and for each decision that it affects.
"""

import re
from itertools import repeat
from pathlib import Path

import pytest

from crankchute.platform import wire
from crankchute.platform.standin_engine import Behaviour
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
)

_TABLE = Path(__file__).parents[2] / 'docs/design/what-servers-state.md'
_PROPAGATION_MS = 1000
_REQUEST_COUNT = 12


def announce_leaving(engine):
    """Let a server announce that it shuts down."""
    engine.is_leaving = True


def announce_limit(engine):
    """Let a server set its request limit to zero."""
    engine.limits = ('0',)


def announce_rest(engine):
    """Let a server reject all requests with Retry-After."""
    engine.rest = '600'


def reject_with_leaving(engine):
    """Let a server reject all requests and announce that it shuts down."""
    engine.is_leaving = True
    engine.rest = '0'


def reject_with_limit(engine):
    """Let a server reject all requests and set its limit to zero."""
    engine.limits = ('0',)
    engine.rest = '0'


NOTICES = (
    announce_leaving,
    reject_with_leaving,
    announce_limit,
    reject_with_limit,
    announce_rest,
)
#: Notices that apply to all instances; Retry-After only applies to the caller.
SHARED_NOTICES = NOTICES[:-1]


def list_received(engine):
    """Return an engine's request numbers and memory tickets, a set."""
    return {*range(engine.arrivals), *engine.tickets}


def make_cluster(notice, **fields):
    """Return a cluster and its first engine, which sends the notice."""
    cluster = StandinWorld(**fields)
    notice(cluster.engines[0])
    return cluster, cluster.engines[0]


@pytest.mark.parametrize('notice', NOTICES)
@pytest.mark.parametrize('ask', [ask_for_work, ask_for_memory, ask_for_report])
def test_notice_is_read_from_each_kind_of_response(notice, ask):
    cluster, engine = make_cluster(notice, instances=1, engines=3)
    ask(cluster, engine)
    before = list_received(engine)
    assert set(ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)) <= ANSWERED
    assert list_received(engine) <= before


@pytest.mark.parametrize('notice', SHARED_NOTICES)
@pytest.mark.parametrize('is_plain', [False, True])
def test_shared_notice_reaches_all_instances(notice, is_plain):
    """This includes instances that start later."""
    cluster, engine = make_cluster(
        notice,
        instances=5,
        engines=3,
        is_plain=is_plain,
    )
    ask_for_work(cluster, engine)
    cluster.start_instance()
    cluster.wait(_PROPAGATION_MS)
    before = list_received(engine)
    for node in cluster.nodes:
        assert set(ask_often(cluster, node, _REQUEST_COUNT)) <= ANSWERED
    assert list_received(engine) <= before


def test_rest_applies_only_to_the_instance_that_got_it():
    """A server may reject one instance's requests and accept others."""
    cluster, engine = make_cluster(
        announce_rest, instances=2, engines=3, is_plain=True
    )
    ask_for_work(cluster, engine)
    cluster.wait(_PROPAGATION_MS)
    before = engine.arrivals
    ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)
    assert engine.arrivals == before
    ask_often(cluster, cluster.nodes[1], _REQUEST_COUNT)
    assert engine.arrivals > before


def send_first_attempts(cluster):
    """Send requests."""
    ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)


def retry_after_rejection(cluster):
    """Let the other engines reject requests, which are then retried."""
    for engine in cluster.engines[1:]:
        engine.next_behaviours.extend(repeat(Behaviour.FULL, _REQUEST_COUNT))
    ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)


def retry_after_connection_loss(cluster):
    """Let the other engines close connections, so that requests are retried."""
    for engine in cluster.engines[1:]:
        engine.next_behaviours.extend(repeat(Behaviour.CLOSE, _REQUEST_COUNT))
    ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)


def resume_streams(cluster):
    """Let the other engines break off streams, which are then resumed."""
    for engine in cluster.engines[1:]:
        engine.next_behaviours.extend(
            repeat(Behaviour.BREAK_OFF, _REQUEST_COUNT)
        )
    ask_often(cluster, cluster.nodes[0], _REQUEST_COUNT)


def reserve_helpers(cluster):
    """Send prompts that need memory reserved at several engines."""
    for _ in range(3):
        cluster.ask(cluster.nodes[0], SOUND, size=HUGE, **PATIENT)


def send_after_config_change(cluster):
    """Send requests after a change of the configuration."""
    node = cluster.nodes[0]
    config = node.holder.config
    config.version += 1
    node.holder.offer(config, b'')
    ask_often(cluster, node, _REQUEST_COUNT)


@pytest.mark.parametrize('notice', NOTICES)
@pytest.mark.parametrize(
    'trigger',
    [
        send_first_attempts,
        retry_after_rejection,
        retry_after_connection_loss,
        resume_streams,
        reserve_helpers,
        send_after_config_change,
    ],
)
def test_notice_applies_to_each_decision(notice, trigger):
    cluster, engine = make_cluster(notice, instances=1, engines=3)
    ask_for_work(cluster, engine)
    before = list_received(engine)
    trigger(cluster)
    assert list_received(engine) <= before


def list_headers():
    """Return the names of all headers in the wire module."""
    return sorted(
        text
        for name, text in wire.__dict__.items()
        if name.isupper()
        and isinstance(text, str)
        and not name.endswith(('_PATH', '_KEY', '_PREFIX'))
    )


@pytest.mark.parametrize('header', list_headers())
def test_each_header_is_listed_in_the_table(header):
    """A new header needs a row before it is used."""
    rows = [
        line.lower()
        for line in _TABLE.read_text(encoding='utf-8').splitlines()
        if line.startswith('|')
    ]
    pattern = re.compile(rf'`{re.escape(header)}`')
    assert any(pattern.search(row.split('|')[1]) for row in rows)


def test_no_cell_of_the_table_is_empty():
    """An empty cell is an unhandled case, or lacks its reason."""
    rows = [
        line.strip().strip('|').split('|')
        for line in _TABLE.read_text(encoding='utf-8').splitlines()
        if line.startswith('|')
    ]
    assert len(rows) > 10
    assert all(cell.strip() for row in rows for cell in row)
