"""The daemons of the stand-ins."""

import signal

from crankchute.adapters.loop import Loop
from crankchute.settings import (
    Setting,
    read_address,
    read_count,
    read_flag,
    read_name,
)
from crankchute.standins.engine_model import EngineSettings
from crankchute.standins.engine_server import EngineServer
from crankchute.standins.platform_server import PlatformServer
from crankchute.standins.service_server import ServiceServer

_BIND = Setting('bind', read_address, 'IP:port to listen on')
PLATFORM_SETTINGS = (
    _BIND,
    Setting(
        'weights-per-second',
        read_count,
        'rate of the weight store',
        '4',
    ),
)
SERVICE_SETTINGS = (_BIND,)
ENGINE_SETTINGS = (
    _BIND,
    Setting('memory-tokens', read_count, 'KV memory in tokens', '400000'),
    Setting('step-tokens', read_count, 'token budget of a step', '2048'),
    Setting('step-us', read_count, 'shortest step, microseconds', '5000'),
    Setting('token-ns', read_count, 'time of a prompt token, ns', '5000'),
    Setting('models', read_name, 'models held at the start', '', is_list=True),
    Setting('version', read_name, 'version of those models', 'v1'),
    Setting('tokens-per-event', read_count, 'tokens in an event', '1'),
    Setting('checks-fences', read_flag, 'whether fences are checked', 'yes'),
    Setting(
        'weights',
        read_address,
        'IP:port of the weight store; none loads at once',
        '',
        is_list=True,
    ),
)
_US_PER_MS = 1000
_NS_PER_MS = 1_000_000


def run_platform(settings):
    """Run the platform stand-in until it is ended.

    Args:
      settings: Settings of PLATFORM_SETTINGS.
    """
    loop = Loop()
    PlatformServer(loop, settings.bind, settings.weights_per_second)
    return _run(loop)


def run_engine(settings):
    """Run an engine stand-in until it is ended.

    Args:
      settings: Settings of ENGINE_SETTINGS.
    """
    loop = Loop()
    size = EngineSettings(
        memory_tokens=settings.memory_tokens,
        step_tokens=settings.step_tokens,
        step_ms=settings.step_us / _US_PER_MS,
        token_ms=settings.token_ns / _NS_PER_MS,
    )
    EngineServer(
        loop,
        settings.bind,
        size,
        models=dict.fromkeys(settings.models, settings.version),
        checks_fences=settings.checks_fences,
        tokens_per_event=settings.tokens_per_event,
        weights=next(iter(settings.weights), None),
    )
    return _run(loop)


def run_service(settings):
    """Run a plain service stand-in until it is ended.

    Args:
      settings: Settings of SERVICE_SETTINGS.
    """
    loop = Loop()
    ServiceServer(loop, settings.bind)
    return _run(loop)


def _run(loop):
    for signo in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(signo, loop.stop)
    loop.run()
    return 0
