"""A simulated engine of the platform for tests in one process.

It implements the platform's protocol: it rejects requests for another
incarnation, streams events with increasing ids, resumes a stream after the
last event of the caller, reports its state, and reserves memory on order.
Prompts can span the reserved memory of several engines.  It responds without
delay and records the requests that it received.
"""

import enum
from collections import deque
from http import HTTPStatus

import orjson

from crankchute.adapters.forward_server import ForwardServer
from crankchute.platform.standin_words import make_state_headers
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

#: The first start of every engine, in Unix milliseconds.
_FIRST_START = 1_788_242_912_000
_LOOPBACK = '127.0.0.1'
_IDLE_MS = 60_000
#: The path of the health check.
HEALTH_PATH = '/healthz'
#: The number of events in a complete response.
EVENTS = 5
#: The number of events before a response is aborted.
_EVENTS_BEFORE_ABORT = 2


_FILLER = bytes(65_536)  # noqa: WPS432  (64 KiB)
_FILLER_CHUNKS = 256


class Behaviour(enum.Enum):
    """How an engine fails the next request."""

    FULL = 'full'
    SILENT = 'silent'
    BREAK_OFF = 'break off'
    CLOSE = 'close'
    #: The answer has no end, and a stream no event.
    ENDLESS = 'endless'
    #: The answer waits for answer_delayed().
    DELAYED = 'delayed'


