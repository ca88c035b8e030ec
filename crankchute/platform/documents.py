"""Decodes the operator's configuration document in the platform's store."""

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

_DOCUMENT_KEY = 'op/config'
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
_STREAMING = 'streaming'
_MS_PER_SECOND = 1000
_LOWEST_PRIORITY = 9
_DEFAULT_CONNECTIONS = 64
#: Messages between instances carry signed numbers of so many bits.
_VERSION_BITS = 63
_DEFAULT_STALL_MS = 1500
_DEFAULT_HEALTH_PATH = '/'
#: Tokens of a typical prompt and its answer, if the document names none.
_DEFAULT_PROMPT_TOKENS = 9000
_DEFAULT_ANSWER_TOKENS = 1200


def decode_config(payload, stall_ms=_DEFAULT_STALL_MS):
    """Decode the configuration document.

    Args:
      payload: The bytes of the document.
      stall_ms: How long requests stall when an engine they depend on is lost.
    Returns:
      A ForwardConfig.
    Raises:
      ConfigError: If the document is malformed.
    """
    try:
        document = orjson.loads(payload)
        return _decode_document(document, stall_ms)
    except _DECODE_ERRORS as exc:
        finding = Finding(_DOCUMENT_KEY, f'{type(exc).__name__}: {exc}')
        raise ConfigError([finding]) from exc


def _decode_document(document, stall_ms):
    routes = [_decode_route(entry) for entry in document.get('routes', ())]
    pools = [
        _decode_pool(entry, stall_ms) for entry in document.get('services', ())
    ]
    return ForwardConfig(
        _read_version(document),
        routes,
        pools,
        keys=_decode_keys(document.get('tenants')),
        request_limits=_decode_intake(document.get('limits')),
    )


def _read_version(document):
    version = int(document['version'])
    if not 0 < version < 1 << _VERSION_BITS:
        raise ValueError('version is out of range')
    return version


def _decode_route(document):
    timeout_ms = document['timeout-ms']
    return Route(
        name=document.get('name', ''),
        host=document['host'].lower(),
        prefix=document['path-prefix'],
        shares=_decode_shares(document),
        repeat=_decode_repeat(document),
        is_stream=document['kind'] == _STREAMING,
        is_open=bool(document.get('allow-anonymous')),
        timeout_ms=timeout_ms,
        goal_ms=document.get('target-latency-ms') or timeout_ms,
        gap_ms=document.get('gap_aim_ms'),
        priority=document.get('priority', _LOWEST_PRIORITY),
        max_attempts=max(int(document.get('max-attempts', 1)), 1),
    )


def _decode_shares(document):
    split = document.get('traffic-split')
    if split:
        return tuple(
            PoolShare(share['service'], share['weight']) for share in split
        )
    return (PoolShare(document['service'], 1),)


def _decode_repeat(document):
    kind = document['kind']
    if kind == _STREAMING:
        can_resume = document.get('stream-resume')
        return RetryMode.RESUME if can_resume else RetryMode.ONCE
    return RetryMode.AGAIN if kind == 'idempotent' else RetryMode.ONCE


def _decode_pool(document, stall_ms):
    engine = document.get('engine')
    return PoolConfig(
        document['name'],
        document.get('max-connections') or _DEFAULT_CONNECTIONS,
        None if engine is None else _decode_engine(engine, stall_ms),
        document.get('health-path') or _DEFAULT_HEALTH_PATH,
        cold_start_ms=_read_number(document, 'cold-start-s') * _MS_PER_SECOND,
        cold_per_second=_read_number(document, 'coldstart-per-s'),
    )


def _read_number(document, name):
    """Return a number of a document, 0 if it is missing."""
    return float(document.get(name) or 0)


def _decode_engine(engine, stall_ms):
    typical = engine.get('usual', {})
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
        usual_prompt=typical.get('prompt', _DEFAULT_PROMPT_TOKENS),
        usual_answer=typical.get('answer', _DEFAULT_ANSWER_TOKENS),
    )


def _decode_keys(accounts):
    # Without accounts keys are required, too, and none is known.
    if accounts is None:
        return None
    return {
        key: KeyOwner(account['name'], account.get('priority'))
        for account in accounts
        for key in account.get('api-keys', ())
    }


def _decode_intake(limits):
    if not limits:
        return None
    return RequestLimits(
        max_header_bytes=limits['max-header-bytes'],
        max_body_bytes=limits['max-body-bytes'],
        header_timeout_ms=limits['header-timeout-ms'],
        idle_timeout_ms=limits['idle-timeout-ms'],
    )
