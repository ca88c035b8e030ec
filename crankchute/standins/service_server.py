"""A plain service stand-in: bookings, holds and readings, counted by key."""

import secrets
from collections import Counter
from http import HTTPStatus

from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.routes import Routes, read_json
from crankchute.standins.faults import Fault, FaultMode, FaultyReplies

KEY_HEADER = 'Crankchute-Key'
NOT_RUN_HEADER = 'Crankchute-Not-Run'
routes = Routes()


class ServiceServer:
    """Executes calls and remembers how often each key was executed."""

    def __init__(self, loop, bind):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP number and port.
        """
        self._fault = Fault()
        self._replies = FaultyReplies(loop.timers, self._fault)
        self._executed = Counter()
        self._sums = Counter()
        self.http = HttpServer(
            bind,
            self._on_request,
            loop.timers,
            channel=f'service-{bind[1]}',
        ).register(loop)

    @routes.add('POST', '/bookings')
    @routes.add('POST', '/holds')
    @routes.add('POST', '/readings')
    def execute(self, exchange):
        """Execute a call that must not run twice."""
        fault = self._fault.take()
        if fault == FaultMode.REFUSE:
            exchange.reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'closed'},
                headers=[(NOT_RUN_HEADER, '1')],
            )
            return
        document = read_json(exchange)
        key = exchange.header(KEY_HEADER, secrets.token_hex(8))
        self._executed[key] += 1
        self._sums[exchange.path] += 1
        answer = {'done': exchange.path, 'key': key, 'echo': document}
        self._replies.send(exchange, answer, fault)

    @routes.add('GET', '/bookings')
    @routes.add('GET', '/holds')
    @routes.add('GET', '/readings')
    def read(self, exchange):
        """Answer how many were made; this may be repeated."""
        count = self._sums[exchange.path]
        self._replies.send(exchange, {'count': count}, self._fault.take())

    @routes.add('GET', '/admin/counts')
    def counts(self, exchange):
        """Tell how often each key was executed."""
        exchange.reply(HTTPStatus.OK, dict(self._executed))

    @routes.add('POST', '/admin/fault')
    def arrange_fault(self, exchange):
        """Take a fault."""
        self._fault.arrange(read_json(exchange))
        exchange.reply(HTTPStatus.OK, {})

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)
