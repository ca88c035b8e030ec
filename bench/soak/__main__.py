"""Soaks real instances; for example `python -m bench.soak --seeds 1-50`."""

import signal
import sys

from bench.soak.run import parse_options, run_seed


def main():
    """Run the seeds that the command line names.

    Returns:
      The exit code: 1 if a seed has a violation.
    """
    # Ends the processes of the run as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    options = parse_options()
    is_sound = True
    for seed in options.seeds:
        violations, outcomes = run_seed(seed, options)
        is_sound = is_sound and not violations
        print(f'seed={seed} violations={len(violations)} {dict(outcomes)}')
        for line in violations:
            print(f'seed={seed} {line}')
        sys.stdout.flush()
    return 0 if is_sound else 1


if __name__ == '__main__':
    sys.exit(main())
