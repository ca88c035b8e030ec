"""Command that runs an instance on the platform.

The listening sockets are opened before the slow imports, so that connections
made during start-up wait in the backlog instead of being refused.
"""

import argparse
import os
import signal
import sys

from crankchute.adapters.early_listen import listen_on
from crankchute.errors import SettingsError
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
        'port of the metrics and debug pages',
        '9464',
    ),
)


def main(arguments=None):
    """Run an instance until it is signalled to stop.

    Args:
      arguments: Command-line arguments without the program's name; by
        default those of the process.
    Returns:
      The exit code: 0 after a stop, 1 if an address cannot be bound, 2 if the
      settings are invalid.
    """
    # Without a handler, which is set later, the signal would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser(description=__doc__)
    add_flags(parser, _FLAGS)
    flags = parser.parse_args(arguments)
    try:
        process_settings = read_settings(_FLAGS, flags, os.environ)
        settings = load_settings()
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_BAD_INPUT
    settings.listeners.set_metrics_port(process_settings.metrics_port)
    try:
        sockets = listen_on(settings.listeners.addresses())
    except OSError as exc:
        sys.stderr.write(f'{exc}\n')
        return 1
    return _run(settings, sockets)


def _run(settings, sockets):
    # Imported late, so that the sockets are open before these slow imports.
    from crankchute.adapters.log import start_log  # noqa: WPS433
    from crankchute.platform.run import run_instance  # noqa: WPS433

    start_log(sys.stdout)
    return run_instance(settings, sockets)


if __name__ == '__main__':
    sys.exit(main())
