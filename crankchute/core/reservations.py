"""Reserves memory at the engines that share the prompt of one attempt.

A reservation belongs to one attempt and is released when that ends.  Engines
keep it only for a short time unless it is renewed, so that memory reserved by
an instance that failed is soon free.  core/lease.py handles lost and delayed
orders to a single engine.
"""

import abc
import itertools
from functools import partial

from crankchute.core.lease import HOLD_MS, Lease

_RENEWAL_MS = 1200
#: How long engines are asked one after the other once one has refused: longer
#: than a refused prompt takes to be placed again and to be retried once.
_CONTENTION_MS = 2000
#: How long memory may be reserved without being used, in milliseconds, unless
#: the settings say otherwise.
_DEFAULT_MAX_UNUSED_MS = 9000
#: Subtracted from that limit to allow for orders in transit, in milliseconds.
#: Longer than the delay of a congested link, which may be 1.4 s.
_NETWORK_DELAY_MS = 1500


def _ignore(_helper):
    """Ignore a refused reservation."""


def _identity_of(lease):
    return lease.helper.backend.identity


class ReservationPort(abc.ABC):
    """Sends orders about memory to engines; answers arrive asynchronously."""

    @abc.abstractmethod
    def reserve(self, helper, hold_ms, on_done):
        """Reserve memory, or extend a reservation.

        Args:
          helper: A PrefillHelper with a ticket.
          hold_ms: How long the engine keeps the memory after the order has
            arrived, in milliseconds.
          on_done: A function of True (reserved), False (refused) or None (no
            answer: the order may have been executed, or may be seconds later).
        """

    @abc.abstractmethod
    def release(self, helper, timeout_ms, on_done):
        """Release reserved memory.

        Args:
          helper: A PrefillHelper with a ticket.
          timeout_ms: Timeout of the order and its answer, in milliseconds.
          on_done: A function of a bool, whether the engine answered.
        """


class Reservation:
    """The memory of one attempt, reserved at all its engines or at none.

    Attributes:
      use_deadline_ms: When the attempt must release the memory if it has not
        been used by then, on this process's clock.
    """

    __slots__ = (
        '_ended',
        '_granted',
        '_is_used',
        '_leases',
        '_on_done',
        '_on_refused',
        '_pending',
        '_refused',
        '_renewal_timer',
        '_request_id',
        '_reservation_manager',
        '_start_ms',
        '_unsent',
        'use_deadline_ms',
    )

    def __init__(
        self, reservation_manager, request_id, helpers, on_done, on_refused
    ):
        """Create the reservation; start() sends the orders.

        Args:
          reservation_manager: The ReservationManager.
          request_id: The id of the request, for logs.
          helpers: PrefillHelpers with tickets.
          on_done: A function of a list of the PrefillHelpers whose engines
            reserved no memory; the list is empty if all did.
          on_refused: A function of each PrefillHelper whose engine answered
            that it has no memory.
        """
        self._reservation_manager = reservation_manager
        self._request_id = request_id
        self._leases = []
        self._unsent = [
            Lease(reservation_manager, request_id, helper) for helper in helpers
        ]
        self._on_done = on_done
        self._on_refused = on_refused
        self._granted = 0
        self._pending = 0
        self._refused = []
        self._renewal_timer = None
        self._start_ms = reservation_manager.now_ms()
        self._ended = False
        self._is_used = False
        self.use_deadline_ms = (
            self._start_ms + reservation_manager.max_unused_ms
        )

    def start(self):
        """Send reserve orders to all engines.

        If engines refused lately, they are asked one after the other in the
        order of their ids, until one refuses.  Of prompts that compete for
        several engines, the first to get their first common engine then gets
        all, while the others have reserved little in vain.
        """
        if self._reservation_manager.is_contended():
            self._unsent.sort(key=_identity_of, reverse=True)
            self._acquire(self._unsent.pop())
            return
        self._leases = self._unsent
        self._unsent = []
        self._pending = len(self._leases)
        for lease in self._leases:
            lease.acquire(partial(self._on_acquired, lease))

    def record_used(self):
        """Note that the request started to run, and resume paused renewals."""
        if not self._is_used:
            self._is_used = True
            self._count('used', self._granted)
            if self._renewal_timer is not None and self._is_start_overdue():
                self._renew()

    def release(self):
        """Release the memory at all engines."""
        if self._ended:
            return
        self._ended = True
        if not self._is_used:
            self._count('unused', self._granted)
        if self._renewal_timer is not None:
            self._renewal_timer.cancel()
        for lease in self._leases:
            lease.release()

    def _acquire(self, lease):
        self._leases.append(lease)
        self._pending += 1
        lease.acquire(partial(self._on_acquired, lease))

    def _on_acquired(self, lease, is_reserved):
        self._pending -= 1
        if is_reserved:
            self._record_granted()
        else:
            self._refused.append(lease.helper)
        if is_reserved is False:
            self._count('refused')
            self._reservation_manager.record_refused()
            self._on_refused(lease.helper)
        if self._ended or self._pending:
            return
        if self._unsent and not self._refused:
            self._acquire(self._unsent.pop())
        else:
            self._on_all_answered()

    def _record_granted(self):
        self._granted += 1
        self._count('granted')
        if self._ended:
            # The answer arrived after the release.
            self._count('unused')

    def _count(self, outcome, amount=1):
        self._reservation_manager.metrics.count('reservations', outcome, amount)

    def _on_all_answered(self):
        self._reservation_manager.journal.log_reserved(
            self._request_id,
            [lease.helper for lease in self._leases],
            self._refused,
            self._reservation_manager.now_ms() - self._start_ms,
        )
        if self._refused:
            self.release()
        else:
            self._renewal_timer = self._reservation_manager.timers.every(
                _RENEWAL_MS, self._renew
            )
        self._on_done(self._refused)

    def _is_start_overdue(self):
        """Tell whether renewals are paused until the memory is used."""
        elapsed_ms = self._reservation_manager.now_ms() - self._start_ms
        return elapsed_ms > self._reservation_manager.unused_renewal_ms

    def _renew(self):
        if self._is_start_overdue() and not self._is_used:
            return
        for lease in self._leases:
            lease.renew(self._record_renewed)

    def _record_renewed(self, is_renewed):
        if not is_renewed:
            self._reservation_manager.metrics.count('renewals_lost')


