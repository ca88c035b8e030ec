"""A stand-in for an engine of the platform, for tests without the bench.

It answers requests, reports and orders as the platform's engines do: it runs
only what is meant for its incarnation, streams events with rising ids, goes on
after an event that the caller has, and takes part in joint reading with
memory that was set aside before.  It answers at once, so tests wait for
nothing; what it saw is kept for them.
"""

import enum
from collections import deque
from http import HTTPStatus

import orjson

from crankchute.adapters.forward_server import ForwardServer
from crankchute.platform.standin_words import write_words
from crankchute.platform.wire import (
    FAULTY_SERVER,
    HELPERS,
    LAST_EVENT,
    NOT_RUN,
    ORDER_PATH,
    REPORT_PATH,
    REQUEST_ID,
    SIGNATURE,
    TARGET_INCARNATION,
    TOKEN_USAGE,
)

#: When the engines started first, a Unix millisecond.
_FIRST_START = 1_788_242_912_000
_LOOPBACK = '127.0.0.1'
_IDLE_MS = 60_000
#: Where it tells whether it is well.
HEALTH_PATH = '/healthz'
#: How many events an answer has, unless a test says otherwise.
EVENTS = 5
#: After how many events an answer that is broken off ends.
_BEFORE_BREAK = 2


class Behaviour(enum.Enum):
    """What an engine does with the next request instead of answering it."""

    FULL = 'full'
    SILENT = 'silent'
    BREAK_OFF = 'break off'
    CLOSE = 'close'


class Run:
    """A request that an engine began to work on.

    Attributes:
      request_id: The id it came with.
      first_event: The number of the first event that was written.
      tickets: The ids of the memory that it used, a list.
    """

    __slots__ = ('first_event', 'request_id', 'tickets')

    def __init__(self, request_id, first_event, tickets):
        """Create the record.

        Args:
          request_id: A string.
          first_event: An int.
          tickets: A list of strings.
        """
        self.request_id = request_id
        self.first_event = first_event
        self.tickets = tickets


class Share:
    """A part in a joint read, as a request names it.

    Attributes:
      address: The helping engine's "IP:port".
      ticket: The id of memory that is set aside there, or None.
    """

    __slots__ = ('address', 'ticket')

    def __init__(self, text):
        """Read one entry of the header.

        Args:
          text: "IP:port" or "IP:port/ticket".
        """
        address, _slash, ticket = text.partition('/')
        self.address = address
        self.ticket = ticket or None


