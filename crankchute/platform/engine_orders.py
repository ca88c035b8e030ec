"""Sends memory reservation orders to engines; implements ReservationPort."""

from http import HTTPStatus

import orjson

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.core.reservations import ReservationPort
from crankchute.platform.answer_attribution import RequestIdAttribution
from crankchute.platform.wire import ORDER_PATH, TARGET_INCARNATION
from crankchute.ports.http import WholeResponse

#: Timeout of an order to reserve memory.  It is short because a request waits
#: for the reservation, and data centres are only milliseconds apart.
_RESERVE_TIMEOUT_MS = 250
_MAX_IDLE_MS = 8000
_SUCCESS_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


class EngineOrders(ReservationPort):
    """Sends reservation orders over HTTP."""

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
        self._send_order(helper, document, _RESERVE_TIMEOUT_MS, on_done)

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""
        document = {'op': 'release', 'id': helper.ticket}
        self._send_order(
            helper,
            document,
            timeout_ms,
            lambda is_accepted: on_done(is_accepted is not None),
        )

    def _send_order(self, helper, document, timeout_ms, on_done):
        """Send an order.

        on_done gets True if it was accepted, False if it was refused, or None
        if there was no response within timeout_ms.
        """
        pending = _PendingOrder(on_done)
        backend = helper.backend
        request = build_request(
            'POST',
            backend.listed.address,
            ORDER_PATH,
            orjson.dumps(document),
            (
                ('Content-Type', 'application/json'),
                (TARGET_INCARNATION, backend.listed.listed_id),
            ),
        )

        def on_response(status, _body):
            if status == HTTPStatus.MISDIRECTED_REQUEST:
                self._calls.listener.record_moved(backend)
            pending.finish(status in _SUCCESS_STATUSES)

        sink = WholeResponse(on_response, lambda _exc: pending.finish(None))
        options = CallOptions(
            idle_ms=_MAX_IDLE_MS,
            connect_ms=timeout_ms,
            attribution=RequestIdAttribution(),
        )
        pending.timeout_timer = self._timers.after(
            timeout_ms,
            pending.on_timeout,
        )
        pending.call = self._calls.send(backend, request, sink, options)


class _PendingOrder:
    """An order that is waiting for its response."""

    __slots__ = ('_on_done', 'call', 'timeout_timer')

    def __init__(self, on_done):
        self._on_done = on_done
        self.call = None
        self.timeout_timer = None

    def finish(self, is_accepted):
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            self.timeout_timer.cancel()
            on_done(is_accepted)

    def on_timeout(self):
        if self.call is not None:
            self.call.cancel()
        self.finish(None)
