"""Discovery of entry instances, cached for the time to live of the answer."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.ports.http import WholeResponse
from crankchute.settings import read_address

#: Timeout of an address query; also how long a failed address is avoided.
_QUERY_TIMEOUT_MS = 1000
_RETRY_DELAY_MS = 150


class Binding:
    """The process that request keys are bound to, and its clock.

    Attributes:
      address: The IP address and port of the process, a pair.
      max_key_life_ms: The longest lifetime of a key, in milliseconds.
    """

    __slots__ = (
        '_boot',
        '_instance',
        '_queried_ms',
        '_server_now_ms',
        'address',
        'max_key_life_ms',
    )

    def __init__(self, document, queried_ms):
        """Create the binding.

        Args:
          document: The `binding` object of an address response.
          queried_ms: When the query was sent, on the client's clock.
        """
        self._instance = document['instance']
        self._boot = document['boot']
        self._server_now_ms = document['now_ms']
        self._queried_ms = queried_ms
        self.address = read_address(document['address'])
        self.max_key_life_ms = document['longest_ms']

    def format_key(self, nonce, life_ms, now_ms):
        """Return a request key that is bound to this process.

        Args:
          nonce: A string without a dot, unique for the client.
          life_ms: The requested lifetime of the key.
          now_ms: The time on the client's clock.
        """
        life_ms = min(life_ms, self.max_key_life_ms / 2)
        expiry_ms = int(
            self._server_now_ms + now_ms - self._queried_ms + life_ms,
        )
        return f'{self._instance}.{self._boot}.{expiry_ms}.{nonce}'


class AddressCache:
    """Queries the addresses of entry instances when the cached ones expire."""

    def __init__(self, client, timers, random, seeds, account):
        """Create an empty cache.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          random: A random.Random.
          seeds: Pairs of IP address and port for the first query.
          account: The client account's name.
        """
        self._client = client
        self._timers = timers
        self._random = random
        self._seeds = list(seeds)
        self._account = account
        self._addresses = []
        self._expiry_ms = 0
        self._is_querying = False
        self._waiters = []
        self._avoided_until_ms = {}
        self.binding = None

    def get(self, on_address):
        """Pass an address to a callback, after a query if none is cached.

        Args:
          on_address: A function of a pair of IP address and port.
        """
        self._waiters.append(on_address)
        if self._is_valid():
            self._notify_waiters()
        elif not self._is_querying:
            self._send_query()

    def mark_failed(self, address):
        """Avoid an address for a while, e.g. after a refused connection."""
        self._avoided_until_ms[address] = self._now_ms() + _QUERY_TIMEOUT_MS
        if self.binding is not None and self.binding.address == address:
            self._expiry_ms = 0
        if not self._select_usable(self._addresses):
            self._expiry_ms = 0

    def invalidate(self):
        """Send a new query before the next use."""
        self._expiry_ms = 0

    def other_addresses(self, address):
        """Return all cached addresses but one, in random order."""
        others = [other for other in self._addresses if other != address]
        self._random.shuffle(others)
        return others

    def on_query_response(self, document, queried_ms):
        """Store the response to a query.

        Args:
          document: The decoded response, a map.
          queried_ms: When the query was sent.
        """
        self._is_querying = False
        self._addresses = [
            read_address(listed['address']) for listed in document['addresses']
        ]
        self.binding = Binding(document['binding'], queried_ms)
        if not self._addresses:
            self._addresses = [self.binding.address]
        self._expiry_ms = self._now_ms() + document['ttl_ms']
        self._notify_waiters()

    def on_query_failure(self, address):
        """Query another address after a delay."""
        self._avoided_until_ms[address] = self._now_ms() + _QUERY_TIMEOUT_MS
        self._timers.after(_RETRY_DELAY_MS, self._send_query)

    def _is_valid(self):
        return bool(self._addresses) and self._now_ms() < self._expiry_ms

    def _notify_waiters(self):
        waiters = self._waiters
        self._waiters = []
        for on_address in waiters:
            usable = self._select_usable(self._addresses) or self._addresses
            on_address(self._random.choice(usable))

    def _send_query(self):
        self._is_querying = True
        known = {*self._addresses, *self._seeds}
        usable = self._select_usable(known) or list(known)
        address = self._random.choice(sorted(usable))
        path = f'/v1/addresses?account={self._account}'
        payload = build_request('GET', address, path)
        query = _AddressQuery(self, address, self._now_ms())
        sink = WholeResponse(query.on_response, query.on_failure)
        query.call = self._client.send(address, payload, sink)
        self._timers.after(_QUERY_TIMEOUT_MS, query.on_timeout)

    def _select_usable(self, addresses):
        now_ms = self._now_ms()
        return [
            address
            for address in addresses
            if self._avoided_until_ms.get(address, 0) <= now_ms
        ]

    def _now_ms(self):
        return self._timers.clock.now_ms()


class _AddressQuery:
    """One query for addresses."""

    __slots__ = ('_address', '_cache', '_is_done', '_sent_ms', 'call')

    def __init__(self, cache, address, sent_ms):
        self._cache = cache
        self._address = address
        self._sent_ms = sent_ms
        self._is_done = False
        self.call = None

    def on_response(self, status, body):
        if self._is_done:
            return
        self._is_done = True
        if status == HTTPStatus.OK:
            self._cache.on_query_response(orjson.loads(body), self._sent_ms)
        else:
            self._cache.on_query_failure(self._address)

    def on_failure(self, _exc):
        if not self._is_done:
            self._is_done = True
            self._cache.on_query_failure(self._address)

    def on_timeout(self):
        if not self._is_done:
            self._is_done = True
            self.call.cancel()
            self._cache.on_query_failure(self._address)
