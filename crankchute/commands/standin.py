"""`crankchute standin`: run a stand-in of an outside system."""

from crankchute.daemons.standin import (
    ENGINE_SETTINGS,
    PLATFORM_SETTINGS,
    SERVICE_SETTINGS,
    run_engine,
    run_platform,
    run_service,
)
from crankchute.settings import add_flags, read_settings

_KINDS = (
    ('platform', PLATFORM_SETTINGS, run_platform),
    ('engine', ENGINE_SETTINGS, run_engine),
    ('service', SERVICE_SETTINGS, run_service),
)


def add_parser(subparsers):
    """Add the command's parser."""
    parser = subparsers.add_parser(
        'standin',
        help='run a stand-in of an outside system',
    )
    kinds = parser.add_subparsers(dest='kind', required=True, metavar='KIND')
    for name, settings, start in _KINDS:
        kind = kinds.add_parser(name, help=f'run a {name} stand-in')
        add_flags(kind, settings)
        kind.set_defaults(run=_make_run(settings, start))


def _make_run(settings, start):
    def run(flags, environ):
        return start(read_settings(settings, flags, environ))

    return run
