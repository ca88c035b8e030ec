"""Tests of routing, model placement, ownership and account addresses."""

import random

import pytest

from crankchute.core.breaker import Breaker
from crankchute.core.candidates import list_candidates
from crankchute.core.config import Pool
from crankchute.core.config_loader import load_config
from crankchute.core.fair_queue import FairQueue
from crankchute.core.fakes import (
    make_config_documents,
    make_job,
    make_listed_instance,
    make_load,
)
from crankchute.core.fleet import Backend, Fleet
from crankchute.core.hashing import rank_by_hash
from crankchute.core.instance_assignment import (
    choose_instances,
    choose_owner,
    is_platform_reader,
)
from crankchute.core.membership import Member, Status
from crankchute.core.model_assignment import (
    PoolEngine,
    may_change_models,
    plan_models,
)
from crankchute.core.ownership import EngineContents, Ownership
from crankchute.core.policies import RoutingView, routing_policies
from crankchute.core.prefix_index import PrefixIndex, hash_blocks
from crankchute.core.retry_budget import RetryBudget

_NAMES = ('engine-0', 'engine-1', 'engine-2', 'engine-3')


def _fleet(**loads):
    fleet = Fleet()
    fleet.replace([make_listed_instance(name) for name in _NAMES])
    for backend in fleet:
        changes = loads.get(backend.identity.replace('-', '_'), {})
        fleet.record_load(backend, make_load(0, **changes))
    return fleet


def _view(job):
    return RoutingView(job, 0, random.Random(1), 'dc-1', 1)


@pytest.mark.parametrize('name', sorted(routing_policies))
def test_every_policy_chooses_a_candidate(name):
    """A policy returns one of the candidates."""
    candidates = list(_fleet())
    assert routing_policies[name](candidates, _view(make_job())) in candidates


def test_earliest_start_avoids_long_queues_and_prefers_cached_prefixes():
    """Both change the estimated time to the first token."""
    queue = [(0, 5_000_000)]
    fleet = _fleet(
        engine_0={'queued_by_priority': queue},
        engine_1={'queued_by_priority': queue},
    )
    prompt = b'x' * 400_000
    job = make_job(prompt=prompt, tokens=100_000)
    hashes = hash_blocks(prompt, b'small')
    fleet.get('engine-3').prefix.record_event(1, hashes, [], 0)
    choose = routing_policies['earliest-start']
    chosen = {choose(list(fleet), _view(job)).identity for _ in range(20)}
    assert chosen == {'engine-3'}


@pytest.mark.parametrize(
    ('events', 'cached_blocks'),
    [
        ([(1, [7], [])], 1),
        ([(1, [7], []), (2, [], [7])], 0),
        ([(1, [7], []), (3, [8], [])], 0),
        ([(2, [7], []), (1, [], [7])], 1),
    ],
)
def test_prefix_index_handles_evictions_gaps_and_late_events(
    events, cached_blocks
):
    """A gap clears the index; old events and old knowledge are ignored."""
    index = PrefixIndex()
    for sequence, stored, evicted in events:
        index.record_event(sequence, stored, evicted, 0)
    assert index.count_bytes([7], 0) == cached_blocks * 4096
    assert not index.count_bytes([7], 60_000)


@pytest.mark.parametrize(
    ('change', 'remaining'),
    [
        ({}, 4),
        ({'leaving': True}, 3),
        ({'models': {}}, 3),
    ],
)
def test_ineligible_engines_are_no_candidates(change, remaining):
    """An engine that is leaving or lacks the model gets no new work."""
    fleet = _fleet(engine_0=change)
    config = load_config(1, make_config_documents())
    assert len(list_candidates(config, fleet, make_job(), 0)) == remaining


def test_silent_engines_are_no_candidates():
    """An engine with a stale load report gets no new work."""
    config = load_config(1, make_config_documents())
    assert not list_candidates(config, _fleet(), make_job(), 10_000)


def test_long_prompts_use_their_share_of_the_engines():
    """The choice is deterministic, so that all instances agree on it."""
    pool = {
        'name': 'text',
        'kind': 'model',
        'selector': {},
        'models': ['small'],
        'long_share': 0.5,
    }
    service = {'name': 'booking', 'kind': 'service', 'selector': {}}
    config = load_config(1, make_config_documents(pools=[pool, service]))
    job = make_job(tokens=90_000)
    chosen = list_candidates(config, _fleet(), job, 0)
    repeated = list_candidates(config, _fleet(), job, 0)
    ids = [backend.identity for backend in chosen]
    assert len(ids) == 2
    assert ids == [backend.identity for backend in repeated]


def test_breaker_opens_probes_and_closes():
    """An open breaker admits one trial request, whose outcome decides."""
    breaker = Breaker()
    for _ in range(3):
        assert breaker.allows(0)
        breaker.record_failure(0)
    assert not breaker.allows(499)
    assert breaker.allows(500)
    breaker.record_start()
    assert not breaker.allows(500)
    breaker.record_failure(500)
    assert not breaker.allows(1499)
    breaker.record_start()
    breaker.record_success()
    assert breaker.allows(1500)


