"""The daemon of an instance on the platform."""

import gc
import signal
import sys

from crankchute.adapters.clock import SteadyClock
from crankchute.adapters.log import log_change, start_log
from crankchute.adapters.loop import Loop
from crankchute.errors import SettingsError
from crankchute.platform.node import PlatformNode
from crankchute.platform.settings import load_settings

EXIT_BAD_INPUT = 2


def main():
    """Run an instance until it is told to stop.

    Returns:
      The exit code: 0 after a stop, 1 if an address is taken, 2 if the
      settings are wrong.
    """
    start_log(sys.stdout)
    try:
        settings = load_settings()
    except SettingsError as exc:
        log_change('settings_refused', findings=str(exc))
        return EXIT_BAD_INPUT
    loop = Loop(SteadyClock())
    try:
        platform = PlatformNode(loop, settings)
    except OSError as exc:
        log_change('not_started', reason=str(exc))
        return 1
    node = platform.node
    node.on_stopped = loop.stop
    loop.on_signal(signal.SIGTERM, node.stop)
    loop.on_signal(signal.SIGINT, node.stop)
    signal.signal(signal.SIGHUP, lambda *_args: loop.post(_on_hangup))
    log_change('started', instance=settings.instance, boot=node.identity.boot)
    gc.freeze()
    loop.run()
    return 0


def _on_hangup():
    log_change('settings_changed')


if __name__ == '__main__':
    sys.exit(main())
