"""Routing by host and longest path prefix, with weighted pool splits."""

import xxhash

from crankchute.core.forward_job import RetryMode

_SEPARATOR = '/'
_DIGEST_BITS = 64  # noqa: WPS432
#: The number of 64-bit digests.
_DIGEST_RANGE = float(1 << _DIGEST_BITS)


class PoolShare:
    """A pool of a route and its weight."""

    __slots__ = ('pool', 'weight')

    def __init__(self, pool, weight):
        """Create the share.

        Args:
          pool: The pool's name.
          weight: A non-negative number.
        """
        self.pool = pool
        self.weight = weight


class Route:
    """How requests for a host and path prefix are served.

    Attributes:
      name: The route's name.
      host: The host, in lower case.
      prefix: The path prefix; begins and ends with a slash.
      shares: A tuple of PoolShare.
      repeat: A RetryMode.
      is_stream: Whether answers are event streams, a bool.
      is_open: Whether requests need no API key, a bool.
      timeout_ms: The maximum duration of a request, in milliseconds.
      goal_ms: The latency goal of an answer, in milliseconds.
      gap_ms: The goal for the time between events, or None.
      priority: From 0 (highest) to 9.
      max_attempts: The maximum number of servers a request is sent to.
    """

    __slots__ = (
        'gap_ms',
        'goal_ms',
        'host',
        'is_open',
        'is_stream',
        'max_attempts',
        'name',
        'prefix',
        'priority',
        'repeat',
        'shares',
        'timeout_ms',
    )

    def __init__(self, **fields):
        """Create the route.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def may_retry(self):
        """Whether its requests may be retried after they started, a bool."""
        return self.repeat != RetryMode.ONCE

    def choose_pool(self, request_id):
        """Choose the pool of a request by weight.

        All instances choose the same pool for a request id.

        Args:
          request_id: The request's id, a string.
        Returns:
          The pool's name, or None if no pool has weight.
        """
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        digest = xxhash.xxh64_intdigest(request_id.encode())
        position = digest / _DIGEST_RANGE * total
        for share in self.shares:
            if position < share.weight:
                return share.pool
            position -= share.weight
        return self.shares[-1].pool


class RouteTable:
    """Looks up the route of a request."""

    def __init__(self, routes):
        """Index the routes.

        Args:
          routes: An iterable of Route.
        """
        self._by_host = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host, path):
        """Return the route with the longest matching path prefix.

        Args:
          host: The requested host, with or without a port.
          path: The path, without its query.
        Returns:
          A Route, or None.
        """
        name = host.partition(':')[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = path.rfind(_SEPARATOR)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SEPARATOR, 0, end)
        return None
