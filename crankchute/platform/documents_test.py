"""Tests of decoding the configuration document."""

from types import MappingProxyType

import orjson
import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.errors import ConfigError
from crankchute.platform.documents import decode_config

ROUTE = MappingProxyType(
    {
        'name': 'r',
        'host': 'A.example',
        'path-prefix': '/p/',
        'kind': 'streaming',
        'timeout-ms': 10_000,
        'target-latency-ms': 300,
        'priority': 1,
        'service': 'llm',
        'max-attempts': 2,
        'stream-resume': True,
        'gap_aim_ms': 250,
    }
)
ENGINE = MappingProxyType(
    {
        'slots': 8,
        'kv-capacity-tokens': 232_000,
        'stride': 43,
        'step_ms': 1.02,
        'per_seq_ms': 0.0045,
        'context_per_k': 0.0043,
        'read_per_s': 206_000,
        'pairs_per_m': 0.138,
        'chunk': 2048,
    }
)
DOCUMENT = MappingProxyType(
    {
        'version': 7,
        'routes': [dict(ROUTE)],
        'services': [
            {'name': 'llm', 'max-connections': 264, 'engine': dict(ENGINE)},
            {'name': 'web', 'max-connections': 96},
        ],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15_000,
        },
        'tenants': [{'name': 't', 'api-keys': ['k1', 'k2'], 'priority': 2}],
    }
)


def decode_with(**changes):
    return decode_config(orjson.dumps({**DOCUMENT, **changes}))


def test_all_sections_are_decoded():
    config = decode_with()
    route = config.routes.find('a.example', '/p/x')
    assert config.version == 7
    assert route.repeat == RetryMode.RESUME
    assert route.is_stream
    assert (route.goal_ms, route.gap_ms, route.timeout_ms) == (300, 250, 10_000)
    assert config.pools['llm'].engine_figures.read_per_ms == 206
    assert config.pools['web'].engine_figures is None
    assert config.keys['k2'].account == 't'
    assert config.keys['k2'].priority == 2
    assert config.request_limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    ('change', 'repeat', 'is_stream'),
    [
        ({'kind': 'streaming', 'stream-resume': True}, RetryMode.RESUME, True),
        ({'kind': 'streaming', 'stream-resume': False}, RetryMode.ONCE, True),
        ({'kind': 'idempotent'}, RetryMode.AGAIN, False),
        ({'kind': 'non_idempotent'}, RetryMode.ONCE, False),
        ({'kind': 'unknown'}, RetryMode.ONCE, False),
    ],
)
def test_kind_of_route_decides_on_retries(change, repeat, is_stream):
    config = decode_with(routes=[{**ROUTE, **change}])
    route = config.routes.find('a.example', '/p/')
    assert (route.repeat, route.is_stream) == (repeat, is_stream)


def test_traffic_split_takes_precedence_over_service():
    split = [{'service': 'x', 'weight': 90}, {'service': 'y', 'weight': 10}]
    config = decode_with(routes=[{**ROUTE, 'traffic-split': split}])
    route = config.routes.find('a.example', '/p/')
    assert [share.pool for share in route.shares] == ['x', 'y']


def test_without_a_list_of_accounts_no_api_keys_are_required():
    assert decode_with(tenants=None).keys is None


@pytest.mark.parametrize('accounts', [[], [{'name': 't', 'api-keys': []}]])
def test_keys_are_required_when_the_last_one_is_gone(accounts):
    """An empty list of accounts opened all routes to any key."""
    assert decode_with(tenants=accounts).keys == {}


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'not json',
        b'[]',
        b'{}',
        b'{"version": "x"}',
        orjson.dumps({'version': 1, 'routes': [{'host': 'a'}]}),
        orjson.dumps({'version': 1, 'services': [{}]}),
    ],
)
def test_malformed_document_raises_config_error(payload):
    with pytest.raises(ConfigError) as raised:
        decode_config(payload)
    assert raised.value.findings[0].location == 'op/config'


@pytest.mark.parametrize(
    ('fields', 'cold_start_ms', 'per_second', 'can_be_cold'),
    [
        ({}, 0, 0, False),
        ({'cold-start-s': 30, 'coldstart-per-s': 26}, 30_000, 26, True),
        ({'cold-start-s': 0, 'coldstart-per-s': 26}, 0, 26, False),
        ({'cold-start-s': 30, 'coldstart-per-s': 0}, 30_000, 0, False),
        ({'cold-start-s': 30, 'coldstart-per-s': None}, 30_000, 0, False),
        ({'cold-start-s': 0.5, 'coldstart-per-s': 0.5}, 500, 0.5, True),
    ],
)
def test_cold_figures_of_a_service_are_optional(
    fields, cold_start_ms, per_second, can_be_cold
):
    """A service without both must never count as cold."""
    config = decode_with(services=[{'name': 'plain', **fields}])
    pool = config.pools['plain']
    assert pool.cold_start_ms == cold_start_ms
    assert pool.cold_per_second == per_second
    assert pool.can_be_cold is can_be_cold