def test_retry_budget_is_a_fraction_of_successes():
    """Only successes replenish the budget."""
    budget = RetryBudget()
    assert [budget.take() for _ in range(6)].count(True) == 5
    for _ in range(11):
        budget.record_success()
    assert budget.take()
    assert not budget.take()


class _QueuedFlow:
    def __init__(self, number, account, priority=5):
        self.job = make_job(
            request_id=f'r{number}',
            account=account,
            priority=priority,
        )


def test_queue_is_fair_by_weight_and_priority():
    """A heavy account does not delay a light one; priorities come first."""
    queue = FairQueue()
    for number in range(4):
        queue.add(_QueuedFlow(number, 'heavy'), 1)
    queue.add(_QueuedFlow(4, 'light'), 1)
    queue.add(_QueuedFlow(5, 'urgent', priority=1), 1)
    order = []
    while queue:
        flow = queue.peek()
        queue.discard(flow)
        order.append(flow.job.account)
    assert order[0] == 'urgent'
    assert order.index('light') <= 2


def test_plan_keeps_loaded_models():
    """Unchanged demand causes no reloads."""
    pool = Pool(
        {
            'name': 'p',
            'kind': 'model',
            'selector': {},
            'models': ['a', 'b'],
        }
    )
    slots = [
        PoolEngine('e0', ['a']),
        PoolEngine('e1', ['a']),
        PoolEngine('e2', ['b']),
        PoolEngine('e3', ['b']),
    ]
    plan = plan_models(pool, slots, {'a': 10, 'b': 10})
    assert plan == {'e0': 'a', 'e1': 'a', 'e2': 'b', 'e3': 'b'}


def test_plan_follows_demand_and_keeps_the_minimum():
    """A model in demand gets more engines; every model keeps one."""
    pool = Pool(
        {
            'name': 'p',
            'kind': 'model',
            'selector': {},
            'models': ['a', 'b'],
        }
    )
    slots = [PoolEngine(f'e{number}', []) for number in range(8)]
    plan = plan_models(pool, slots, {'a': 90, 'b': 10})
    loaded = list(plan.values())
    assert len(loaded) == 8
    assert loaded.count('a') > loaded.count('b')
    assert loaded.count('b') >= 1


def test_version_rolls_out_in_waves():
    """Most of the pool keeps serving during a rollout."""
    loaded = {f'e{number}': EngineContents({'a': 'v1'}) for number in range(8)}
    wanted = EngineContents({'a': 'v2'})
    waves = 0
    while any(holding != wanted for holding in loaded.values()):
        changing = [
            name for name in loaded if may_change_models(name, loaded, wanted)
        ]
        assert 1 <= len(changing) <= 2
        loaded.update(dict.fromkeys(changing, wanted))
        waves += 1
    assert waves >= 4


def test_engines_without_fencing_get_orders_after_the_lease():
    """A new owner waits for the lease if the engine lacks fencing."""
    ownership = Ownership()
    ownership.update('e0', True, 0)
    assert ownership.may_order('e0', True, 0)
    assert not ownership.may_order('e0', False, 3999)
    assert ownership.may_order('e0', False, 4000)
    ownership.update('e0', False, 4001)
    assert not ownership.may_order('e0', True, 4001)


def _members(count, **changes):
    return [
        Member(f'n{number}', 'b', 1, data_centre=f'dc-{number % 3}', **changes)
        for number in range(count)
    ]


def test_addresses_are_few_local_first_and_stable():
    """Losing an instance affects only the accounts that used it."""
    members = _members(12)
    before = choose_instances(members, 'acc', 3, 'dc-1')
    assert len(before) == 3
    is_local = [member.data_centre == 'dc-1' for member in before]
    assert is_local == sorted(is_local, reverse=True)
    others = [other for other in members if other not in before]
    survivors = [other for other in members if other is not others[0]]
    assert choose_instances(survivors, 'acc', 3, 'dc-1') == before


def test_draining_and_dead_instances_are_not_returned():
    """Neither accepts new requests of an account."""
    members = _members(2)
    members[0].draining = True
    members[1].status = Status.DEAD
    assert not choose_instances(members, 'acc', 3, 'dc-1')


def test_two_readers_in_each_data_centre():
    """Another instance takes over when a reader loses the platform."""
    members = _members(12)
    readers = [
        member for member in members if is_platform_reader(members, member)
    ]
    assert len(readers) == 6
    readers[0].reads_platform = False
    changed = [
        member for member in members if is_platform_reader(members, member)
    ]
    assert len(changed) == 6
    assert readers[0] not in changed


def test_owner_is_local_and_alive():
    """An owner in the engine's data centre is preferred."""
    members = _members(6)
    owner = choose_owner(members, 'engine-0', 'dc-2')
    assert owner in {'n2', 'n5'}
    assert choose_owner([], 'engine-0', 'dc-2') is None
    assert rank_by_hash('key', ['a', 'b']) == rank_by_hash('key', ['b', 'a'])


def test_restarted_engine_loses_its_prefix_cache():
    """A new boot id means that the cache is empty."""
    backend = Backend(make_listed_instance('engine-0'))
    backend.record_load(make_load(0))
    backend.prefix.record_event(1, [7], [], 0)
    backend.record_load(make_load(1, boot='another'))
    assert not backend.prefix.count_bytes([7], 1)
