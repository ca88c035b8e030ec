"""`crankchute load`: send a mix of requests and measure the responses."""

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
    read_yes_no,
    read_name,
    read_settings,
)


def read_rate(text):
    """Parse a positive number.

    Args:
      text: The text.
    Raises:
      ValueError: If the text is not a positive number.
    """
    rate = float(text)
    if not 0 < rate < float('inf'):
        raise ValueError('is not a positive number')
    return rate


SETTINGS = (
    Setting(
        'seeds',
        read_address,
        'IP:port of entry instances, separated by commas',
        is_list=True,
    ),
    Setting('model', read_name, 'model for completions', 'small'),
    Setting('rate', read_rate, 'requests per second, open loop', '10'),
    Setting(
        'duration-s',
        read_rate,
        'seconds during which requests are started',
        '10',
    ),
    Setting('seed', read_count, 'random seed of the load plan', '1'),
    Setting(
        'check-answers',
        read_yes_no,
        'compare the answers with those of the simulated engine',
        'no',
    ),
    Setting(
        'alone',
        read_yes_no,
        'first measure each length band without load, as the baseline of '
        'the slowdown',
        'yes',
    ),
)


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'load',
        help='send a mix of requests and measure the responses',
        description='Send a mix of requests in an open loop and print the '
        'time to first token and the slowdown by length band as JSON.',
    )
    parser.add_argument('mix', help='JSON file with the mix; see REFERENCE.md')
    add_flags(parser, SETTINGS)
    parser.add_argument(
        '--plot', metavar='PNG', help='plot the result to this file'
    )
    parser.set_defaults(run=run)


def run(flags, environ):
    """Run the command and return its exit code."""
    settings = read_settings(SETTINGS, flags, environ)
    mix = read_mix(_read_file(flags.mix), flags.mix)
    runner = LoadRunner(
        settings.seeds,
        settings.model,
        checks_answers=settings.check_answers,
    )
    baseline_ms = runner.measure_alone(mix) if settings.alone else {}
    arrivals = plan_arrivals(
        mix,
        settings.rate,
        settings.duration_s,
        settings.seed,
    )
    report = runner.run(arrivals, baseline_ms)
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