class Run:
    """A request that an engine started to process.

    Attributes:
      request_id: The id in its header.
      first_event: The number of the first event in the response.
      tickets: The ids of the memory reservations that it used, a list.
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


class HelperShare:
    """The part of another engine in a request that spans several engines.

    Attributes:
      address: The helping engine's "IP:port".
      ticket: The id of the memory reservation there, or None.
    """

    __slots__ = ('address', 'ticket')

    def __init__(self, text):
        """Parse an element of the header.

        Args:
          text: "IP:port" or "IP:port/ticket".
        """
        address, _slash, ticket = text.partition('/')
        self.address = address
        self.ticket = ticket or None


class StandinEngine:
    """A simulated engine on the loopback interface.

    Attributes:
      identity: Its id; a restart keeps it.
      born: The time of its start, in Unix milliseconds.
      memory_tokens: The size of its KV memory in tokens.
      tickets: The memory reservations, a map from id to tokens.
      runs: The Runs that it started, a list.
      next_behaviours: Behaviours of the next requests, a deque.
      answers_orders: Whether it responds to orders, a bool.
      ends_on: The bodies of requests that crash it, a set.
      is_up: Whether it is running, a bool.
      is_leaving: Whether its responses say that it is draining, a bool.
      rest: The Retry-After header with which it rejects all requests, a
        string, or None if it accepts them.
      limits: The texts of the limit headers in its responses; empty for none.
      cold_ms: The text of the header with its cold time, or None for none.
      arrivals: The number of requests received, an int.
      reached_ms: The times at which requests, orders and probes arrived, on
        the loop's clock, a list.
      probes: The number of health checks and report queries received, an int.
    """

    def __init__(self, loop, identity, engines, memory_tokens):
        """Start the server.

        Args:
          loop: The Loop.
          identity: A string.
          engines: A map from address to engine; this one is added.
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
        self.cold_ms = None
        self.arrivals = 0
        self.reached_ms = []
        self._delayed = []
        self.probes = 0
        engines[self.address] = self

    @property
    def address(self):
        """The address that it listens on, "IP:port"."""
        return f'{_LOOPBACK}:{self._server.port}'

    @property
    def open_requests(self):
        """The number of requests and orders that it is answering."""
        return self._server.open_exchanges

    def answer_delayed(self):
        """Answer the requests whose answers are delayed."""
        for exchange, first in self._delayed:
            self._write(exchange, first, None)
        self._delayed = []

    def restart(self):
        """Restart with the same id and empty memory."""
        self.born += 1
        self._sequence = 0
        self._used = set()
        self.tickets = {}

    def crash(self):
        """Stop listening and close all connections."""
        self.is_up = False
        self._server.close()

    def acquire(self, ticket):
        """Mark a memory reservation as in use.

        Args:
          ticket: The id of the reservation.
        Returns:
          Its size in tokens, or None if it is unknown or already in use.
        """
        if ticket in self._used or ticket not in self.tickets:
            return None
        self._used.add(ticket)
        return self.tickets[ticket]

    def release(self, ticket):
        """Mark a memory reservation as unused; it stays reserved.

        Args:
          ticket: The id of the reservation.
        """
        self._used.discard(ticket)

    def _on_request(self, exchange):
        self.reached_ms.append(self._clock.now_ms())
        if exchange.target == ORDER_PATH:
            process = self._process_order
        elif exchange.target in {REPORT_PATH, HEALTH_PATH}:
            process = self._process_probe
            self.probes += 1
        else:
            process = self._process_request
            self.arrivals += 1
        target = exchange.header(TARGET_INCARNATION)
        if target is not None and target != self.identity:
            self._reject(exchange, HTTPStatus.MISDIRECTED_REQUEST, self)
        elif self.rest is None:
            process(exchange)
        else:
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, self)

    def _process_probe(self, exchange):
        self._reply(exchange, HTTPStatus.OK, self._report())

    def _reply(self, exchange, status, document):
        exchange.reply_json(status, document, make_state_headers(self))

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

    def _process_order(self, exchange):
        if not self.answers_orders:
            return
        order = orjson.loads(exchange.body)
        if order['op'] == 'release':
            self.tickets.pop(order['id'], None)
            self._reply(exchange, HTTPStatus.OK, {})
            return
        tokens = order['token-count']
        held = self.tickets.get(order['id'], 0)
        free = self.memory_tokens + held - sum(self.tickets.values())
        if tokens > free:
            self._reply(exchange, HTTPStatus.CONFLICT, {})
            return
        self.tickets[order['id']] = tokens
        self._reply(exchange, HTTPStatus.OK, {'free': free - tokens})

    def _process_request(self, exchange):
        behaviour = None
        if self.next_behaviours:
            behaviour = self.next_behaviours.popleft()
        if behaviour == Behaviour.FULL:
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, self)
            return
        shares = _parse_shares(exchange.header(HELPERS))
        acquired = []
        faulty = self._acquire_memory(exchange, shares, acquired)
        if faulty is not None:
            self._release_all(acquired)
            self._reject(exchange, HTTPStatus.SERVICE_UNAVAILABLE, faulty)
            return
        self._run(exchange, shares, behaviour)

    def _acquire_memory(self, exchange, shares, acquired):
        """Acquire the reservations that a request names.

        Args:
          exchange: A ForwardExchange.
          shares: HelperShares.
          acquired: A list to which those with an acquired reservation are
            added.
        Returns:
          The engine that lacks the memory, or None.
        """
        needed = _count_tokens(exchange.header(TOKEN_USAGE))
        helper_tokens = 0
        for share in shares:
            helper = self._engines.get(share.address)
            if helper is None:
                return self
            if share.ticket is not None:
                tokens = helper.acquire(share.ticket)
                if tokens is None:
                    return helper
                acquired.append(share)
                helper_tokens += tokens
        return self if needed - helper_tokens > self.memory_tokens else None

    def _reject(self, exchange, status, faulty):
        headers = [
            (REQUEST_ID, exchange.header(REQUEST_ID) or ''),
            (NOT_RUN, 'true'),
            (FAULTY_SERVER, faulty.address),
            *make_state_headers(self),
        ]
        exchange.reply(status, b'', headers)

    def _run(self, exchange, shares, behaviour):
        last_event = exchange.header(LAST_EVENT)
        first = 0 if last_event is None else int(last_event) + 1
        tickets = [share.ticket for share in shares if share.ticket is not None]
        request_id = exchange.header(REQUEST_ID)
        self.runs.append(Run(request_id, first, tickets))
        if exchange.body in self.ends_on:
            self.crash()
            return
        if behaviour == Behaviour.SILENT:
            return
        if behaviour == Behaviour.DELAYED:
            self._delayed.append((exchange, first))
            return
        if behaviour == Behaviour.CLOSE:
            exchange.abort()
        elif behaviour == Behaviour.ENDLESS:
            self._write_filler(exchange)
        else:
            self._write(exchange, first, behaviour)
        self._release_all(
            [share for share in shares if share.ticket is not None],
        )

    def _release_all(self, shares):
        for share in shares:
            self._engines[share.address].release(share.ticket)

    def _write_filler(self, exchange):
        """Write far more than an answer may hold, without ending it."""
        headers = [
            (REQUEST_ID, exchange.header(REQUEST_ID)),
            (SIGNATURE, self.identity),
        ]
        exchange.start(HTTPStatus.OK, headers)
        for _ in range(_FILLER_CHUNKS):
            exchange.send(_FILLER)

    def _write(self, exchange, first, behaviour):
        headers = [
            (REQUEST_ID, exchange.header(REQUEST_ID)),
            (SIGNATURE, self.identity),
            ('Content-Type', 'text/event-stream'),
            *make_state_headers(self),
        ]
        exchange.start(HTTPStatus.OK, headers)
        is_aborted = behaviour == Behaviour.BREAK_OFF
        last = first + _EVENTS_BEFORE_ABORT if is_aborted else EVENTS
        for number in range(first, last):
            exchange.send(b'id: %d\ndata: piece %d\n\n' % (number, number))
        if is_aborted:
            exchange.abort()
        else:
            exchange.finish()


def _count_tokens(text):
    """Return the tokens that a request needs, 0 if its header names none."""
    return sum(int(part) for part in text.split(',')) if text else 0


def _parse_shares(text):
    return (
        [] if text is None else [HelperShare(part) for part in text.split(',')]
    )
