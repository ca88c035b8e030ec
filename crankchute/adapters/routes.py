"""Routes of an HTTP server: a registry from method and path to a function."""

from http import HTTPStatus
from urllib.parse import parse_qsl

import orjson

from crankchute.errors import RequestRefused


class Routes:
    """Maps of exact paths, and of prefixes for what takes a rest."""

    def __init__(self):
        """Create without routes."""
        self._exact = {}
        self._prefixes = {}

    def add(self, method, path):
        """Return a decorator that routes requests to a method.

        Args:
          method: The HTTP method.
          path: The path; one that ends in a slash takes what follows too.
        """

        def decorate(function):
            table = self._prefixes if path.endswith('/') else self._exact
            table[method, path] = function
            return function

        return decorate

    def dispatch(self, owner, exchange):
        """Call the function that a request is routed to.

        Args:
          owner: The object whose method the function is.
          exchange: An Exchange.
        Raises:
          RequestRefused: If there is no such path.
        """
        function = self._exact.get((exchange.method, exchange.path))
        if function is None:
            function = self._find_prefix(exchange)
        if function is None:
            raise RequestRefused(
                HTTPStatus.NOT_FOUND,
                'no_such_path',
                f'there is no {exchange.method} {exchange.path}',
            )
        function(owner, exchange)

    def _find_prefix(self, exchange):
        for (method, prefix), function in self._prefixes.items():
            if method == exchange.method and exchange.path.startswith(prefix):
                return function
        return None


def read_json(exchange):
    """Return the body of a request as a map.

    Args:
      exchange: An Exchange.
    Raises:
      RequestRefused: If the body is not a JSON map.
    """
    try:
        document = orjson.loads(exchange.body)
    except orjson.JSONDecodeError as exc:
        raise RequestRefused(
            HTTPStatus.BAD_REQUEST,
            'bad_json',
            f'the body is not JSON: {exc}',
        ) from exc
    if not isinstance(document, dict):
        raise RequestRefused(
            HTTPStatus.BAD_REQUEST,
            'bad_json',
            'the body is not a JSON map',
        )
    return document


def read_query(exchange):
    """Return the query of a request as a map of strings; the last one wins.

    Args:
      exchange: An Exchange.
    """
    pairs = parse_qsl(exchange.query, keep_blank_values=True)
    return dict(pairs)
