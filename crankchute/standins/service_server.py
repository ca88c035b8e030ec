"""The service stand-in: bookings, holds and readings, counted by key."""

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
    """Executes calls and counts the executions of each idempotency key."""

    def __init__(self, loop, bind):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP address and port.
        """
        self._fault = Fault()
        self._replies = FaultyReplies(loop.timers, self._fault)
        self._executions_by_key = Counter()
        self._executions_by_path = Counter()
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
        """Execute a call that must run at most once."""
        fault = self._fault.next_mode()
        if fault == FaultMode.REFUSE:
            exchange.reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'closed'},
                headers=[(NOT_RUN_HEADER, '1')],
            )
            return
        document = read_json(exchange)
        key = exchange.header(KEY_HEADER, secrets.token_hex(8))
        self._executions_by_key[key] += 1
        self._executions_by_path[exchange.path] += 1
        answer = {'done': exchange.path, 'key': key, 'echo': document}
        self._replies.send(exchange, answer, fault)

    @routes.add('GET', '/bookings')
    @routes.add('GET', '/holds')
    @routes.add('GET', '/readings')
    def read_count(self, exchange):
        """Return how many calls were executed on this path."""
        count = self._executions_by_path[exchange.path]
        self._replies.send(exchange, {'count': count}, self._fault.next_mode())

    @routes.add('GET', '/admin/counts')
    def counts(self, exchange):
        """Return the number of executions by key, for tests."""
        exchange.reply(HTTPStatus.OK, dict(self._executions_by_key))

    @routes.add('POST', '/admin/fault')
    def configure_fault(self, exchange):
        """Set the fault to inject."""
        self._fault.configure(read_json(exchange))
        exchange.reply(HTTPStatus.OK, {})

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)
