"""Tests of the state dump of an instance that forwards requests."""

import pytest

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.forward_fakes import make_figures
from crankchute.core.forward_fleet_test import make_listed
from crankchute.entry.forward_node_test import SingleInstance
from crankchute.entry.forward_state import dump_forward_node


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('instance', 'one'),
        ('home', None),
        ('send_buffers', None),
        ('servers_listed', {'revision': 0, 'spans': (), 'proof_age_ms': None}),
    ],
)
def test_state_holds_the_value(name, expected):
    instance = SingleInstance()
    assert dump_forward_node(instance.node)[name] == expected


def test_state_holds_the_cpu_of_members():
    members = dump_forward_node(SingleInstance().node)['members']
    assert [member['strength'] for member in members] == [0]


def test_state_holds_how_long_a_refusal_counts():
    """Operators see which engines an instance leaves out, and for how long."""
    node = SingleInstance().node
    node.fleet.put(make_listed('a'))
    node.fleet.put(make_listed('b'))
    refusing = next(iter(node.fleet)).identity
    node.work_tracker.state(refusing).record_refused(1000, node.now_ms())
    left_out_ms = {
        server['server']: server['memory_refused_for_ms']
        for server in dump_forward_node(node)['servers']
    }
    assert 0 < left_out_ms.pop(refusing) <= 500
    assert not any(left_out_ms.values())


def test_state_holds_the_backoff_of_servers():
    node = SingleInstance().node
    node.fleet.pauses.request_pause('a', 60_000)
    node.fleet.put(make_listed('a'))
    node.fleet.put(make_listed('b'))
    backoff_ms = {
        server['server']: server['rests_for_ms']
        for server in dump_forward_node(node)['servers']
    }
    assert 50_000 < backoff_ms['a'] <= 60_000
    assert backoff_ms['b'] == 0


def test_state_holds_the_largest_accounts():
    """Operators see which accounts use the engines, and by how much."""
    node = SingleInstance().node
    shares = node.work_tracker.account_shares
    for number in range(12):
        work = make_work_item(f'{number}', 'a', prefill_ms=100 * (1 + number))
        work.account = number + 1
        node.work_tracker.add(work)
    heavy = make_work_item('heavy', 'a', prefill_ms=7800)
    heavy.account = shares.identify('acc')
    node.work_tracker.add(heavy)
    accounts = dump_forward_node(node)['accounts']
    assert accounts['tracked'] == 13
    assert len(accounts['largest']) == 10
    assert accounts['largest'][0] == {
        'account': 'acc',
        'hash': f'{heavy.account:08x}',
        'share': pytest.approx(0.5, abs=0.01),
        'excess': pytest.approx(6.5, abs=0.1),
    }
    assert accounts['largest'][1]['account'] is None
    assert accounts['largest'][1]['hash'] == '0000000c'
    rendered = node.metrics.render().decode()
    assert 'crankchute_accounts_tracked 13.0' in rendered


def test_decode_time_of_the_pool_is_charged_to_accounts():
    """Short prompts cost more by their decode than by their prefill."""
    node = SingleInstance(make_figures()).node
    engine = next(iter(node.fleet)).identity
    for number, is_decoding in enumerate((True, False)):
        work = make_work_item(f'{number}', engine, is_decoding=is_decoding)
        work.account = number + 1
        node.work_tracker.add(work)
    largest = dump_forward_node(node)['accounts']['largest']
    percent = {usage['hash']: round(100 * usage['share']) for usage in largest}
    assert percent['00000001'] > 80