class ReservationManager:
    """Manages the reservations of one instance.

    Attributes:
      port: A ReservationPort.
      timers: A TimerService.
      metrics: A Metrics port.
      journal: A ForwardJournal, which logs the orders and their outcomes.
      max_unused_ms: How long an attempt may keep memory that it has not used,
        in milliseconds.
      unused_renewal_ms: How long such memory is renewed, in milliseconds.
    """

    def __init__(self, port, timers, metrics, journal, owner):
        """Create the manager.

        Args:
          port: A ReservationPort.
          timers: A TimerService.
          metrics: A Metrics port.
          journal: A ForwardJournal.
          owner: The prefix of ticket ids: instance and boot.
        """
        self.port = port
        self.timers = timers
        self.metrics = metrics
        self.journal = journal
        self._owner = owner
        self._ticket_numbers = itertools.count()
        self._contended_until_ms = float(0)
        self.change_limits(_DEFAULT_MAX_UNUSED_MS)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def change_limits(self, max_unused_ms):
        """Change the limits for future reservations.

        Args:
          max_unused_ms: How long memory may be reserved without being used,
            in milliseconds.
        """
        self.max_unused_ms = max_unused_ms - _NETWORK_DELAY_MS
        # The last renewal expires within the limit, so that the limit holds
        # even if this instance fails before it releases the memory.
        self.unused_renewal_ms = self.max_unused_ms - HOLD_MS

    def record_refused(self):
        """Record that an engine refused a reservation."""
        self._contended_until_ms = self.now_ms() + _CONTENTION_MS

    def is_contended(self):
        """Return whether an engine refused a reservation recently."""
        return self.now_ms() < self._contended_until_ms

    def create_ticket_id(self):
        """Return a unique ticket id."""
        return f'{self._owner}-{next(self._ticket_numbers)}'

    def reserve(self, request_id, helpers, on_done, on_refused=_ignore):
        """Reserve memory at all given engines or at none.

        Args:
          request_id: The id of the request, for logs.
          helpers: PrefillHelpers with tickets.
          on_done: See Reservation.
          on_refused: See Reservation.
        Returns:
          A Reservation.
        """
        reservation = Reservation(
            self, request_id, helpers, on_done, on_refused
        )
        reservation.start()
        return reservation
