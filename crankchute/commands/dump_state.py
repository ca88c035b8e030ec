"""`crankchute dump`: print the state of a running process."""

import sys
from contextlib import closing
from http.client import HTTPConnection

import orjson

from crankchute.errors import Finding, SettingsError
from crankchute.settings import read_address

_TIMEOUT_S = 5


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'dump',
        help='print the state of a running process',
    )
    parser.add_argument('address', help='IP:port of an entry instance')
    parser.add_argument(
        '--path',
        default='/v1/state',
        help='path to request (default: %(default)s)',
    )
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command and return its exit code."""
    try:
        address = read_address(flags.address)
    except ValueError as exc:
        raise SettingsError([Finding(flags.address, str(exc))]) from exc
    try:
        document = fetch_json(address, flags.path)
    except OSError as exc:
        sys.stderr.write(f'{flags.address}: {exc}\n')
        return 1
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2)
    sys.stdout.write(f'{text.decode()}\n')
    return 0


def fetch_json(address, path):
    """Return the JSON document at a path.

    Args:
      address: A pair of IP address and port.
      path: The path of the URL.
    Raises:
      OSError: If the connection fails.
    """
    with closing(HTTPConnection(*address, timeout=_TIMEOUT_S)) as conn:
        conn.request('GET', path)
        return orjson.loads(conn.getresponse().read())
