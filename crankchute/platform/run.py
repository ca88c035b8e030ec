"""Runs the event loop of an instance on the platform."""

import gc
import signal

from crankchute.adapters.clock import SteadyClock
from crankchute.adapters.lean_start import skip_slow_imports
from crankchute.adapters.log import log_change
from crankchute.errors import SettingsError
from crankchute.platform.settings import load_settings

# Must run before the imports below, which import circuits.
skip_slow_imports()

from crankchute.adapters.loop import Loop
from crankchute.platform.node import PlatformNode


def run_instance(settings, sockets):
    """Run an instance until it is signalled to stop.

    Args:
      settings: InstanceSettings.
      sockets: A map from address to the socket that listens on it.
    Returns:
      The exit code: 0 after a stop, 1 if an address cannot be bound.
    """
    loop = Loop(SteadyClock())
    try:
        platform = PlatformNode(loop, settings, sockets)
    except OSError as exc:
        log_change('not_started', failed=True, reason=str(exc))
        return 1
    node = platform.node
    node.on_stopped = loop.stop
    loop.on_stop_signal(node.stop)
    # The loop does not handle SIGHUP, which ends the process by default.
    signal.signal(
        signal.SIGHUP,
        lambda *_args: loop.post(_reload, platform),
    )
    # Handles a signal that was sent since the settings were read.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    log_change(
        'started',
        instance=settings.instance,
        boot=node.identity.boot,
        seeds=[list(address) for address in settings.seeds],
    )
    gc.freeze()
    loop.run()
    return 0


def _reload(platform):
    try:
        settings = load_settings()
    except SettingsError as exc:
        log_change('settings_refused', failed=True, findings=str(exc))
        return
    platform.reload(settings)
    log_change(
        'settings_reloaded',
        seeds=[list(address) for address in settings.seeds],
    )
