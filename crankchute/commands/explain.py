"""`crankchute explain`: print the history of a request from logs."""

import re
import sys

import orjson

from crankchute.core.request_history import (
    LogLine,
    find_history,
    render_history,
)
from crankchute.errors import Finding, SettingsError

#: A line to which a log collector added the time and the instance.
_COLLECTED_LINE = re.compile(r'^\s*-?[\d.]+\s+(\S+)\s+(\{.*)$')


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'explain',
        help='print the history of a request from logs',
    )
    parser.add_argument('request', help='id or fingerprint of the request')
    parser.add_argument('files', nargs='+', help='log files of instances')
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command and return its exit code."""
    history = find_history(read_logs(flags.files), flags.request)
    if not history.lines:
        sys.stderr.write(f'{flags.request}: not found in the logs\n')
        return 1
    for text in render_history(history):
        sys.stdout.write(f'{text}\n')
    return 0


def read_logs(paths):
    """Read several log files; see read_log.

    Args:
      paths: The paths of the files.
    Returns:
      A list of LogLine, in the order of the files and their lines.
    Raises:
      SettingsError: If a file cannot be read.
    """
    return [line for path in paths for line in read_log(path)]


def read_log(path):
    """Read a log file, skipping lines that are not JSON objects.

    Args:
      path: The path of the file.
    Returns:
      A list of LogLine.
    Raises:
      SettingsError: If the file cannot be read.
    """
    try:
        with open(path, encoding='utf-8', errors='replace') as log_file:
            lines = [_parse_line(path, text) for text in log_file]
    except OSError as exc:
        raise SettingsError([Finding(path, str(exc))]) from exc
    return [line for line in lines if line is not None]


def _parse_line(path, text):
    source = path
    collected_match = _COLLECTED_LINE.match(text)
    if collected_match is not None:
        source, text = collected_match.groups()
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError:
        return None
    return LogLine(source, fields) if isinstance(fields, dict) else None
