"""Soaks real instances; for example `python -m bench.soak --seeds 1-50`."""

import argparse
import signal
import sys
from pathlib import Path

from bench.soak.processes import ROOT
from bench.soak.run import SoakOptions, run_seed


def _parse_seeds(text):
    first, _dash, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def _parse_names(text):
    return text.split(',')


def _parse_path(text):
    return Path(text).resolve()


_OPTIONS = (
    ('--seeds', _parse_seeds, '1', 'a seed, or a range such as 1-50'),
    ('--seconds', float, 20, 'for how long clients send requests'),
    ('--pause-s', float, 0.6, 'mean pause between two disturbances'),
    ('--clients', int, 50, 'number of clients'),
    ('--instances', int, 5, 'number of instances'),
    ('--servers', int, 4, 'number of servers in each pool'),
    ('--code', _parse_path, ROOT, 'directory of the code that instances run'),
    ('--out', _parse_path, ROOT / 'out' / 'soak', 'directory of the logs'),
    ('--without', _parse_names, '', 'disturbances to leave out'),
)


def main():
    """Run the seeds that the command line names.

    Returns:
      The exit code: 1 if a seed has a violation.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    for name, read, default, text in _OPTIONS:
        parser.add_argument(name, type=read, default=default, help=text)
    fields = vars(parser.parse_args())  # noqa: WPS421  (as a map)
    # Ends the processes of the run as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seeds = fields.pop('seeds')
    options = SoakOptions(**fields)
    is_sound = True
    for seed in seeds:
        violations, outcomes = run_seed(seed, options)
        is_sound = is_sound and not violations
        print(f'seed={seed} violations={len(violations)} {dict(outcomes)}')
        for line in violations:
            print(f'seed={seed} {line}')
        sys.stdout.flush()
    return 0 if is_sound else 1


if __name__ == '__main__':
    sys.exit(main())
