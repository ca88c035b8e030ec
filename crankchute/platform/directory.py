"""HTTP handlers for address lookups and readiness checks."""

from http import HTTPStatus
from urllib.parse import parse_qs

from crankchute.errors import RequestRefused
from crankchute.platform.wire import READY_PATH, RESOLVE_PATH

_MS_PER_SECOND = 1000


class DirectoryHandler:
    """Tells callers the addresses of the instances to use."""

    def __init__(self, choose_addresses, ttl_ms):
        """Create the handler.

        Args:
          choose_addresses: A function that takes a data centre and returns
            addresses, "IP:port".
          ttl_ms: How long callers may cache a response, in milliseconds.
        """
        self._choose_addresses = choose_addresses
        self._ttl_ms = ttl_ms

    def respond(self, exchange):
        """Respond to an address lookup.

        Args:
          exchange: A ForwardExchange.
        Raises:
          RequestRefused: If the path is unknown or no instance is available.
        """
        path, _separator, query = exchange.target.partition('?')
        if path != RESOLVE_PATH:
            raise _not_found(path)
        query_fields = parse_qs(query)
        data_centre = query_fields.get('zone', [''])[0]
        addresses = self._choose_addresses(data_centre)
        if not addresses:
            raise RequestRefused(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no_instance',
                'no instance serves now',
                retry_after_ms=_MS_PER_SECOND,
            )
        exchange.reply_json(
            HTTPStatus.OK,
            {
                'addresses': list(addresses),
                'ttl-s': self._ttl_ms / _MS_PER_SECOND,
            },
        )


class ReadinessHandler:
    """Responds to the platform's readiness checks."""

    def __init__(self, is_ready):
        """Create the handler.

        Args:
          is_ready: A function without arguments that returns a bool.
        """
        self._is_ready = is_ready

    def respond(self, exchange):
        """Respond to a readiness check; see DirectoryHandler.respond."""
        path = exchange.target.partition('?')[0]
        if path != READY_PATH:
            raise _not_found(path)
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        exchange.reply(status, b'')


def _not_found(path):
    return RequestRefused(
        HTTPStatus.NOT_FOUND,
        'no_such_path',
        f'there is no {path}',
    )
