"""`make bench`: compares routing policies on the engine stand-ins.

One seed and load for all policies of a row; engines and dispatchers run in
one process and in virtual time, so a run is the same on every machine.
"""

import argparse
import multiprocessing
import sys
from pathlib import Path
from statistics import mean

import orjson

from bench.trial import CHOSEN, ENGINES, EXACT, SHORT, Trial, run_trial
from crankchute.core.job import length_bands
from crankchute.core.policies import routing_policies

_MILLION = 1_000_000
_LOADS = (0.5, 0.8, 1.0, 1.5)
#: Measures of a run, and whether less (1) or more (-1) is better.
_MEASURES = (
    ('mean', 1),
    ('slowdown', 1),
    ('short_p95', 1),
    ('good_tokens', -1),
)


def compare(loads, seeds, prefixes=0):
    """Run every policy at every load with every seed.

    Args:
      loads: Pairs of load and engines lost.
      seeds: A list of ints.
      prefixes: See Trial.
    Returns:
      A list of rows, means over the seeds.
    """
    keys = _list_keys(loads)
    trials = [
        trial for key in keys for trial in _list_trials(key, seeds, prefixes)
    ]
    with multiprocessing.Pool() as pool:
        ends = pool.map(run_trial, trials, chunksize=1)
    width = 2 * len(seeds)
    starts = range(0, len(ends), width)
    return [
        make_row(key, ends[start : start + width])
        for key, start in zip(keys, starts)
    ]


def _list_keys(loads):
    return [
        (name, load, lost)
        for load, lost in loads
        for name in (*routing_policies, EXACT)
    ]


def _list_trials(key, seeds, prefixes):
    for seed in seeds:
        for only_short in (False, True):
            name, load, lost = key
            yield Trial(
                name,
                load,
                seed,
                lost,
                only_short=only_short,
                prefixes=prefixes,
            )


def make_row(key, ends):
    """Return the means of one policy at one load.

    Args:
      key: A tuple of the policy's name, the load, and the engines lost.
      ends: What run_trial returned: for each seed the whole mix, then the
        short prompts alone.
    """
    shared = ends[::2]
    slowdowns = _slowdowns(ends)
    return {
        **dict(zip(('policy', 'load', 'lost'), key)),
        **_band_means(shared),
        'slowdown': round(mean(slowdowns), 2),
        'mean': round(mean(one['mean'] for one in shared)),
        'good %': round(mean(one['good_share'] for one in shared) * 100, 1),
        'good Mtok': _millions(one['good_tokens'] for one in shared),
        'seeds': {
            'mean': [one['mean'] for one in shared],
            'slowdown': slowdowns,
            'good_tokens': [one['good_tokens'] for one in shared],
            'short_p95': [one['first'][SHORT]['p95'] for one in shared],
        },
    }


def count_wins(rows, chosen, measure, sign):
    """Count the seeds in which a policy beats each other one.

    Args:
      rows: Rows of one load.
      chosen: The policy's name.
      measure: A key of a row's `seeds`.
      sign: 1 if less is better, -1 if more is.
    Returns:
      A map from the other policies' names to numbers of seeds.
    """
    by_name = {row['policy']: row['seeds'][measure] for row in rows}
    mine = by_name.pop(chosen)
    return {
        name: _count_better(mine, theirs, sign)
        for name, theirs in by_name.items()
    }


def _count_better(mine, theirs, sign):
    gains = [sign * (other - own) for own, other in zip(mine, theirs)]
    return len([gain for gain in gains if gain > 0])


def _millions(counts):
    return round(mean(counts) / _MILLION, 1)


def _band_means(shared):
    return {
        f'{band} {part}': _mean_of(shared, band, part)
        for band in length_bands()
        for part in ('p50', 'p95', 'p99')
    }


def main():
    """Run the comparison and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--prefixes', type=int, default=0)
    parser.add_argument('--loads', help='loads, separated by commas')
    parser.add_argument('--json', type=Path, help='file for all figures')
    flags = parser.parse_args()
    loads = _read_loads(flags.loads)
    seeds = list(range(1, flags.seeds + 1))
    rows = compare(loads, seeds, flags.prefixes)
    _print_rows(rows)
    for load, lost in loads:
        _print_wins(rows, load, lost)
    if flags.json:
        flags.json.write_bytes(orjson.dumps(rows))
    return 0


def _read_loads(text):
    if text:
        return [(float(load), 0) for load in text.split(',')]
    return [*((load, 0) for load in _LOADS), (_LOADS[0], ENGINES // 3)]


def _print_rows(rows):
    names = [name for name in rows[0] if name != 'seeds']
    print(' | '.join(names))
    for row in rows:
        print(' | '.join(str(row[name]) for name in names))


def _print_wins(rows, load, lost):
    same = [one for one in rows if one['load'] == load]
    same = [one for one in same if one['lost'] == lost]
    for measure, sign in _MEASURES:
        wins = count_wins(same, CHOSEN, measure, sign)
        print(f'{CHOSEN} at {load}, {lost} lost, {measure}: {wins}')


def _mean_of(ends, band, part):
    found = [
        one['first'][band][part] for one in ends if part in one['first'][band]
    ]
    return round(mean(found)) if found else None


def _slowdowns(ends):
    pairs = zip(ends[::2], ends[1::2])
    return [
        shared['first'][SHORT]['p95'] / alone['first'][SHORT]['p95']
        for shared, alone in pairs
    ]


if __name__ == '__main__':
    sys.exit(main())
