"""Compares routing policies on the engine stand-ins: `make bench`.

All policies get the same load and seeds.  Engines and dispatchers run in
virtual time in one process, so runs are deterministic.
"""

import argparse
import multiprocessing
import sys
from pathlib import Path
from statistics import mean

import orjson

from bench.trial import (
    DEFAULT_POLICY,
    ENGINE_COUNT,
    EXACT,
    SHORT,
    Trial,
    run_trial,
)
from crankchute.core.job import length_bands
from crankchute.core.policies import routing_policies

_MILLION = 1_000_000
_LOADS = (0.5, 0.8, 1.0, 1.5)
#: The compared measures, and whether less (1) or more (-1) is better.
_MEASURES = (
    ('mean', 1),
    ('slowdown', 1),
    ('short_p95', 1),
    ('good_tokens', -1),
)


def compare(loads, seeds, prefixes=0):
    """Run every policy at every load with every seed.

    Args:
      loads: Pairs of a load and the number of engines that fail.
      seeds: A list of ints.
      prefixes: See Trial.
    Returns:
      A list of rows with means over the seeds.
    """
    configurations = _list_configurations(loads)
    trials = [
        trial
        for configuration in configurations
        for trial in _list_trials(configuration, seeds, prefixes)
    ]
    with multiprocessing.Pool() as pool:
        summaries = pool.map(run_trial, trials, chunksize=1)
    width = 2 * len(seeds)
    starts = range(0, len(summaries), width)
    return [
        make_row(configuration, summaries[start : start + width])
        for configuration, start in zip(configurations, starts)
    ]


def _list_configurations(loads):
    return [
        (name, load, failed)
        for load, failed in loads
        for name in (*routing_policies, EXACT)
    ]


def _list_trials(configuration, seeds, prefixes):
    for seed in seeds:
        for only_short in (False, True):
            name, load, failed = configuration
            yield Trial(
                name,
                load,
                seed,
                failed,
                only_short=only_short,
                prefixes=prefixes,
            )


def make_row(configuration, summaries):
    """Return the means of one policy at one load.

    Args:
      configuration: A tuple of the policy, the load, and the number of failed
        engines.
      summaries: The results of run_trial; for each seed those of the whole mix,
        then those of the short prompts alone.
    """
    mixed = summaries[::2]
    slowdowns = _compute_slowdowns(summaries)
    return {
        **dict(zip(('policy', 'load', 'lost'), configuration)),
        **_compute_band_means(mixed),
        'slowdown': round(mean(slowdowns), 2),
        'mean': round(mean(one['mean'] for one in mixed)),
        'good %': round(mean(one['good_share'] for one in mixed) * 100, 1),
        'good Mtok': _mean_in_millions(one['good_tokens'] for one in mixed),
        'seeds': {
            'mean': [one['mean'] for one in mixed],
            'slowdown': slowdowns,
            'good_tokens': [one['good_tokens'] for one in mixed],
            'short_p95': [one['first'][SHORT]['p95'] for one in mixed],
        },
    }


def count_wins(rows, chosen, measure, sign):
    """Count the seeds for which a policy beats each of the others.

    Args:
      rows: The rows of one load.
      chosen: The policy's name.
      measure: A key of a row's `seeds`.
      sign: 1 if less is better, -1 if more is better.
    Returns:
      A map from the names of the other policies to numbers of seeds.
    """
    by_name = {row['policy']: row['seeds'][measure] for row in rows}
    chosen_samples = by_name.pop(chosen)
    return {
        name: _count_better(chosen_samples, other_samples, sign)
        for name, other_samples in by_name.items()
    }


def _count_better(chosen_samples, other_samples, sign):
    gains = [
        sign * (other - own)
        for own, other in zip(chosen_samples, other_samples)
    ]
    return len([gain for gain in gains if gain > 0])


def _mean_in_millions(counts):
    return round(mean(counts) / _MILLION, 1)


def _compute_band_means(mixed):
    return {
        f'{band} {percentile}': _mean_over_runs(mixed, band, percentile)
        for band in length_bands()
        for percentile in ('p50', 'p95', 'p99')
    }


def main():
    """Run the comparison and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--prefixes', type=int, default=0)
    parser.add_argument('--loads', help='loads, separated by commas')
    parser.add_argument('--json', type=Path, help='file for all results')
    flags = parser.parse_args()
    loads = _read_loads(flags.loads)
    seeds = list(range(1, flags.seeds + 1))
    rows = compare(loads, seeds, flags.prefixes)
    _print_rows(rows)
    for load, failed in loads:
        _print_wins(rows, load, failed)
    if flags.json:
        flags.json.write_bytes(orjson.dumps(rows))
    return 0


def _read_loads(text):
    if text:
        return [(float(load), 0) for load in text.split(',')]
    return [*((load, 0) for load in _LOADS), (_LOADS[0], ENGINE_COUNT // 3)]


def _print_rows(rows):
    names = [name for name in rows[0] if name != 'seeds']
    print(' | '.join(names))
    for row in rows:
        print(' | '.join(str(row[name]) for name in names))


def _print_wins(rows, load, failed):
    selected = [one for one in rows if one['load'] == load]
    selected = [one for one in selected if one['lost'] == failed]
    for measure, sign in _MEASURES:
        wins = count_wins(selected, DEFAULT_POLICY, measure, sign)
        print(f'{DEFAULT_POLICY} at {load}, {failed} lost, {measure}: {wins}')


def _mean_over_runs(summaries, band, percentile):
    latencies = [
        one['first'][band][percentile]
        for one in summaries
        if percentile in one['first'][band]
    ]
    return round(mean(latencies)) if latencies else None


def _compute_slowdowns(summaries):
    pairs = zip(summaries[::2], summaries[1::2])
    return [
        mixed['first'][SHORT]['p95'] / short_only['first'][SHORT]['p95']
        for mixed, short_only in pairs
    ]


if __name__ == '__main__':
    sys.exit(main())
