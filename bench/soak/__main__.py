"""Soaks real instances: `python -m bench.soak --seed 7 --seconds 30`."""

import argparse
import asyncio
import random
import shutil
import signal
import sys
from pathlib import Path

import orjson

from bench.soak.clients import Client
from bench.soak.fleet import ROOT, Fleet
from bench.soak.plan import Config, Plan
from bench.soak.verdict import judge

_TTL_FACTORS = (1, 1, 3, None, None, None)


def run_seed(seed, options):
    """Run a seed.

    Args:
      seed: An int.
      options: The parsed command-line arguments.
    Returns:
      A tuple: texts of violations, and a Counter of outcomes.
    """
    out_dir = Path(options.out).resolve() / f'seed-{seed}'
    shutil.rmtree(out_dir, ignore_errors=True)
    out_dir.mkdir(parents=True)
    rng = random.Random(seed)
    count = options.instances or rng.choice((3, 4, 5))
    sizes = (count, rng.choice((3, 5)))
    fleet = Fleet(out_dir, Path(options.code).resolve(), sizes, rng)
    try:
        violations, outcomes = asyncio.run(_soak(fleet, rng, options))
    finally:
        fleet.stop()
    (out_dir / 'violations.txt').write_text('\n'.join(violations))
    if not violations and not options.keep:
        shutil.rmtree(out_dir)
    return violations, outcomes


async def _soak(fleet, rng, options):
    config = Config()
    without = options.without.split(',')
    fleet.sends_late_answers = 'late_answers' not in without
    plan = Plan(fleet, config, rng, without)
    await asyncio.sleep(0.5)
    fleet.start(config.document)
    for instance in fleet.instances:
        while not await instance.is_ready():
            await asyncio.sleep(0.1)
    clients = [
        Client(
            fleet,
            config,
            random.Random(rng.randrange(1 << 32)),
            rng.choice(_TTL_FACTORS),
        )
        for _ in range(options.clients)
    ]
    plan.note('begin')
    tasks = [client.run(options.seconds) for client in clients]
    await asyncio.gather(plan.run(options.seconds, options.pause), *tasks)
    attempts = [one for client in clients for one in client.attempts]
    _write_plan(fleet, plan)
    return judge(attempts, fleet.read_records(), plan)


def _write_plan(fleet, plan):
    lines = [orjson.dumps(event) for event in plan.log]
    (fleet.store.record_path.parent / 'plan.jsonl').write_bytes(
        b'\n'.join(lines)
    )


def main():
    """Run the seeds that the command line names.

    Returns:
      The exit code: 1 if a seed has a violation.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', help='a range such as 1-50')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--clients', type=int, default=40)
    parser.add_argument('--instances', type=int)
    parser.add_argument('--pause', type=float, default=0.6)
    parser.add_argument('--code', default=ROOT)
    parser.add_argument('--out', default=ROOT / 'out' / 'soak')
    parser.add_argument('--keep', action='store_true')
    parser.add_argument('--without', default='')
    options = parser.parse_args()
    first, last = options.seed, options.seed
    if options.seeds:
        first, last = map(int, options.seeds.split('-'))
    # Lets the processes be stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(first, last + 1):
        violations, outcomes = run_seed(seed, options)
        failed += bool(violations)
        print(f'seed={seed} violations={len(violations)} {dict(outcomes)}')
        for line in violations:
            print(f'seed={seed} {line}')
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
