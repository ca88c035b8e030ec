"""Parses the command line and runs the command."""

import argparse
import os
import sys

from crankchute.commands import (
    call,
    check,
    dump_state,
    entry,
    explain,
    load_run,
    losses,
    standin,
)
from crankchute.errors import FindingsError

EXIT_INVALID_INPUT = 2
_COMMAND_MODULES = (
    entry,
    call,
    check,
    dump_state,
    explain,
    losses,
    load_run,
    standin,
)


def create_parser():
    """Create the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog='crankchute',
        description='A proxy that serves prompts of any length.',
    )
    subparsers = parser.add_subparsers(
        dest='command',
        required=True,
        metavar='COMMAND',
    )
    for module in _COMMAND_MODULES:
        module.add_parser(subparsers)
    return parser


def main(arguments=None):
    """Run a command.

    Args:
      arguments: The command-line arguments; None for `sys.argv[1:]`.
    Returns:
      The exit code: 0 for success, 1 if a call or a process failed, 2 if the
      input is invalid.
    """
    flags = create_parser().parse_args(arguments)
    try:
        return flags.run(flags, os.environ)
    except FindingsError as exc:
        for finding in exc.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_INVALID_INPUT


if __name__ == '__main__':
    sys.exit(main())
