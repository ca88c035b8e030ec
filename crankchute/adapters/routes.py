"""Routing of HTTP requests to functions by method and path."""

from http import HTTPStatus
from urllib.parse import parse_qsl

import orjson

from crankchute.errors import RequestRefused


class Routes:
    """A registry of exact paths and path prefixes."""

    def __init__(self):
        """Create an empty registry."""
        self._exact = {}
        self._prefixes = {}

    def add(self, method, path):
        """Return a decorator that registers a method for requests.

        Args:
          method: The HTTP method.
          path: The path; one that ends in a slash matches as a prefix.
        """

        def decorate(function):
            table = self._prefixes if path.endswith('/') else self._exact
            table[method, path] = function
            return function

        return decorate

    def dispatch(self, owner, exchange):
        """Call the function that is registered for a request.

        Args:
          owner: The object on which the function is called.
          exchange: An Exchange.
        Raises:
          RequestRefused: If no route matches.
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
    """Return the query of a request as a map; the last duplicate wins.

    Args:
      exchange: An Exchange.
    """
    pairs = parse_qsl(exchange.query, keep_blank_values=True)
    return dict(pairs)
