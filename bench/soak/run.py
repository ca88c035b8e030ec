"""Runs one seed of a soak."""

import argparse
import asyncio
import random
import shutil
from collections import Counter
from pathlib import Path

import orjson

from bench.soak import disturbances, store_disturbances  # noqa: F401
from bench.soak.config import Config
from bench.soak.fleet import Fleet
from bench.soak.plan import Plan
from bench.soak.processes import ROOT
from bench.soak.verdict import find_violations, make_cases

_READY_POLL_S = 0.1


def _parse_seeds(text):
    first, _dash, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def _parse_path(text):
    return Path(text).resolve()


_OPTIONS = (
    ('seeds', _parse_seeds, '1', 'a seed, or a range such as 1-50'),
    ('seconds', float, 20, 'for how long clients send requests'),
    ('pause-s', float, 0.6, 'mean pause between two disturbances'),
    ('clients', int, 50, 'number of clients'),
    ('instances', int, 5, 'number of instances'),
    ('servers', int, 4, 'number of servers in each pool'),
    ('code', _parse_path, ROOT, 'directory of the code that instances run'),
    ('out', _parse_path, ROOT / 'out' / 'soak', 'directory of the logs'),
    ('without', str, '', 'disturbances to leave out; late_answers is another'),
)


def parse_options(arguments=None):
    """Parse the command line.

    Args:
      arguments: A list of strings; by default those of the process.
    Returns:
      An object with an attribute for each option.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    for name, read, default, text in _OPTIONS:
        parser.add_argument(f'--{name}', type=read, default=default, help=text)
    parser.add_argument('--keep', action='store_true', help='keep all logs')
    return parser.parse_args(arguments)


def run_seed(seed, options):
    """Run a seed.

    Args:
      seed: An int.
      options: What parse_options returned.
    Returns:
      A tuple: texts of violations, and a Counter of outcomes.
    """
    out_dir = options.out / f'seed-{seed}'
    shutil.rmtree(out_dir, ignore_errors=True)
    out_dir.mkdir(parents=True)
    rng = random.Random(seed)
    fleet = Fleet(out_dir, options, rng)
    plan = Plan(fleet, Config(rng), rng, options.without)
    with fleet:
        attempts = asyncio.run(_soak(plan, options))
    cases = make_cases(attempts, fleet.read_records(), plan)
    violations = find_violations(cases) + fleet.list_over_memory()
    if violations or options.keep:
        _write_lines(out_dir / 'violations.txt', violations)
        _write_lines(out_dir / 'cases.txt', map(str, cases))
        log = [orjson.dumps(event).decode() for event in plan.log]
        _write_lines(out_dir / 'plan.jsonl', log)
    else:
        shutil.rmtree(out_dir)
    return violations, Counter(case.outcome for case in cases)


async def _soak(plan, options):
    """Return the Attempts of all clients."""
    plan.fleet.start(plan.config)
    await asyncio.gather(*map(_wait_until_ready, plan.fleet.instances))
    clients = [plan.make_client() for _ in range(options.clients)]
    plan.note('begin')
    watching = asyncio.create_task(plan.fleet.watch_memory())
    await asyncio.gather(
        plan.run(options.seconds, options.pause_s),
        *(client.run(options.seconds) for client in clients),
    )
    watching.cancel()
    return [attempt for client in plan.clients for attempt in client.attempts]


async def _wait_until_ready(instance):
    while not await instance.is_ready():
        await asyncio.sleep(_READY_POLL_S)


def _write_lines(path, lines):
    path.write_text(''.join(f'{line}\n' for line in lines))
