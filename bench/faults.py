"""`make faults`: runs the fault-injection scenarios on real processes.

Prints one line for each scenario, and the violations that it found.
"""

import argparse
import sys
import tempfile
import time

from bench.cluster import Cluster
from bench.scenarios import changes, ending, once
from bench.scenarios.base import Verdict, scenarios, shape_of


#: The modules that register scenarios when they are imported.
MODULES = (ending, once, changes)


def run_scenario(name, rounds):
    """Run a scenario on a new cluster.

    Args:
      name: The scenario's name.
      rounds: Scales the load or the number of repetitions, an int.
    Returns:
      A Verdict.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(shape_of(name), folder) as cluster:
            try:
                return scenarios[name](cluster, rounds)
            except TimeoutError as exc:
                return Verdict([f'timed out: {exc}'], 'stopped')


def report(name, rounds):
    """Run a scenario and print its result.

    Args:
      name: The scenario's name.
      rounds: See run_scenario.
    Returns:
      True if no violation was found.
    """
    started = time.monotonic()
    verdict = run_scenario(name, rounds)
    elapsed = time.monotonic() - started
    violations = verdict.broken + verdict.late
    status = 'broken' if violations else 'held'
    print(f'{status:7} {name}: {verdict.figure} ({elapsed:.0f} s)', flush=True)
    for violation in sorted(set(violations)):
        print(f'        {violation}', flush=True)
    return not violations


def main():
    """Run the scenarios that match the arguments, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=2)
    parser.add_argument('names', nargs='*', help='parts of scenario names')
    args = parser.parse_args()
    chosen = [
        name
        for name in scenarios
        if not args.names or any(part in name for part in args.names)
    ]
    passed = [report(name, args.rounds) for name in chosen]
    return 0 if all(passed) else 1


if __name__ == '__main__':
    sys.exit(main())
