"""The entry daemon: runs an entry node as a process."""

import gc
import signal

from crankchute.adapters.log import log_change, start_log
from crankchute.adapters.loop import Loop
from crankchute.entry.node import EntryNode
from crankchute.settings import Setting, read_address, read_count, read_name

SETTINGS = (
    Setting('instance', read_name, 'id of the entry instance'),
    Setting('data-centre', read_name, 'data centre of the instance'),
    Setting('http', read_address, 'IP:port to listen on for callers'),
    Setting('peer', read_address, 'IP:port to listen on for other instances'),
    Setting('platform', read_address, 'IP:port of the platform'),
    Setting(
        'seeds',
        read_address,
        'IP:port of other instances, separated by commas',
        '',
        is_list=True,
    ),
    Setting(
        'address-ttl-ms',
        read_count,
        'how long callers may cache an address answer, in milliseconds',
        '5000',
    ),
)


def run_entry(settings):
    """Run an entry instance until it receives a termination signal.

    Args:
      settings: The Settings read from SETTINGS.
    Returns:
      The exit code: 0, or 1 if the instance could not start.
    """
    settings.http_address = settings.http
    settings.http_address_text = _format_address(settings.http)
    settings.peer_address = settings.peer
    settings.peer_address_text = _format_address(settings.peer)
    start_log()
    loop = Loop()
    try:
        node = EntryNode(loop, settings)
    except OSError as exc:
        log_change('not_started', reason=str(exc))
        return 1
    node.on_stopped = loop.stop
    loop.on_signal(signal.SIGTERM, node.stop)
    loop.on_signal(signal.SIGINT, node.stop)
    gc.freeze()
    loop.run()
    return 0


def _format_address(address):
    host, port = address
    return f'{host}:{port}'
