"""Bad input gets a clear, typed refusal, and nothing is dispatched."""

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
_LARGE = 9_000_000


def _send(port, raw):
    with socket.create_connection((LOOPBACK, port), timeout=20) as sock:
        sock.sendall(raw)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b''.join(parts)


def _read(reply):
    head, _, body = reply.partition(b'\r\n\r\n')
    status = int(head.split()[1])
    return status, orjson.loads(body)['error']['type']


def _request(path, body, headers, length=None):
    if not isinstance(body, bytes):
        body = orjson.dumps(dict(body))
    lines = [f'POST {path} HTTP/1.1', 'Host: x', 'Connection: close']
    lines.append(f'Content-Length: {length or len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join([*lines, '', '']).encode() + body


def _completion(headers=None, **changes):
    return _request(
        _COMPLETIONS,
        {**_BODY, **changes},
        {**_HEADERS, **(headers or {})},
    )


def _without(name):
    headers = {key: text for key, text in _HEADERS.items() if key != name}
    return _request(_COMPLETIONS, _BODY, headers)


@pytest.mark.parametrize(
    ('raw', 'status', 'code'),
    [
        (_request(_COMPLETIONS, b'{"model": ', _HEADERS), 400, 'bad_json'),
        (_request(_COMPLETIONS, b'[]', _HEADERS), 400, 'bad_json'),
        (_request(_COMPLETIONS, b'\xff\xfe', _HEADERS), 400, 'bad_json'),
        (_completion(model='none'), 404, 'unknown_model'),
        (_completion(model='review'), 404, 'unknown_model'),
        (_completion(model=5), 404, 'unknown_model'),
        (_completion(prompt=''), 400, 'bad_prompt'),
        (_completion(prompt=['a']), 400, 'bad_prompt'),
        (_completion(prompt='x' * 4_194_400), 400, 'prompt_too_long'),
        (_completion(max_tokens=0), 400, 'bad_max_tokens'),
        (_completion(max_tokens='5'), 400, 'bad_max_tokens'),
        (_completion(max_tokens=True), 400, 'bad_max_tokens'),
        (_without('Crankchute-Account'), 400, 'missing_account'),
        (_without('Crankchute-Deadline-Ms'), 400, 'missing_deadline'),
        (_completion({'Crankchute-Account': 'nobody'}), 403, 'unknown_account'),
        (_completion({'Crankchute-Class': 'none'}), 400, 'unknown_class'),
        (_completion({'Crankchute-Class': 'complaints'}), 400, 'unknown_class'),
        (_completion({'Crankchute-Deadline-Ms': '0'}), 400, 'past_deadline'),
        (_completion({'Crankchute-Deadline-Ms': '-5'}), 400, 'past_deadline'),
        (_completion({'Crankchute-Deadline-Ms': 'soon'}), 400, 'bad_deadline'),
        (
            _completion({'Crankchute-Deadline-Ms': '99999999'}),
            400,
            'deadline_too_far',
        ),
        (_request('/nowhere', b'{}', _HEADERS), 404, 'no_such_path'),
        (
            _request(_BOOKINGS, {}, {**_HEADERS, **_BOOKING}),
            400,
            'missing_key',
        ),
        (
            _request(
                _BOOKINGS,
                {},
                {**_HEADERS, **_BOOKING, 'Crankchute-Key': 'a.b'},
            ),
            400,
            'bad_key',
        ),
        (
            _request('/v1/services/none/x', {}, {**_HEADERS, **_BOOKING}),
            404,
            'unknown_pool',
        ),
        (
            _request(_COMPLETIONS, b'', _HEADERS, length=_LARGE),
            413,
            'body_too_large',
        ),
        (
            _request(_COMPLETIONS, b'x' * _LARGE, _HEADERS),
            413,
            'body_too_large',
        ),
        (_completion({'X-Large': 'x' * 40_000}), 431, 'headers_too_large'),
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
def test_bad_input(cluster, raw, status, code):
    """The refusal has its status and type, and nothing runs."""
    entry = cluster.entries[0]
    assert _read(_send(entry.port, raw)) == (status, code)
    state = cluster.state(entry)
    assert not state['requests']['in_progress']
    assert not state['requests']['remembered_keys']


@pytest.mark.parametrize(
    'raw',
    [
        b'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le',
        _request(_COMPLETIONS, b'{"model"', _HEADERS, length=100),
    ],
)
def test_slow_sender(cluster, raw):
    """A sender that stops in the middle is told so and let go."""
    port = cluster.entries[0].port
    with socket.create_connection((LOOPBACK, port), timeout=60) as sock:
        sock.sendall(raw)
        assert _read(sock.recv(65536)) == (408, 'slow_sender')


def test_nothing_was_executed(cluster):
    """No request of this module reached an engine or a service."""
    for engine in cluster.engines:
        assert not engine.fetch('GET', '/admin/state')[1]['prefilled']
    for service in cluster.services:
        assert not service.fetch('GET', '/admin/counts')[1]
