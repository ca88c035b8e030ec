"""`crankchute standin`: run a simulated external system."""

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
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'standin',
        help='run a simulated platform, engine or service',
    )
    kinds = parser.add_subparsers(dest='kind', required=True, metavar='KIND')
    for name, settings, run_simulator in _KINDS:
        kind = kinds.add_parser(name, help=f'run a {name} simulator')
        add_flags(kind, settings)
        kind.set_defaults(run=_make_run(settings, run_simulator))


def _make_run(settings, run_simulator):
    def run(flags, environ):
        return run_simulator(read_settings(settings, flags, environ))

    return run
