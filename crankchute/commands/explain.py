"""`crankchute explain`: the history of one request, from logs."""

import re
import sys

import orjson

from crankchute.core.request_history import (
    LogLine,
    find_history,
    render_history,
)
from crankchute.errors import Finding, SettingsError

#: Collectors put the time and the instance before a line.
_COLLECTED = re.compile(r'^\s*-?[\d.]+\s+(\S+)\s+(\{.*)$')


def add_parser(subparsers):
    """Add the command's parser."""
    parser = subparsers.add_parser(
        'explain',
        help='print the history of one request from logs',
    )
    parser.add_argument('request', help="the request's id")
    parser.add_argument('files', nargs='+', help='logs of instances')
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command; see main."""
    history = find_history(read_logs(flags.files), flags.request)
    if not history.lines:
        sys.stderr.write(f'{flags.request}: in none of the logs\n')
        return 1
    for text in render_history(history):
        sys.stdout.write(f'{text}\n')
    return 0


def read_logs(paths):
    """Return the lines of several logs; see read_log.

    Args:
      paths: The files' paths.
    Returns:
      A list of LogLine, each file's in order.
    Raises:
      SettingsError: If a file cannot be read.
    """
    return [line for path in paths for line in read_log(path)]


def read_log(path):
    """Return the lines of a log; what is no JSON line is passed over.

    Args:
      path: The file's path.
    Returns:
      A list of LogLine.
    Raises:
      SettingsError: If the file cannot be read.
    """
    try:
        with open(path, encoding='utf-8', errors='replace') as log_file:
            found = [_read_line(path, text) for text in log_file]
    except OSError as exc:
        raise SettingsError([Finding(path, str(exc))]) from exc
    return [line for line in found if line is not None]


def _read_line(path, text):
    source = path
    collected = _COLLECTED.match(text)
    if collected is not None:
        source, text = collected.groups()
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError:
        return None
    return LogLine(source, fields) if isinstance(fields, dict) else None
