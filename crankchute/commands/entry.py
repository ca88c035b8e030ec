"""`crankchute entry`: run an entry instance."""

from crankchute.daemons.entry import SETTINGS, run_entry
from crankchute.settings import add_flags, read_settings


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser('entry', help='run an entry instance')
    add_flags(parser, SETTINGS)
    parser.set_defaults(run=run)


def run(flags, environ):
    """Run the command and return its exit code."""
    return run_entry(read_settings(SETTINGS, flags, environ))
