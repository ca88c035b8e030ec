"""`crankchute call`: request a completion or call a plain service."""

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
    Setting(
        'deadline-ms',
        read_count,
        'timeout of the call in milliseconds',
        '30000',
    ),
    Setting('model', read_name, 'model for a completion', 'small'),
    Setting(
        'max-tokens', read_count, 'maximum number of tokens in the answer', '16'
    ),
)


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'call',
        help='send a prompt or call a plain service',
        description='Send a prompt from a file or standard input; with '
        '--service, call a plain service instead.',
    )
    add_flags(parser, SETTINGS)
    parser.add_argument(
        'source',
        nargs='?',
        default=_STDIN,
        metavar='FILE',
        help='file with the prompt or request body; - for standard input',
    )
    parser.add_argument(
        '--service', metavar='POOL', help='pool of the service to call'
    )
    parser.add_argument('--method', default='POST', help='HTTP method')
    parser.add_argument('--path', default='/', help='path on the service')
    parser.set_defaults(run=run)


def run(flags, environ):
    """Run the command and return its exit code."""
    settings = read_settings(SETTINGS, flags, environ)
    options = CallOptions(
        getattr(settings, 'class'),
        settings.deadline_ms,
        model=settings.model,
        max_tokens=settings.max_tokens,
    )
    session = Session(settings.seeds, settings.account)
    if flags.service is None:
        call_result = session.complete(_read_source(flags.source), options)
        output = call_result.text
    else:
        call_result = session.call_service(_read_request(flags), options)
        output = call_result.body.decode(errors='replace')
    return _print_result(call_result, output)


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


def _print_result(call_result, output):
    if call_result.is_ok:
        sys.stdout.write(f'{output}\n')
        return 0
    hint = ''
    if call_result.retry_after_ms is not None:
        hint = f'; retry after {round(call_result.retry_after_ms)} ms'
    sys.stderr.write(
        f'{call_result.outcome.value}: {call_result.code}: '
        f'{call_result.message}{hint}\n',
    )
    return 1
