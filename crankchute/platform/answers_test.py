"""Tests of the records of refused requests."""

import pytest

from crankchute.adapters.http_intake import IntakeLimits, RequestReader
from crankchute.errors import RequestRefused
from crankchute.platform import answers
from crankchute.ports.metrics import Metrics

_LIMITS = IntakeLimits(
    max_header_bytes=400,
    max_body_bytes=10,
    header_timeout_ms=50,
    body_rate=1,
)
_HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nX-Crankchute-Request-Id: r1\r\nX: 1\r\n'


def read_refusal(reader, received):
    try:
        reader.feed(received, 0)
        reader.check_timeout(60)
    except RequestRefused as refusal:
        return refusal
    raise AssertionError('the request was not refused')


@pytest.mark.parametrize(
    ('received', 'request_id', 'status', 'code'),
    [
        (_HEAD, 'r1', 408, 'slow_sender'),
        (b'POST / HTTP/1.1\r\n', None, 408, 'slow_sender'),
        (b'no request\r\n\r\n', None, 400, 'bad_request'),
        (
            b'%bContent-Length: 11\r\n\r\n' % _HEAD,
            'r1',
            413,
            'body_too_large',
        ),
        (_HEAD + b'X: 1\r\n' * 100, 'r1', 431, 'headers_too_large'),
    ],
)
def test_refusal_before_the_request_is_read_is_logged_and_counted(
    monkeypatch, received, request_id, status, code
):
    lines = []
    monkeypatch.setattr(
        answers,
        'log_change',
        lambda name, **fields: lines.append((name, fields)),
    )
    metrics = Metrics()
    reader = RequestReader(lambda: _LIMITS, lambda reply: None)
    refusal = read_refusal(reader, received)
    answers.IntakeRecorder(metrics).record(reader, refusal)
    name, fields = lines[0]
    assert (name, fields['request']) == ('intake_refused', request_id)
    assert (fields['status'], fields['code']) == (status, code)
    assert metrics.counts == {('intake_refused', code): 1}
