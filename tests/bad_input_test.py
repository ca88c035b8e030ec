"""Tests that invalid requests are rejected and never dispatched."""

import socket
from types import MappingProxyType

import orjson
import pytest

from bench.cluster import LOOPBACK

_HEADERS = MappingProxyType(
    {
        'Crankchute-Account': 'north-terminal',
        'Crankchute-Class': 'fares',
        'Crankchute-Deadline-Ms': '5000',
    }
)
_BODY = MappingProxyType(
    {
        'model': 'small',
        'prompt': 'a fare',
        'max_tokens': 2,
    }
)
_COMPLETIONS = '/v1/completions'
_BOOKINGS = '/v1/services/booking/bookings'
_BOOKING = MappingProxyType({'Crankchute-Class': 'booking'})
_TOO_LARGE = 9_000_000


def _exchange(port, raw_request):
    with socket.create_connection((LOOPBACK, port), timeout=20) as sock:
        sock.sendall(raw_request)
        chunks = []
        while chunk := sock.recv(65536):
            chunks.append(chunk)
    return b''.join(chunks)


def _parse_error(response):
    head, _, body = response.partition(b'\r\n\r\n')
    status = int(head.split()[1])
    return status, orjson.loads(body)['error']['type']


def _build_request(path, body, headers, length=None):
    if not isinstance(body, bytes):
        body = orjson.dumps(dict(body))
    lines = [f'POST {path} HTTP/1.1', 'Host: x', 'Connection: close']
    lines.append(f'Content-Length: {length or len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join([*lines, '', '']).encode() + body


def _build_completion(headers=None, **changes):
    return _build_request(
        _COMPLETIONS,
        {**_BODY, **changes},
        {**_HEADERS, **(headers or {})},
    )


def _build_without(name):
    headers = {key: text for key, text in _HEADERS.items() if key != name}
    return _build_request(_COMPLETIONS, _BODY, headers)


@pytest.mark.parametrize(
    ('raw_request', 'status', 'error_type'),
    [
        (
            _build_request(_COMPLETIONS, b'{"model": ', _HEADERS),
            400,
            'bad_json',
        ),
        (_build_request(_COMPLETIONS, b'[]', _HEADERS), 400, 'bad_json'),
        (_build_request(_COMPLETIONS, b'\xff\xfe', _HEADERS), 400, 'bad_json'),
        (_build_completion(model='none'), 404, 'unknown_model'),
        (_build_completion(model='review'), 404, 'unknown_model'),
        (_build_completion(model=5), 404, 'unknown_model'),
        (_build_completion(prompt=''), 400, 'bad_prompt'),
        (_build_completion(prompt=['a']), 400, 'bad_prompt'),
        (_build_completion(prompt='x' * 4_194_400), 400, 'prompt_too_long'),
        (_build_completion(max_tokens=0), 400, 'bad_max_tokens'),
        (_build_completion(max_tokens='5'), 400, 'bad_max_tokens'),
        (_build_completion(max_tokens=True), 400, 'bad_max_tokens'),
        (_build_without('Crankchute-Account'), 400, 'missing_account'),
        (_build_without('Crankchute-Deadline-Ms'), 400, 'missing_deadline'),
        (
            _build_completion({'Crankchute-Account': 'nobody'}),
            403,
            'unknown_account',
        ),
        (_build_completion({'Crankchute-Class': 'none'}), 400, 'unknown_class'),
        (
            _build_completion({'Crankchute-Class': 'complaints'}),
            400,
            'unknown_class',
        ),
        (
            _build_completion({'Crankchute-Deadline-Ms': '0'}),
            400,
            'past_deadline',
        ),
        (
            _build_completion({'Crankchute-Deadline-Ms': '-5'}),
            400,
            'past_deadline',
        ),
        (
            _build_completion({'Crankchute-Deadline-Ms': 'soon'}),
            400,
            'bad_deadline',
        ),
        (
            _build_completion({'Crankchute-Deadline-Ms': '99999999'}),
            400,
            'deadline_too_far',
        ),
        (_build_request('/nowhere', b'{}', _HEADERS), 404, 'no_such_path'),
        (
            _build_request(_BOOKINGS, {}, {**_HEADERS, **_BOOKING}),
            400,
            'missing_key',
        ),
        (
            _build_request(
                _BOOKINGS,
                {},
                {**_HEADERS, **_BOOKING, 'Crankchute-Key': 'a.b'},
            ),
            400,
            'bad_key',
        ),
        (
            _build_request('/v1/services/none/x', {}, {**_HEADERS, **_BOOKING}),
            404,
            'unknown_pool',
        ),
        (
            _build_request(_COMPLETIONS, b'', _HEADERS, length=_TOO_LARGE),
            413,
            'body_too_large',
        ),
        (
            _build_request(_COMPLETIONS, b'x' * _TOO_LARGE, _HEADERS),
            413,
            'body_too_large',
        ),
        (
            _build_completion({'X-Large': 'x' * 40_000}),
            431,
            'headers_too_large',
        ),
        (b'GARBAGE\r\n\r\n', 400, 'bad_request'),
        (b'GET / HTTP/1.1\r\n\r\n', 400, 'bad_request'),
        (b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' * 2, 400, 'bad_request'),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n',
            400,
            'bad_request',
        ),
    ],
)
def test_bad_input(cluster, raw_request, status, error_type):
    """The error has the right status and type, and no request remains."""
    entry = cluster.entries[0]
    assert _parse_error(_exchange(entry.port, raw_request)) == (
        status,
        error_type,
    )
    state = cluster.state(entry)
    assert not state['requests']['in_progress']
    assert not state['requests']['remembered_keys']


@pytest.mark.parametrize(
    'raw_request',
    [
        b'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le',
        _build_request(_COMPLETIONS, b'{"model"', _HEADERS, length=100),
    ],
)
def test_slow_client(cluster, raw_request):
    """A client that stops in the middle of a request gets 408."""
    port = cluster.entries[0].port
    with socket.create_connection((LOOPBACK, port), timeout=60) as sock:
        sock.sendall(raw_request)
        assert _parse_error(sock.recv(65536)) == (408, 'slow_sender')


def test_no_request_was_dispatched(cluster):
    """No request of this module reached a backend server."""
    for engine in cluster.engines:
        assert not engine.fetch('GET', '/admin/state')[1]['prefilled']
    for service in cluster.services:
        assert not service.fetch('GET', '/admin/counts')[1]
