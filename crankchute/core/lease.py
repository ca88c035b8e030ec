"""Memory reserved at one engine, from the first order until it is free.

An order may be lost with its connection, overtaken by a later one, or executed
long after its sender gave it up.  An answered release therefore proves that the
memory is free only if no earlier order may still reserve it.
"""

from functools import partial

#: The names of orders in logs and metrics.
RESERVE = 'reserve'
RELEASE = 'release'
#: How often a reserve order is sent while none is answered, and at which
#: interval, in milliseconds.  Repeating it makes up for lost orders; an
#: answer usually takes some 5 ms.
_RESERVE_ATTEMPTS = 3
_RESERVE_RETRY_MS = 60
#: Timeout of all reserve attempts together, in milliseconds; another engine is
#: chosen after it.
_RESERVE_TIMEOUT_MS = 250
#: How long an engine keeps memory that is not renewed.  Shorter than the four
#: seconds after which unused memory counts as leaked, and longer than two
#: renewal intervals, so that a single lost renewal is harmless.
HOLD_MS = 3700
#: How long an unanswered order may still be executed; the platform documents
#: delays of at most twelve seconds.
_MAX_ORDER_DELAY_MS = 12_000
#: Delay before the first retry of an unanswered release, in milliseconds, and
#: before later ones.
_FIRST_RETRY_MS = 300
_RETRY_MS = 600
#: Interval of releases while only an order that is executed late may reserve
#: the memory, in milliseconds.  It limits the traffic while orders are delayed.
_LATE_RETRY_MS = 1900
#: Timeout of a single release, in milliseconds; retries are sent meanwhile.
#: Longer than the delay of a congested link, which may be 1.4 s, so that
#: releases are not given up before they arrive.
_RELEASE_TIMEOUT_MS = 4000


class Lease:
    """Memory at one engine for one attempt.

    Attributes:
      helper: The PrefillHelper with its ticket.
    """

    __slots__ = (
        '_acquire_timers',
        '_held_until_ms',
        '_is_freed',
        '_is_released',
        '_late_until_ms',
        '_on_done',
        '_pending_reserves',
        '_release_count',
        '_release_timer',
        '_request_id',
        '_reservation_manager',
        'helper',
    )

    def __init__(self, reservation_manager, request_id, helper):
        """Create the lease without sending an order.

        Args:
          reservation_manager: The ReservationManager.
          request_id: The id of the request, for logs.
          helper: A PrefillHelper with a ticket.
        """
        self._reservation_manager = reservation_manager
        self._request_id = request_id
        self._pending_reserves = 0
        self._held_until_ms = 0
        self._late_until_ms = 0
        self._is_released = False
        self._is_freed = False
        self._release_count = 0
        self._release_timer = None
        self._on_done = None
        self._acquire_timers = ()
        self.helper = helper

    def acquire(self, on_done):
        """Reserve the memory, with retries while there is no answer.

        Args:
          on_done: See ReservationPort.reserve; it is called once, with the
            first answer or after the timeout.
        """
        self._on_done = on_done
        timers = self._reservation_manager.timers
        self._acquire_timers = [
            timers.after(attempt * _RESERVE_RETRY_MS, self._try_acquire)
            for attempt in range(1, _RESERVE_ATTEMPTS)
        ]
        self._acquire_timers.append(
            timers.after(
                _RESERVE_TIMEOUT_MS, lambda: self._finish_acquire(None)
            )
        )
        self._try_acquire()

    def renew(self, on_done):
        """Extend the reservation.

        Args:
          on_done: See ReservationPort.reserve.
        """
        self._send_reserve(on_done)

    def release(self):
        """Release the memory, with retries until it is known to be free."""
        if not self._is_released:
            self._cancel_acquire_timers()
            self._is_released = True
            self._send_release()

    def _try_acquire(self):
        self._send_reserve(self._on_acquire_answer)

    def _on_acquire_answer(self, is_reserved):
        if is_reserved is not None:
            self._finish_acquire(is_reserved)

    def _finish_acquire(self, is_reserved):
        """Report the outcome of acquire(), at most once."""
        self._cancel_acquire_timers()
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(is_reserved)

    def _cancel_acquire_timers(self):
        for timer in self._acquire_timers:
            timer.cancel()

    def _send_reserve(self, on_done):
        self._pending_reserves += 1

        def on_answer(is_reserved):
            self._pending_reserves -= 1
            self._record_reserve_answer(is_reserved)
            if self._is_released:
                # The engine may have executed this order after the release.
                self._retry_release()
            on_done(is_reserved)

        self._reservation_manager.port.reserve(self.helper, HOLD_MS, on_answer)

    def _record_reserve_answer(self, is_reserved):
        now_ms = self._reservation_manager.now_ms()
        if is_reserved is None:
            self._record_unanswered(RESERVE)
            self._late_until_ms = now_ms + _MAX_ORDER_DELAY_MS
        if is_reserved is not False:
            self._held_until_ms = now_ms + HOLD_MS

    def _record_unanswered(self, order):
        self._reservation_manager.metrics.count('orders_unanswered', order)
        self._reservation_manager.journal.log_order_unanswered(
            order,
            self._request_id,
            self.helper,
        )

    def _send_release(self):
        self._release_count += 1
        self._release_timer = self._reservation_manager.timers.after(
            self._release_interval_ms(),
            self._retry_release,
        )
        self._reservation_manager.port.release(
            self.helper,
            _RELEASE_TIMEOUT_MS,
            partial(
                self._on_release_answer,
                is_conclusive=not self._pending_reserves,
            ),
        )

    def _on_release_answer(self, is_answered, *, is_conclusive):
        """Handle the answer to a release, or its timeout.

        Args:
          is_answered: A bool.
          is_conclusive: Whether no reserve order was awaiting its answer when
            the release was sent, a bool.
        """
        if not is_answered:
            self._record_unanswered(RELEASE)
        elif is_conclusive and not self._is_freed:
            self._held_until_ms = 0
            if self._reservation_manager.now_ms() >= self._late_until_ms:
                self._record_free()

    def _retry_release(self):
        """Release the memory again, unless it is known to be free."""
        if self._is_freed:
            return
        self._release_timer.cancel()
        until_ms = max(self._held_until_ms, self._late_until_ms)
        if (
            self._pending_reserves
            or self._reservation_manager.now_ms() < until_ms
        ):
            self._send_release()
        else:
            self._record_free()

    def _release_interval_ms(self):
        may_be_reserved = (
            self._reservation_manager.now_ms() < self._held_until_ms
        )
        if not may_be_reserved and not self._pending_reserves:
            return _LATE_RETRY_MS
        return _FIRST_RETRY_MS if self._release_count == 1 else _RETRY_MS

    def _record_free(self):
        self._is_freed = True
        self._release_timer.cancel()
        self._reservation_manager.journal.log_released(
            self._request_id,
            self.helper,
            self._release_count,
        )
