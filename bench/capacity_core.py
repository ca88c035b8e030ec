"""Microbenchmarks of the core on fake ports, in one process.

Each function measures one operation at a given size and returns a table row.
No sockets are opened.
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

_IDLE_ROUNDS = 12
_ACCOUNTS_PER_SHARD = 500
_REPEATS = 200
_REPORTING_ENGINES = 24
_MAX_ROUNDS = 60


def measure_membership(size):
    """Measure idle gossip rounds, and how fast changes propagate.

    Args:
      size: The number of nodes.
    Returns:
      A dict from column name to value, per node where it applies.
    """
    network = build_network(size)
    started = time.process_time()
    for _ in range(_IDLE_ROUNDS):
        network.run_round()
    cpu_s = time.process_time() - started
    node_rounds = _IDLE_ROUNDS * size
    figures = {
        'nodes': size,
        'messages_per_round': round(network.messages / node_rounds, 2),
        'bytes_per_round': round(network.payload_bytes / node_rounds),
        'cpu_ms_per_round': round(cpu_s / node_rounds * 1000, 3),
    }
    figures.update(_measure_propagation(network))
    return figures


def _measure_propagation(network):
    source = next(iter(network.nodes))
    network.nodes[source].update_own(draining=True)
    is_update_known = partial(_is_draining_known, network, source)
    update_rounds = _count_rounds(network, is_update_known)
    network.dead.add(source)
    is_failure_known = partial(_is_failure_known, network, source)
    failure_rounds = _count_rounds(network, is_failure_known)
    return {
        'rounds_for_news': update_rounds,
        'rounds_to_suspect_everywhere': failure_rounds,
    }


def measure_config(accounts):
    """Measure loading a configuration and applying one change.

    Args:
      accounts: The number of client accounts.
    Returns:
      A dict from column name to value.
    """
    documents = _make_shards(accounts)
    shard = orjson.loads(documents['accounts/0'])
    changed = orjson.dumps([dict(account, weight=2) for account in shard])
    entries = {key: Entry(1, text) for key, text in documents.items()}
    snapshot = ChangeSet(0, 1, entries)
    holder = ConfigHolder()
    change = ChangeSet(1, 2, {'accounts/0': Entry(2, changed)})
    return {
        'accounts': accounts,
        'document_kb': round(sum(map(len, documents.values())) / 1000),
        'first_ms': _measure_offer_ms(holder, snapshot),
        'change_ms': _measure_offer_ms(holder, change),
        'kept_mb': _measure_holder_mb(snapshot),
    }


def _measure_offer_ms(holder, changes):
    started = time.process_time()
    holder.offer(changes)
    return round((time.process_time() - started) * 1000, 1)


def _measure_holder_mb(changes):
    tracemalloc.start()
    holder = ConfigHolder()
    holder.offer(changes)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(allocated / 1_000_000, 1)


def measure_dispatch(engines):
    """Measure admitting, dispatching and completing a request.

    Args:
      engines: The number of engines in the instance list; only the first
        few report their load.
    Returns:
      A dict from column name to value.
    """
    dispatcher, engine_port, clock = _make_dispatcher(engines)
    started = time.process_time()
    for number in range(_REPEATS):
        job = make_job(request_id=f'r{number}', max_tokens=1)
        dispatcher.submit(job, RecordingSink(job, clock))
        generation = engine_port.generating.pop()
        generation.send('next')
        generation.send('end')
    cpu_s = time.process_time() - started
    return {
        'engines_listed': engines,
        'cpu_ms_per_request': round(cpu_s / _REPEATS * 1000, 3),
    }


def _make_dispatcher(engines):
    timers = ManualTimers()
    fleet = Fleet()
    fleet.replace(
        [make_listed_instance(f'engine-{number}') for number in range(engines)]
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
    for backend in list(fleet)[:_REPORTING_ENGINES]:
        fleet.record_load(backend, make_load(0))
    return dispatcher, ports.engines, timers.clock


def measure_addresses(size):
    """Measure choosing the addresses that a client gets.

    Args:
      size: The number of instances to choose from.
    Returns:
      A dict from column name to value.
    """
    members = [make_member(index) for index in range(size)]
    started = time.process_time()
    for number in range(_REPEATS):
        choose_instances(members, f'account-{number}', 3, 'dc-0')
    cpu_s = time.process_time() - started
    return {
        'nodes': size,
        'cpu_ms_per_answer': round(cpu_s / _REPEATS * 1000, 3),
    }


def measure_limits(accounts):
    """Measure the memory of the usage records of active accounts.

    Args:
      accounts: The number of client accounts.
    Returns:
      A dict from column name to value.
    """
    config = load_config(1, _make_shards(accounts))
    limits = AccountLimits(ManualTimers().clock)
    tracemalloc.start()
    for account in config.accounts.values():
        limits.usage_of(account).admit(1000, 0)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        'accounts': accounts,
        'bytes_per_account': round(allocated / accounts),
    }


def _make_shards(accounts):
    documents = make_config_documents()
    documents.pop('accounts')
    for start in range(0, accounts, _ACCOUNTS_PER_SHARD):
        names = range(start, min(start + _ACCOUNTS_PER_SHARD, accounts))
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
        documents[f'accounts/{start // _ACCOUNTS_PER_SHARD}'] = orjson.dumps(
            shard
        )
    return documents


def _count_rounds(network, is_done):
    rounds = 0
    while not is_done() and rounds < _MAX_ROUNDS:
        network.run_round()
        rounds += 1
    return rounds


def _is_draining_known(network, source):
    return all(node.get(source).draining for node in network.nodes.values())


def _is_failure_known(network, source):
    return all(
        node.get(source) is None or node.get(source).status != Status.ALIVE
        for name, node in network.nodes.items()
        if name not in network.dead
    )
