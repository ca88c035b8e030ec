"""A simulated store of the platform without changes, for benchmarks.

It has one configuration, whose pool names no engine parameters, and a list of
servers in pages.  Watches end without a change.
"""

import time
from base64 import b64encode
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit

import orjson

from crankchute.platform.wire import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
)

_ROUTES = 120
_SERVERS = 150
_PAGE = 50
_FIRST_PORT = 2000
_TIMEOUT_MS = 10_000
_MS_PER_SECOND = 1000
#: The revision of all entries.
REVISION = 1000


class StoreStandin(BaseHTTPRequestHandler):
    """HTTP handler of the simulated store."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):  # noqa: N802  (named by the library)
        """Respond to a read or a watch."""
        parts = urlsplit(self.path)
        query_fields = parse_qs(parts.query)
        wait_ms, prefix, after = (
            query_fields.get(name, [''])[0]
            for name in ('wait-ms', 'path-prefix', 'after')
        )
        if wait_ms:
            time.sleep(int(wait_ms) / _MS_PER_SECOND)
            self._reply({'events': [], 'at': REVISION})
        elif prefix in {CONFIG_KEY, OPERATOR_PREFIX}:
            self._reply(_list_page([(CONFIG_KEY, _make_config())]))
        else:
            listed = [entry for entry in _make_servers() if entry[0] > after]
            self._reply(_list_page(listed))

    def log_message(self, *_args):
        """Disable the access log."""

    def _reply(self, document):
        body = orjson.dumps(document)
        self.send_response(HTTPStatus.OK)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _list_page(listed):
    entries = [
        {
            'tls-key': key,
            'value': b64encode(orjson.dumps(document)).decode(),
            'revision': REVISION,
        }
        for key, document in listed[:_PAGE]
    ]
    return {'items': entries, 'more': len(listed) > _PAGE, 'at': REVISION}


def _make_config():
    routes = [
        {
            'host': 'a.example',
            'path-prefix': f'/{number}/',
            'kind': 'streaming',
            'service': 'pool',
            'timeout-ms': _TIMEOUT_MS,
        }
        for number in range(_ROUTES)
    ]
    return {'version': 1, 'routes': routes, 'services': [{'name': 'pool'}]}


def _make_servers():
    return [
        (
            f'{SERVERS_PREFIX}s{number:04}',
            {
                'service': 'pool',
                'address': f'127.0.0.1:{_FIRST_PORT + number}',
                'zone': 'z0',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'sequence': 1,
            },
        )
        for number in range(_SERVERS)
    ]
