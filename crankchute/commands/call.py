"""`crankchute call`: ask for a completion, or call a plain service."""

import sys
from pathlib import Path

from crankchute.client.caller import CallOptions
from crankchute.client.service_call import ServiceRequest
from crankchute.client.session import Session
from crankchute.errors import Finding, SettingsError
from crankchute.settings import (
    Setting,
    add_flags,
    read_address,
    read_count,
    read_name,
    read_settings,
)

_STDIN = '-'
SETTINGS = (
    Setting(
        'seeds',
        read_address,
        'IP:port of entry instances, separated by commas',
        is_list=True,
    ),
    Setting('account', read_name, 'client account'),
    Setting('class', read_name, 'workload class'),
    Setting('deadline-ms', read_count, 'time for the whole call', '30000'),
    Setting('model', read_name, 'model of a completion', 'small'),
    Setting('max-tokens', read_count, 'length of the answer', '16'),
)


def add_parser(subparsers):
    """Add the command's parser."""
    parser = subparsers.add_parser(
        'call',
        help='send a prompt, or call a plain service',
        description='Send a prompt from a file or standard input, or, with '
        '--service, call a plain service.',
    )
    add_flags(parser, SETTINGS)
    parser.add_argument(
        'source',
        nargs='?',
        default=_STDIN,
        metavar='FILE',
        help='the prompt or body; - reads standard input',
    )
    parser.add_argument('--service', metavar='POOL', help='pool to call')
    parser.add_argument('--method', default='POST', help='HTTP method')
    parser.add_argument('--path', default='/', help='path at the service')
    parser.set_defaults(run=run)


def run(flags, environ):
    """Run the command; see main."""
    settings = read_settings(SETTINGS, flags, environ)
    options = CallOptions(
        getattr(settings, 'class'),
        settings.deadline_ms,
        model=settings.model,
        max_tokens=settings.max_tokens,
    )
    session = Session(settings.seeds, settings.account)
    if flags.service is None:
        end = session.complete(_read_source(flags.source), options)
        shown = end.text
    else:
        end = session.call_service(_read_request(flags), options)
        shown = end.body.decode(errors='replace')
    return _report(end, shown)


def _read_request(flags):
    body = b''
    if flags.method not in {'GET', 'HEAD', 'DELETE'}:
        body = _read_source(flags.source).encode()
    return ServiceRequest(flags.service, flags.method, flags.path, body)


def _read_source(source):
    if source == _STDIN:
        return sys.stdin.read()
    try:
        return Path(source).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([Finding(source, str(exc))]) from exc


def _report(end, shown):
    if end.is_ok:
        sys.stdout.write(f'{shown}\n')
        return 0
    hint = ''
    if end.retry_after_ms is not None:
        hint = f'; ask again after {round(end.retry_after_ms)} ms'
    sys.stderr.write(
        f'{end.outcome.value}: {end.code}: {end.message}{hint}\n',
    )
    return 1
