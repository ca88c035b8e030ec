"""`crankchute load`: send a mix of requests and measure what comes back."""

import sys
from pathlib import Path

import orjson

from crankchute.errors import Finding, SettingsError
from crankchute.load.mix import plan_arrivals, read_mix
from crankchute.load.report import plot_report
from crankchute.load.runner import LoadRunner
from crankchute.settings import (
    Setting,
    add_flags,
    read_address,
    read_count,
    read_flag,
    read_name,
    read_settings,
)


def read_rate(text):
    """Read a number above zero.

    Args:
      text: The text.
    Raises:
      ValueError: If it is not one.
    """
    rate = float(text)
    if not 0 < rate < float('inf'):
        raise ValueError('is not a number above 0')
    return rate


SETTINGS = (
    Setting(
        'seeds',
        read_address,
        'IP:port of entry instances, separated by commas',
        is_list=True,
    ),
    Setting('model', read_name, 'model that is asked', 'small'),
    Setting('rate', read_rate, 'requests a second, open loop', '10'),
    Setting('duration-s', read_rate, 'seconds in which requests start', '10'),
    Setting('seed', read_count, 'one seed gives one plan', '1'),
    Setting(
        'check-answers',
        read_flag,
        'whether answers are those of the engine stand-in',
        'no',
    ),
    Setting(
        'alone',
        read_flag,
        'whether to measure each band alone first, for the slowdown',
        'yes',
    ),
)


def add_parser(subparsers):
    """Add the command's parser."""
    parser = subparsers.add_parser(
        'load',
        help='send a mix of requests and measure',
        description='Send a mix of requests, open loop, and print time to '
        'first token and slowdown by length band as JSON.',
    )
    parser.add_argument('mix', help='JSON file of the mix, see REFERENCE.md')
    add_flags(parser, SETTINGS)
    parser.add_argument('--plot', metavar='PNG', help='draw the result')
    parser.set_defaults(run=run)


def run(flags, environ):
    """Run the command; see main."""
    settings = read_settings(SETTINGS, flags, environ)
    parts = read_mix(_read_file(flags.mix), flags.mix)
    runner = LoadRunner(
        settings.seeds,
        settings.model,
        checks_answers=settings.check_answers,
    )
    alone_ms = runner.measure_alone(parts) if settings.alone else {}
    arrivals = plan_arrivals(
        parts,
        settings.rate,
        settings.duration_s,
        settings.seed,
    )
    report = runner.run(arrivals, alone_ms)
    document = report.summarise()
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2)
    sys.stdout.write(f'{text.decode()}\n')
    if flags.plot:
        plot_report(document, flags.plot)
    return 1 if report.has_faults else 0


def _read_file(path):
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError([Finding(path, str(exc))]) from exc
