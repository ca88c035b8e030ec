"""Runs one seed of a soak."""

import asyncio
import random
import shutil

import orjson

from bench.soak import disturbances  # noqa: F401  (registers them)
from bench.soak.clients import Client
from bench.soak.config import Config
from bench.soak.fleet import Fleet
from bench.soak.plan import Plan
from bench.soak.verdict import judge

#: For how many times their time to live clients use addresses; None is until
#: the process is gone.
_TTL_FACTORS = (1, 1, 3, None, None, None)
_SEED_BITS = 32
_READY_POLL_S = 0.1


class SoakOptions:
    """What a soak runs, and for how long.

    Attributes:
      seconds: For how long clients send requests.
      pause_s: The mean pause between two disturbances, in seconds.
      clients, instances: Their numbers.
      servers: The number of servers in each pool.
      code: The directory of the code that instances run, a Path.
      out: The directory of logs and records, a Path; those of a seed without
        a violation are removed.
      without: Names of disturbances to leave out, or `late_answers`.
    """

    __slots__ = (
        'clients',
        'code',
        'instances',
        'out',
        'pause_s',
        'seconds',
        'servers',
        'without',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


def run_seed(seed, options):
    """Run a seed.

    Args:
      seed: An int.
      options: SoakOptions.
    Returns:
      A tuple: texts of violations, and a Counter of outcomes.
    """
    out_dir = options.out / f'seed-{seed}'
    shutil.rmtree(out_dir, ignore_errors=True)
    out_dir.mkdir(parents=True)
    rng = random.Random(seed)
    with Fleet(out_dir, options, rng) as fleet:
        plan = Plan(fleet, Config(rng), rng, options.without)
        attempts = asyncio.run(_soak(plan, options))
    violations, outcomes = judge(attempts, fleet.read_records(), plan)
    if violations:
        _write_lines(out_dir / 'violations.txt', violations)
        log = [orjson.dumps(event).decode() for event in plan.log]
        _write_lines(out_dir / 'plan.jsonl', log)
    else:
        shutil.rmtree(out_dir)
    return violations, outcomes


async def _soak(plan, options):
    """Return the Attempts of all clients."""
    plan.fleet.start(plan.config)
    await asyncio.gather(*map(_wait_until_ready, plan.fleet.instances))
    clients = [_make_client(plan) for _ in range(options.clients)]
    plan.note('begin')
    await asyncio.gather(
        plan.run(options.seconds, options.pause_s),
        *(client.run(options.seconds) for client in clients),
    )
    return [attempt for client in clients for attempt in client.attempts]


async def _wait_until_ready(instance):
    while not await instance.is_ready():
        await asyncio.sleep(_READY_POLL_S)


def _make_client(plan):
    own_random = random.Random(plan.random.getrandbits(_SEED_BITS))
    ttl_factor = plan.random.choice(_TTL_FACTORS)
    return Client(plan.fleet, plan.config, own_random, ttl_factor)


def _write_lines(path, lines):
    path.write_text(''.join(f'{line}\n' for line in lines))
