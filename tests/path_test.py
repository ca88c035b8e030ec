"""End-to-end tests: HTTP interface, streams, long prompts, services."""

from http.client import HTTPConnection
from types import MappingProxyType

import orjson
import pytest

from bench.cluster import LOOPBACK
from crankchute.load.mix import make_prompt
from crankchute.client.caller import CallOptions
from crankchute.client.service_call import ServiceRequest
from crankchute.adapters.sse import KEEP_ALIVE
from crankchute.client.session import Session
from crankchute.standins.engine_model import expected_answer

_HEADERS = MappingProxyType(
    {
        'Crankchute-Account': 'north-terminal',
        'Crankchute-Class': 'fares',
        'Crankchute-Deadline-Ms': '20000',
    }
)


def _post(cluster, path, document):
    connection = HTTPConnection(
        LOOPBACK,
        cluster.entries[0].port,
        timeout=30,
    )
    connection.request('POST', path, orjson.dumps(document), dict(_HEADERS))
    response = connection.getresponse()
    return response.status, response.headers, response.read()


@pytest.mark.parametrize(
    ('workload', 'account', 'tokens'),
    [
        ('fares', 'north-terminal', 1_000),
        ('manifests', 'dispatch-north', 40_000),
        ('complaints', 'audit-desk', 900_000),
    ],
)
def test_answer_is_complete(cluster, workload, account, tokens):
    """Prompts of any length get a complete answer, and memory is freed."""
    prompt = make_prompt(tokens, seed=1)
    options = CallOptions(workload, 60_000, model='small', max_tokens=9)
    call_result = Session(cluster.seeds, account).complete(prompt, options)
    assert call_result.code is None
    assert call_result.text == expected_answer('small', prompt.encode(), 9)
    pinned = [
        engine.fetch('GET', '/admin/state')[1]['pinned']
        for engine in cluster.engines
    ]
    assert not any(pinned)


@pytest.mark.parametrize(
    ('path', 'body'),
    [
        ('/v1/completions', {'prompt': 'user: hello\n'}),
        (
            '/v1/chat/completions',
            {'messages': [{'role': 'user', 'content': 'hello'}]},
        ),
    ],
)
def test_compatible_interface(cluster, path, body):
    """Both endpoints answer as one document and as an event stream."""
    document = {**body, 'model': 'small', 'max_tokens': 3}
    expected = expected_answer('small', b'user: hello\n', 3)
    status, _, body_bytes = _post(cluster, path, document)
    choice = orjson.loads(body_bytes)['choices'][0]
    text = choice.get('text') or choice['message']['content']
    assert (status, text, choice['finish_reason']) == (200, expected, 'length')

    status, headers, streamed = _post(
        cluster,
        path,
        {**document, 'stream': True},
    )
    # Keep-alive comments are not part of the answer.
    comment = KEEP_ALIVE.decode().removesuffix('\n\n')
    events = [
        event for event in streamed.decode().split('\n\n') if event != comment
    ]
    assert headers['Content-Type'] == 'text/event-stream'
    assert events[-2:] == ['data: [DONE]', '']
    chunks = [
        orjson.loads(event.removeprefix('data: ')) for event in events[:-2]
    ]
    choices = [chunk['choices'][0] for chunk in chunks]
    texts = [
        each_choice.get('text')
        or each_choice.get('delta', {}).get('content', '')
        for each_choice in choices
    ]
    assert ''.join(texts) == expected
    assert choices[-1]['finish_reason'] == 'length'
    assert chunks[-1]['usage']['completion_tokens'] == 3


def test_booking_runs_once(cluster):
    """A booking is answered, and its key is executed exactly once."""
    request = ServiceRequest('booking', 'POST', '/bookings', b'{"seat": 4}')
    call_result = Session(cluster.seeds, 'travel-web').call_service(
        request,
        CallOptions('booking', 10_000),
    )
    assert call_result.is_ok
    counts = cluster.services[0].fetch('GET', '/admin/counts')[1]
    assert counts[call_result.key] == 1


@pytest.mark.parametrize(
    ('path', 'expected_text'),
    [
        ('/v1/models', b'"small"'),
        ('/healthz', b'ok'),
        ('/metrics', b'crankchute_first_token_seconds_bucket'),
        ('/v1/addresses?account=north-terminal', b'"binding"'),
        ('/v1/state', b'"in_force"'),
    ],
)
def test_pages(cluster, path, expected_text):
    """Each page of an entry instance contains the expected text."""
    connection = HTTPConnection(
        LOOPBACK,
        cluster.entries[0].port,
        timeout=10,
    )
    connection.request('GET', path)
    response = connection.getresponse()
    assert response.status == 200
    assert expected_text in response.read()
