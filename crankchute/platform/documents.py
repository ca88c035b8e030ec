"""The operator's configuration in the platform's store, decoded."""

import orjson

from crankchute.core.engine_model import EngineFigures
from crankchute.core.forward_config import (
    ForwardConfig,
    KeyOwner,
    PoolConfig,
    RequestLimits,
)
from crankchute.core.forward_job import RetryMode
from crankchute.core.route_table import PoolShare, Route
from crankchute.errors import ConfigError, Finding

_PLACE = 'op/config'
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_STREAMING = 'streaming'
_MS_PER_SECOND = 1000
_LOWEST_PRIORITY = 9
_DEFAULT_CONNECTIONS = 64
_DEFAULT_STALL_MS = 1500
_DEFAULT_HEALTH_PATH = '/'
#: Tokens of a usual prompt and its answer where a pool does not publish them.
_USUAL_PROMPT = 9000
_USUAL_ANSWER = 1200


def read_config(payload, stall_ms=_DEFAULT_STALL_MS):
    """Return the configuration that the operator wrote.

    Args:
      payload: The bytes of the document.
      stall_ms: How long work that depends on a lost engine stands still.
    Returns:
      A ForwardConfig.
    Raises:
      ConfigError: If it cannot be read.
    """
    try:
        document = orjson.loads(payload)
        return _read_document(document, stall_ms)
    except _DECODE_ERRORS as exc:
        finding = Finding(_PLACE, f'{type(exc).__name__}: {exc}')
        raise ConfigError([finding]) from exc


def _read_document(document, stall_ms):
    routes = [_read_route(one) for one in document.get('routes', ())]
    pools = [_read_pool(one, stall_ms) for one in document.get('services', ())]
    return ForwardConfig(
        int(document['version']),
        routes,
        pools,
        keys=_read_keys(document.get('tenants')),
        request_limits=_read_intake(document.get('limits')),
    )


def _read_route(document):
    timeout_ms = document['timeout-ms']
    return Route(
        name=document.get('name', ''),
        host=document['host'].lower(),
        prefix=document['path-prefix'],
        shares=_read_shares(document),
        repeat=_read_repeat(document),
        is_stream=document['kind'] == _STREAMING,
        is_open=bool(document.get('allow-anonymous')),
        timeout_ms=timeout_ms,
        goal_ms=document.get('target-latency-ms') or timeout_ms,
        gap_ms=document.get('gap_aim_ms'),
        priority=document.get('priority', _LOWEST_PRIORITY),
        max_attempts=max(int(document.get('max-attempts', 1)), 1),
    )


def _read_shares(document):
    split = document.get('traffic-split')
    if split:
        return tuple(PoolShare(one['service'], one['weight']) for one in split)
    return (PoolShare(document['service'], 1),)


def _read_repeat(document):
    kind = document['kind']
    if kind == _STREAMING:
        may_resume = document.get('stream-resume')
        return RetryMode.RESUME if may_resume else RetryMode.ONCE
    return RetryMode.AGAIN if kind == 'idempotent' else RetryMode.ONCE


def _read_pool(document, stall_ms):
    engine = document.get('engine')
    return PoolConfig(
        document['name'],
        document.get('max-connections') or _DEFAULT_CONNECTIONS,
        None if engine is None else _read_figures(engine, stall_ms),
        document.get('health-path') or _DEFAULT_HEALTH_PATH,
    )


def _read_figures(engine, stall_ms):
    usual = engine.get('usual', {})
    return EngineFigures(
        slots=engine['slots'],
        memory_tokens=engine['kv-capacity-tokens'],
        stride=engine.get('stride', 1),
        step_ms=engine['step_ms'],
        writer_ms=engine.get('per_seq_ms', 0),
        context_ms=engine.get('context_per_k', 0),
        read_per_ms=engine['read_per_s'] / _MS_PER_SECOND,
        pairs_ms=engine.get('pairs_per_m', 0),
        chunk=engine.get('chunk', 1),
        hop_ms=engine.get('hop_ms', 0),
        stall_ms=stall_ms,
        report_lag_ms=engine.get('report_lag_ms', 0),
        usual_prompt=usual.get('prompt', _USUAL_PROMPT),
        usual_answer=usual.get('answer', _USUAL_ANSWER),
    )


def _read_keys(accounts):
    if not accounts:
        return None
    return {
        key: KeyOwner(account['name'], account.get('priority'))
        for account in accounts
        for key in account.get('api-keys', ())
    }


def _read_intake(limits):
    if not limits:
        return None
    return RequestLimits(
        max_header_bytes=limits['max-header-bytes'],
        max_body_bytes=limits['max-body-bytes'],
        header_timeout_ms=limits['header-timeout-ms'],
        idle_timeout_ms=limits['idle-timeout-ms'],
    )
