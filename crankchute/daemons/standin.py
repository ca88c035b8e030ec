"""Daemons of the simulated platform, engine and service."""

import signal

from crankchute.adapters.loop import Loop
from crankchute.settings import (
    Setting,
    read_address,
    read_count,
    read_yes_no,
    read_name,
)
from crankchute.standins.engine_model import EngineSettings
from crankchute.standins.engine_server import EngineServer
from crankchute.standins.platform_server import PlatformServer
from crankchute.standins.service_server import ServiceServer

_BIND_SETTING = Setting('bind', read_address, 'IP:port to listen on')
PLATFORM_SETTINGS = (
    _BIND_SETTING,
    Setting(
        'weights-per-second',
        read_count,
        'requests that the weight store accepts per second',
        '4',
    ),
)
SERVICE_SETTINGS = (_BIND_SETTING,)
ENGINE_SETTINGS = (
    _BIND_SETTING,
    Setting(
        'memory-tokens', read_count, 'KV cache capacity in tokens', '400000'
    ),
    Setting('step-tokens', read_count, 'token budget of a step', '2048'),
    Setting(
        'step-us',
        read_count,
        'minimum duration of a step in microseconds',
        '5000',
    ),
    Setting(
        'token-ns', read_count, 'prefill time per token in nanoseconds', '5000'
    ),
    Setting(
        'models',
        read_name,
        'models that are loaded at the start',
        '',
        is_list=True,
    ),
    Setting('version', read_name, 'version of those models', 'v1'),
    Setting('tokens-per-event', read_count, 'tokens per event', '1'),
    Setting(
        'checks-fences',
        read_yes_no,
        'reject requests with outdated fencing tokens',
        'yes',
    ),
    Setting(
        'weights',
        read_address,
        'IP:port of the weight store; without it, models load instantly',
        '',
        is_list=True,
    ),
)
_US_PER_MS = 1000
_NS_PER_MS = 1_000_000


def run_platform(settings):
    """Run the simulated platform until a termination signal.

    Args:
      settings: The Settings read from PLATFORM_SETTINGS.
    """
    loop = Loop()
    PlatformServer(loop, settings.bind, settings.weights_per_second)
    return _run_loop(loop)


def run_engine(settings):
    """Run a simulated engine until a termination signal.

    Args:
      settings: The Settings read from ENGINE_SETTINGS.
    """
    loop = Loop()
    engine_settings = EngineSettings(
        memory_tokens=settings.memory_tokens,
        step_tokens=settings.step_tokens,
        step_ms=settings.step_us / _US_PER_MS,
        token_ms=settings.token_ns / _NS_PER_MS,
    )
    EngineServer(
        loop,
        settings.bind,
        engine_settings,
        models=dict.fromkeys(settings.models, settings.version),
        checks_fences=settings.checks_fences,
        tokens_per_event=settings.tokens_per_event,
        weights=next(iter(settings.weights), None),
    )
    return _run_loop(loop)


def run_service(settings):
    """Run a simulated plain service until a termination signal.

    Args:
      settings: The Settings read from SERVICE_SETTINGS.
    """
    loop = Loop()
    ServiceServer(loop, settings.bind)
    return _run_loop(loop)


def _run_loop(loop):
    for signo in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(signo, loop.stop)
    loop.run()
    return 0
