"""Routes by host and longest path prefix, with weighted splits over pools."""

import xxhash

from crankchute.core.forward_job import Repeat

_SEGMENT = '/'
_DIGEST_BITS = 64  # noqa: WPS432
#: One more than the largest digest of eight bytes.
_DIGEST_RANGE = float(1 << _DIGEST_BITS)


class PoolShare:
    """A pool and its weight among those of a route."""

    __slots__ = ('pool', 'weight')

    def __init__(self, pool, weight):
        """Create the share.

        Args:
          pool: The pool's name.
          weight: A number, not negative.
        """
        self.pool = pool
        self.weight = weight


class Route:
    """How requests of a host and path prefix are served.

    Attributes:
      name: The route's name.
      host: The host, in lower case.
      prefix: The path prefix; begins and ends with a slash.
      shares: A tuple of PoolShare.
      repeat: A Repeat.
      is_stream: Whether answers are streams of events, a bool.
      is_open: Whether requests need no key, a bool.
      timeout_ms: The longest time to hold a request, in milliseconds.
      goal_ms: The time within which an answer has its full worth.
      gap_ms: The longest pause between events of full worth, or None.
      priority: 0 (first) to 9.
      max_attempts: To how many servers a request may be sent.
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
    def may_repeat(self):
        """Whether its requests may start more than once, a bool."""
        return self.repeat != Repeat.ONCE

    def choose_pool(self, request_id):
        """Choose the pool of a request by the weights of the split.

        The same request gets the same pool at every instance.

        Args:
          request_id: The request's id, a string.
        Returns:
          The pool's name, or None if no pool has weight.
        """
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        digest = xxhash.xxh64_intdigest(request_id.encode())
        place = digest / _DIGEST_RANGE * total
        for share in self.shares:
            if place < share.weight:
                return share.pool
            place -= share.weight
        return self.shares[-1].pool


class RouteTable:
    """Finds the route of a request."""

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
        """Return the route whose prefix is the longest that begins the path.

        Args:
          host: The host asked for, with or without a port.
          path: The path, without its query.
        Returns:
          A Route, or None.
        """
        name = host.partition(':')[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = path.rfind(_SEGMENT)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SEGMENT, 0, end)
        return None
