"""The daemon of an instance on the platform."""

import argparse
import gc
import os
import signal
import sys

from crankchute.adapters.clock import SteadyClock
from crankchute.adapters.log import log_change, start_log
from crankchute.adapters.loop import Loop
from crankchute.errors import SettingsError
from crankchute.platform.node import PlatformNode
from crankchute.platform.settings import load_settings
from crankchute.settings import (
    Setting,
    add_flags,
    read_count,
    read_settings,
)

EXIT_BAD_INPUT = 2
_FLAGS = (
    Setting(
        'metrics-port',
        read_count,
        'port for metrics and the state of the process',
        '9464',
    ),
)


def main(arguments=None):
    """Run an instance until it is told to stop.

    Args:
      arguments: The words after the program's name; those of the process if
        None.
    Returns:
      The exit code: 0 after a stop, 1 if an address is taken, 2 if the
      settings are wrong.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    add_flags(parser, _FLAGS)
    flags = parser.parse_args(arguments)
    start_log(sys.stdout)
    try:
        own = read_settings(_FLAGS, flags, os.environ)
        settings = load_settings()
    except SettingsError as exc:
        log_change('settings_refused', failed=True, findings=str(exc))
        return EXIT_BAD_INPUT
    return _run(settings, own.metrics_port)


def _run(settings, metrics_port):
    loop = Loop(SteadyClock())
    try:
        platform = PlatformNode(loop, settings, metrics_port)
    except OSError as exc:
        log_change('not_started', failed=True, reason=str(exc))
        return 1
    node = platform.node
    node.on_stopped = loop.stop
    loop.on_signal(signal.SIGTERM, node.stop)
    loop.on_signal(signal.SIGINT, node.stop)
    # The library handles no hang-up, whose default would end the process.
    signal.signal(
        signal.SIGHUP,
        lambda *_args: loop.post(_reload, platform),
    )
    log_change(
        'started',
        instance=settings.instance,
        boot=node.identity.boot,
        seeds=[list(one) for one in settings.seeds],
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
    log_change('settings_reloaded', seeds=[list(one) for one in settings.seeds])


if __name__ == '__main__':
    sys.exit(main())
