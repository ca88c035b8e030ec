"""Orders to the platform's engines: the adapter of ReservationPort."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.core.reservations import ReservationPort
from crankchute.platform.wire import ORDER_PATH
from crankchute.ports.http import WholeResponse

#: How long an order may go unanswered; zones are a millisecond apart.
_ORDER_MS = 250
_CONNECT_MS = 200
_IDLE_MS = 8000
_DONE = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


class EngineOrders(ReservationPort):
    """Sends orders over HTTP."""

    def __init__(self, client, timers):
        """Create the adapter.

        Args:
          client: An HttpClient.
          timers: A TimerService.
        """
        self._client = client
        self._timers = timers

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""
        document = {
            'op': 'reserve',
            'id': helper.ticket,
            'token-count': helper.tokens,
            'hold-ms': hold_ms,
        }
        self._order(helper, document, on_done)

    def release(self, helper, on_done):
        """See ReservationPort."""
        document = {'op': 'release', 'id': helper.ticket}
        self._order(
            helper,
            document,
            lambda is_done: on_done(is_done is not None),
        )

    def _order(self, helper, document, on_done):
        """Send an order and tell one end: done, refused, or no answer."""
        pending = _Pending(on_done)
        address = helper.backend.listed.address
        payload = build_request(
            'POST',
            address,
            ORDER_PATH,
            orjson.dumps(document),
            (('Content-Type', 'application/json'),),
        )
        sink = WholeResponse(
            lambda status, _body: pending.end(status in _DONE),
            lambda _exc: pending.end(None),
        )
        options = CallOptions(idle_ms=_IDLE_MS, connect_ms=_CONNECT_MS)
        pending.guard = self._timers.after(_ORDER_MS, pending.time_out)
        pending.call = self._client.send(address, payload, sink, options)


class _Pending:
    """An order that was sent and not answered."""

    __slots__ = ('_on_done', 'call', 'guard')

    def __init__(self, on_done):
        self._on_done = on_done
        self.call = None
        self.guard = None

    def end(self, is_done):
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            self.guard.cancel()
            on_done(is_done)

    def time_out(self):
        if self.call is not None:
            self.call.cancel()
        self.end(None)
