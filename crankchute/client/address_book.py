"""Which entry instances a caller uses, kept for the answer's time to live."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import build_request
from crankchute.ports.http import WholeResponse
from crankchute.settings import read_address

_ASK_MS = 1000
_PAUSE_MS = 150


class Binding:
    """The incarnation that answered, and its clock at that time.

    Attributes:
      address: Its pair of IP number and port.
      longest_ms: The longest life of a key, in milliseconds.
    """

    __slots__ = (
        '_asked_ms',
        '_boot',
        '_instance',
        '_now_ms',
        'address',
        'longest_ms',
    )

    def __init__(self, document, asked_ms):
        """Create the record.

        Args:
          document: The `binding` of an address answer.
          asked_ms: When the answer was asked for, on the caller's clock.
        """
        self._instance = document['instance']
        self._boot = document['boot']
        self._now_ms = document['now_ms']
        self._asked_ms = asked_ms
        self.address = read_address(document['address'])
        self.longest_ms = document['longest_ms']

    def make_key(self, nonce, life_ms, now_ms):
        """Return the text of a key bound to this incarnation.

        Args:
          nonce: A string without a dot, unique for the caller.
          life_ms: How long the key may be submitted.
          now_ms: The time on the caller's clock.
        """
        life_ms = min(life_ms, self.longest_ms / 2)
        expiry_ms = int(self._now_ms + now_ms - self._asked_ms + life_ms)
        return f'{self._instance}.{self._boot}.{expiry_ms}.{nonce}'


class AddressBook:
    """Asks for addresses when the answer at hand is too old."""

    def __init__(self, client, timers, random, seeds, account):
        """Create an empty book.

        Args:
          client: An HttpClient.
          timers: A TimerService.
          random: A random.Random.
          seeds: Pairs of IP number and port that may be asked first.
          account: The client account's name.
        """
        self._client = client
        self._timers = timers
        self._random = random
        self._seeds = list(seeds)
        self._account = account
        self._addresses = []
        self._valid_until_ms = 0
        self._asking = False
        self._waiting = []
        self._distrusted = {}
        self.binding = None

    def get(self, on_address):
        """Call back with an address to use now.

        Args:
          on_address: A function of a pair of IP number and port.
        """
        self._waiting.append(on_address)
        if self._is_valid():
            self._serve()
        elif not self._asking:
            self._ask()

    def distrust(self, address):
        """Leave an address out for a while, as after a refused connection."""
        self._distrusted[address] = self._now_ms() + _ASK_MS
        if self.binding is not None and self.binding.address == address:
            self._valid_until_ms = 0
        if not self._trusted(self._addresses):
            self._valid_until_ms = 0

    def expire(self):
        """Ask anew before the next use."""
        self._valid_until_ms = 0

    def other_addresses(self, address):
        """Return the known addresses but one, a list in random order."""
        others = [one for one in self._addresses if one != address]
        self._random.shuffle(others)
        return others

    def record_answer(self, document, asked_ms):
        """Take an address answer.

        Args:
          document: The answer's map.
          asked_ms: When it was asked for.
        """
        self._asking = False
        self._addresses = [
            read_address(one['address']) for one in document['addresses']
        ]
        self.binding = Binding(document['binding'], asked_ms)
        if not self._addresses:
            self._addresses = [self.binding.address]
        self._valid_until_ms = self._now_ms() + document['ttl_ms']
        self._serve()

    def record_failure(self, address):
        """Ask another address after a pause."""
        self._distrusted[address] = self._now_ms() + _ASK_MS
        self._timers.after(_PAUSE_MS, self._ask)

    def _is_valid(self):
        return bool(self._addresses) and self._now_ms() < self._valid_until_ms

    def _serve(self):
        waiting = self._waiting
        self._waiting = []
        for on_address in waiting:
            trusted = self._trusted(self._addresses) or self._addresses
            on_address(self._random.choice(trusted))

    def _ask(self):
        self._asking = True
        known = {*self._addresses, *self._seeds}
        trusted = self._trusted(known) or list(known)
        address = self._random.choice(sorted(trusted))
        path = f'/v1/addresses?account={self._account}'
        payload = build_request('GET', address, path)
        question = _Question(self, address, self._now_ms())
        sink = WholeResponse(question.on_response, question.on_failure)
        question.call = self._client.send(address, payload, sink)
        self._timers.after(_ASK_MS, question.on_silence)

    def _trusted(self, addresses):
        now_ms = self._now_ms()
        return [
            one for one in addresses if self._distrusted.get(one, 0) <= now_ms
        ]

    def _now_ms(self):
        return self._timers.clock.now_ms()


class _Question:
    """One request for addresses."""

    __slots__ = ('_address', '_asked_ms', '_book', '_done', 'call')

    def __init__(self, book, address, asked_ms):
        self._book = book
        self._address = address
        self._asked_ms = asked_ms
        self._done = False
        self.call = None

    def on_response(self, status, body):
        if self._done:
            return
        self._done = True
        if status == HTTPStatus.OK:
            self._book.record_answer(orjson.loads(body), self._asked_ms)
        else:
            self._book.record_failure(self._address)

    def on_failure(self, _exc):
        if not self._done:
            self._done = True
            self._book.record_failure(self._address)

    def on_silence(self):
        if not self._done:
            self._done = True
            self.call.cancel()
            self._book.record_failure(self._address)
