"""Orders to the platform's engines: the adapter of ReservationPort."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.core.reservations import ReservationPort
from crankchute.platform.wire import ORDER_PATH
from crankchute.ports.http import WholeResponse

#: How long memory may take to be set aside; zones are a millisecond apart, and
#: a request waits for it.
_ORDER_MS = 250
_IDLE_MS = 8000
_DONE = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


class EngineOrders(ReservationPort):
    """Sends orders over HTTP."""

    def __init__(self, calls, timers):
        """Create the adapter.

        Args:
          calls: ServerCalls.
          timers: A TimerService.
        """
        self._calls = calls
        self._timers = timers

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""
        document = {
            'op': 'reserve',
            'id': helper.ticket,
            'token-count': helper.tokens,
            'hold-ms': hold_ms,
        }
        self._order(helper, document, _ORDER_MS, on_done)

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""
        document = {'op': 'release', 'id': helper.ticket}
        self._order(
            helper,
            document,
            timeout_ms,
            lambda is_done: on_done(is_done is not None),
        )

    def _order(self, helper, document, timeout_ms, on_done):
        """Send an order and tell one end: done, refused, or no answer."""
        pending = _Pending(on_done)
        payload = build_request(
            'POST',
            helper.backend.listed.address,
            ORDER_PATH,
            orjson.dumps(document),
            (('Content-Type', 'application/json'),),
        )
        sink = WholeResponse(
            lambda status, _body: pending.end(status in _DONE),
            lambda _exc: pending.end(None),
        )
        options = CallOptions(idle_ms=_IDLE_MS, connect_ms=timeout_ms)
        pending.guard = self._timers.after(timeout_ms, pending.time_out)
        pending.call = self._calls.send(
            helper.backend,
            payload,
            sink,
            options,
        )


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