class StandinEngine:
    """One engine on loopback.

    Attributes:
      identity: The id to which it answers; a restart keeps it.
      born: When it started, a Unix millisecond.
      memory_tokens: How many tokens of KV memory it has.
      tickets: A map from the ids of memory set aside to tokens.
      runs: Runs, a list.
      next_behaviours: Behaviours of the next requests, a deque.
      answers_orders: Whether it answers orders, a bool.
      ends_on: Bodies of requests under which its process ends, a set.
      is_up: Whether its process runs, a bool.
      is_leaving: Whether it says in all its answers that it leaves, a bool.
      rest: What it says in Retry-After as it turns everything away, a string,
        or None while it takes what comes.
      limits: What it names as its limit in all its answers, strings, a header
        each; none while it takes what comes.
      arrivals: How many requests reached it, an int.
      reached_ms: When anything reached it, requests, orders and questions, a
        list of moments on the loop's clock.
      questions: How many questions for its report or its health did, an int.
    """

    def __init__(self, loop, identity, engines, memory_tokens):
        """Start to listen.

        Args:
          loop: The Loop.
          identity: A string.
          engines: A map from address to engine, which this one joins.
          memory_tokens: An int.
        """
        self._engines = engines
        self._clock = loop.timers.clock
        self._server = ForwardServer(
            (_LOOPBACK, 0),
            self._on_request,
            loop.timers,
            channel=identity,
            idle_ms=_IDLE_MS,
        ).register(loop)
        self._sequence = 0
        self._used = set()
        self.identity = identity
        self.born = _FIRST_START
        self.memory_tokens = memory_tokens
        self.tickets = {}
        self.runs = []
        self.next_behaviours = deque()
        self.answers_orders = True
        self.ends_on = set()
        self.is_up = True
        self.is_leaving = False
        self.rest = None
        self.limits = ()
        self.arrivals = 0
        self.reached_ms = []
        self.questions = 0
        engines[self.address] = self

    @property
    def address(self):
        """Where it listens, "IP:port"."""
        return f'{_LOOPBACK}:{self._server.port}'

    def restart(self):
        """Start again under the same id, and know nothing of before."""
        self.born += 1
        self._sequence = 0
        self._used = set()
        self.tickets = {}

    def crash(self):
        """End the process: nobody listens, and connections are closed."""
        self.is_up = False
        self._server.close()

    def use(self, ticket):
        """Take memory that was set aside into use.

        Args:
          ticket: Its id.
        Returns:
          How many tokens it is, or None if there is none or it is in use.
        """
        if ticket in self._used or ticket not in self.tickets:
            return None
        self._used.add(ticket)
        return self.tickets[ticket]

    def put_back(self, ticket):
        """End the use of memory, which stays set aside.

        Args:
          ticket: Its id.
        """
        self._used.discard(ticket)

    def _on_request(self, exchange):
        self.reached_ms.append(self._clock.now_ms())
        if exchange.target == ORDER_PATH:
            take = self._take_order
        elif exchange.target in {REPORT_PATH, HEALTH_PATH}:
            take = self._take_question
            self.questions += 1
        else:
            take = self._take_work
            self.arrivals += 1
        if self.rest is None:
            take(exchange)
        else:
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, self)

    def _take_question(self, exchange):
        self._answer(exchange, HTTPStatus.OK, self._report())

    def _answer(self, exchange, status, document):
        exchange.reply_json(status, document, write_words(self))

    def _report(self):
        return {
            'born': self.born,
            'waiting': 0,
            'running': len(self._used),
            'sequence': self._sequence,
            'kv-used': sum(self.tickets.values()),
            'kv-total': self.memory_tokens,
            'tickets': [
                {'id': ticket, 'token-count': tokens}
                for ticket, tokens in self.tickets.items()
            ],
        }

    def _take_order(self, exchange):
        if not self.answers_orders:
            return
        order = orjson.loads(exchange.body)
        if order['op'] == 'release':
            self.tickets.pop(order['id'], None)
            self._answer(exchange, HTTPStatus.OK, {})
            return
        tokens = order['token-count']
        renewed = self.tickets.get(order['id'], 0)
        free = self.memory_tokens + renewed - sum(self.tickets.values())
        if tokens > free:
            self._answer(exchange, HTTPStatus.CONFLICT, {})
            return
        self.tickets[order['id']] = tokens
        self._answer(exchange, HTTPStatus.OK, {'free': free - tokens})

    def _take_work(self, exchange):
        if exchange.header(TARGET_INCARNATION) not in {None, self.identity}:
            self._reject(exchange, HTTPStatus.MISDIRECTED_REQUEST, self)
            return
        behaviour = None
        if self.next_behaviours:
            behaviour = self.next_behaviours.popleft()
        if behaviour == Behaviour.FULL:
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, self)
            return
        shares = _read_shares(exchange.header(HELPERS))
        taken = []
        faulty = self._take_memory(exchange, shares, taken)
        if faulty is not None:
            self._put_back(taken)
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, faulty)
            return
        self._run(exchange, shares, behaviour)

    def _take_memory(self, exchange, shares, taken):
        """Take the tickets of a request into use.

        Args:
          exchange: A ForwardExchange.
          shares: Shares.
          taken: A list to which the Shares are added whose tickets are used.
        Returns:
          The engine that lacks what the request needs, or None.
        """
        needed = _count_tokens(exchange.header(TOKEN_USAGE))
        lent = 0
        for share in shares:
            helper = self._engines.get(share.address)
            if helper is None:
                return self
            if share.ticket is not None:
                tokens = helper.use(share.ticket)
                if tokens is None:
                    return helper
                taken.append(share)
                lent += tokens
        return self if needed - lent > self.memory_tokens else None

    def _reject(self, exchange, status, faulty):
        headers = [
            (REQUEST_ID, exchange.header(REQUEST_ID) or ''),
            (NOT_RUN, 'true'),
            (FAULTY_SERVER, faulty.address),
            *write_words(self),
        ]
        exchange.reply(status, b'', headers)

    def _run(self, exchange, shares, behaviour):
        resumed = exchange.header(LAST_EVENT)
        first = 0 if resumed is None else int(resumed) + 1
        tickets = [one.ticket for one in shares if one.ticket is not None]
        request_id = exchange.header(REQUEST_ID)
        self.runs.append(Run(request_id, first, tickets))
        if exchange.body in self.ends_on:
            self.crash()
            return
        if behaviour == Behaviour.SILENT:
            return
        if behaviour == Behaviour.CLOSE:
            exchange.abort()
        else:
            self._write(exchange, first, behaviour)
        self._put_back([one for one in shares if one.ticket is not None])

    def _put_back(self, shares):
        for share in shares:
            self._engines[share.address].put_back(share.ticket)

    def _write(self, exchange, first, behaviour):
        headers = [
            (REQUEST_ID, exchange.header(REQUEST_ID)),
            (SIGNATURE, self.identity),
            ('Content-Type', 'text/event-stream'),
            *write_words(self),
        ]
        exchange.start(HTTPStatus.OK, headers)
        is_broken = behaviour == Behaviour.BREAK_OFF
        last = first + _BEFORE_BREAK if is_broken else EVENTS
        for number in range(first, last):
            exchange.send(b'id: %d\ndata: piece %d\n\n' % (number, number))
        if is_broken:
            exchange.abort()
        else:
            exchange.finish()


def _count_tokens(text):
    """Return how much memory a request needs; one of a plain server none."""
    return sum(int(part) for part in text.split(',')) if text else 0


def _read_shares(text):
    return [] if text is None else [Share(one) for one in text.split(',')]
