"""Slopes of the core alone, over fakes, with hundreds of members.

Each function measures one thing at several sizes and returns rows; nothing
here opens a socket.
"""

import random
import time
import tracemalloc
from functools import partial

import orjson

from bench.fake_network import build_network, make_member
from crankchute.core.account_limits import AccountLimits
from crankchute.core.config_holder import ConfigHolder
from crankchute.core.config_loader import load_config
from crankchute.core.dispatcher import Dispatcher, DispatcherPorts
from crankchute.core.fakes import (
    FakeEngines,
    ManualTimers,
    RecordingSink,
    make_config_documents,
    make_job,
    make_listed_instance,
    make_load,
)
from crankchute.core.fleet import Fleet
from crankchute.core.instance_assignment import choose_instances
from crankchute.core.membership import Status
from crankchute.core.replica import ChangeSet, Entry
from crankchute.ports.metrics import Metrics

_ROUNDS = 12
_SHARD = 500
_REPEATS = 200
_REPORTING = 24
_MOST_ROUNDS = 60


def measure_membership(size):
    """Measure rounds at rest, news, and a death.

    Args:
      size: How many nodes.
    Returns:
      A map of figures for one node.
    """
    network = build_network(size)
    started = time.process_time()
    for _ in range(_ROUNDS):
        network.run_round()
    spent = time.process_time() - started
    rest = _ROUNDS * size
    figures = {
        'nodes': size,
        'messages_per_round': round(network.messages / rest, 2),
        'bytes_per_round': round(network.payload / rest),
        'cpu_ms_per_round': round(spent / rest * 1000, 3),
    }
    figures.update(_measure_news(network))
    return figures


def _measure_news(network):
    teller = next(iter(network.nodes))
    network.nodes[teller].update_own(draining=True)
    knows_news = partial(_knows_draining, network, teller)
    news = _count_rounds(network, knows_news)
    network.dead.add(teller)
    knows_loss = partial(_knows_lost, network, teller)
    loss = _count_rounds(network, knows_loss)
    return {'rounds_for_news': news, 'rounds_to_suspect_everywhere': loss}


def measure_config(accounts):
    """Measure taking a configuration, and one change of it.

    Args:
      accounts: How many client accounts.
    Returns:
      A map of figures.
    """
    documents = _make_shards(accounts)
    shard = orjson.loads(documents['accounts/0'])
    changed = orjson.dumps([dict(one, weight=2) for one in shard])
    entries = {key: Entry(1, text) for key, text in documents.items()}
    whole = ChangeSet(0, 1, entries)
    holder = ConfigHolder()
    change = ChangeSet(1, 2, {'accounts/0': Entry(2, changed)})
    return {
        'accounts': accounts,
        'document_kb': round(sum(map(len, documents.values())) / 1000),
        'first_ms': _time_offer(holder, whole),
        'change_ms': _time_offer(holder, change),
        'kept_mb': _trace_holder(whole),
    }


def _time_offer(holder, changes):
    started = time.process_time()
    holder.offer(changes)
    return round((time.process_time() - started) * 1000, 1)


def _trace_holder(changes):
    tracemalloc.start()
    holder = ConfigHolder()
    holder.offer(changes)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(kept / 1_000_000, 1)


def measure_dispatch(engines):
    """Measure admitting and placing a request, with its end.

    Args:
      engines: How many engines the instance list names; 24 of them report.
    Returns:
      A map of figures.
    """
    dispatcher, fakes, clock = _make_dispatcher(engines)
    started = time.process_time()
    for number in range(_REPEATS):
        job = make_job(request_id=f'r{number}', max_tokens=1)
        dispatcher.submit(job, RecordingSink(job, clock))
        generation = fakes.generating.pop()
        generation.send('next')
        generation.send('end')
    spent = time.process_time() - started
    return {
        'engines_listed': engines,
        'cpu_ms_per_request': round(spent / _REPEATS * 1000, 3),
    }


def _make_dispatcher(engines):
    timers = ManualTimers()
    fleet = Fleet()
    fleet.replace(
        [make_listed_instance(f'engine-{one}') for one in range(engines)]
    )
    ports = DispatcherPorts(
        engines=FakeEngines(),
        timers=timers,
        random=random.Random(1),
        metrics=Metrics(),
    )
    limits = AccountLimits(timers.clock)
    dispatcher = Dispatcher(ports, fleet, limits, 'dc-1')
    dispatcher.config = load_config(1, make_config_documents())
    for backend in list(fleet)[:_REPORTING]:
        fleet.record_load(backend, make_load(0))
    return dispatcher, ports.engines, timers.clock


def measure_addresses(size):
    """Measure an address answer among a number of instances."""
    members = [make_member(index) for index in range(size)]
    started = time.process_time()
    for number in range(_REPEATS):
        choose_instances(members, f'account-{number}', 3, 'dc-0')
    spent = time.process_time() - started
    return {
        'nodes': size,
        'cpu_ms_per_answer': round(spent / _REPEATS * 1000, 3),
    }


def measure_limits(accounts):
    """Measure the memory of the records of accounts in use."""
    config = load_config(1, _make_shards(accounts))
    limits = AccountLimits(ManualTimers().clock)
    tracemalloc.start()
    for account in config.accounts.values():
        limits.usage_of(account).admit(1000, 0)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        'accounts': accounts,
        'bytes_per_account': round(kept / accounts),
    }


def _make_shards(accounts):
    documents = make_config_documents()
    documents.pop('accounts')
    for start in range(0, accounts, _SHARD):
        names = range(start, min(start + _SHARD, accounts))
        shard = [
            {
                'name': f'acc-{number}',
                'labels': {'desk': 'counter', 'region': f'r{number % 3}'},
                'width': 3,
                'max_in_progress': 50,
                'tokens_per_second': 100_000,
            }
            for number in names
        ]
        documents[f'accounts/{start // _SHARD}'] = orjson.dumps(shard)
    return documents


def _count_rounds(network, is_known):
    rounds = 0
    while not is_known() and rounds < _MOST_ROUNDS:
        network.run_round()
        rounds += 1
    return rounds


def _knows_draining(network, teller):
    return all(node.get(teller).draining for node in network.nodes.values())


def _knows_lost(network, teller):
    return all(
        node.get(teller) is None or node.get(teller).status != Status.ALIVE
        for name, node in network.nodes.items()
        if name not in network.dead
    )
