"""`make faults`: storms on real processes, with a line for each promise."""

import argparse
import sys
import tempfile
import time

from bench.cluster import Cluster
from bench.scenarios import changes, ending, once
from bench.scenarios.base import Verdict, scenarios, shape_of


#: Importing these modules fills the registry.
MODULES = (ending, once, changes)


def run_scenario(name, rounds):
    """Run one scenario on a cluster of its own.

    Args:
      name: The scenario's name.
      rounds: How often or how long it runs, an int.
    Returns:
      A Verdict.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(shape_of(name), folder) as cluster:
            try:
                return scenarios[name](cluster, rounds)
            except TimeoutError as exc:
                return Verdict([f'what must come did not: {exc}'], 'stopped')


def report(name, rounds):
    """Run one scenario and print what it found.

    Args:
      name: The scenario's name.
      rounds: See run_scenario.
    Returns:
      True if the promise held.
    """
    started = time.monotonic()
    verdict = run_scenario(name, rounds)
    elapsed = time.monotonic() - started
    faults = verdict.broken + verdict.late
    word = 'broken' if faults else 'held'
    print(f'{word:7} {name}: {verdict.figure} ({elapsed:.0f} s)', flush=True)
    for sentence in sorted(set(faults)):
        print(f'        {sentence}', flush=True)
    return not faults


def main():
    """Run the scenarios that are named, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=2)
    parser.add_argument('names', nargs='*', help='parts of scenario names')
    flags = parser.parse_args()
    chosen = [
        name
        for name in scenarios
        if not flags.names or any(part in name for part in flags.names)
    ]
    held = [report(name, flags.rounds) for name in chosen]
    return 0 if all(held) else 1


if __name__ == '__main__':
    sys.exit(main())
