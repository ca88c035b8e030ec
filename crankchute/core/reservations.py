"""Memory set aside at engines for a prompt that several of them hold.

A reservation has one user, the attempt it was made for, and is released when
that ends.  An engine keeps it for a short time only and it is renewed while
it is used, so that what a lost instance left frees itself soon.  How orders
about one engine's memory may go wrong is the matter of core/lease.py.
"""

import abc
import itertools

from crankchute.core.lease import HOLD_MS, Lease

_RENEW_MS = 1200
#: How long memory may be set aside unused where a deployment does not tell.
_MOST_UNUSED_MS = 9000
#: What is kept free of that for orders that are under way, in milliseconds:
#: packets have waited for 1.4 s at the link of an instance.
_PATH_MS = 1500


class ReservationPort(abc.ABC):
    """Orders to engines; every answer comes later, on the loop."""

    @abc.abstractmethod
    def reserve(self, helper, hold_ms, on_done):
        """Set memory aside, or keep what is set aside for longer.

        Args:
          helper: A Helper with a ticket.
          hold_ms: Milliseconds from the order's arrival.
          on_done: A function of True (set aside), False (refused) or None
            (no answer: it may be set aside, now or seconds later).
        """

    @abc.abstractmethod
    def release(self, helper, patience_ms, on_done):
        """Free what was set aside.

        Args:
          helper: A Helper with a ticket.
          patience_ms: How long the order and its answer may take.
          on_done: A function of a bool, whether the engine answered.
        """


class Reservation:
    """The memory of one attempt, at all its engines or at none.

    Attributes:
      unused_until_ms: Until when the attempt may keep it without a sign that
        it is used, on this process's clock.
    """

    __slots__ = (
        '_desk',
        '_ended',
        '_is_used',
        '_leases',
        '_on_done',
        '_refused',
        '_renewal',
        '_request_id',
        '_start_ms',
        '_waiting',
        'unused_until_ms',
    )

    def __init__(self, desk, request_id, helpers, on_done):
        """Create the reservation; start() asks for the memory.

        Args:
          desk: The ReservationDesk.
          request_id: The id of the request it is for, for logs.
          helpers: Helpers with tickets.
          on_done: A function of the Helpers whose engines set no memory
            aside, an empty list if all did.
        """
        self._desk = desk
        self._request_id = request_id
        self._leases = [Lease(desk, request_id, one) for one in helpers]
        self._on_done = on_done
        self._waiting = len(helpers)
        self._refused = []
        self._renewal = None
        self._start_ms = desk.now_ms()
        self._ended = False
        self._is_used = False
        self.unused_until_ms = self._start_ms + desk.unused_ms

    def start(self):
        """Ask every engine at once."""
        for lease in self._leases:
            self._ask(lease)

    def note_used(self):
        """Note that the request began to run."""
        if not self._is_used:
            self._is_used = True
            if self._renewal is not None and self._is_late_start():
                self._renew()

    def release(self):
        """Free all of it."""
        if self._ended:
            return
        self._ended = True
        if self._renewal is not None:
            self._renewal.cancel()
        for lease in self._leases:
            lease.release()

    def _ask(self, lease):
        def take(is_reserved):
            self._waiting -= 1
            if not is_reserved:
                self._refused.append(lease.helper)
            if not self._waiting and not self._ended:
                self._finish()

        lease.set_aside(take)

    def _finish(self):
        self._desk.journal.log_set_aside(
            self._request_id,
            [lease.helper for lease in self._leases],
            self._refused,
            self._desk.now_ms() - self._start_ms,
        )
        if self._refused:
            self.release()
        else:
            self._renewal = self._desk.timers.every(_RENEW_MS, self._renew)
        self._on_done(self._refused)

    def _is_late_start(self):
        """Tell whether renewals rest until the memory is used."""
        waited_ms = self._desk.now_ms() - self._start_ms
        return waited_ms > self._desk.renewed_unused_ms

    def _renew(self):
        if self._is_late_start() and not self._is_used:
            return
        for lease in self._leases:
            lease.renew(self._note_renewed)

    def _note_renewed(self, is_renewed):
        if not is_renewed:
            self._desk.metrics.count('renewals_lost')


class ReservationDesk:
    """Makes the reservations of one instance.

    Attributes:
      port: A ReservationPort.
      timers: A TimerService.
      metrics: A Metrics port.
      journal: A ForwardJournal, which logs what became of the memory.
      unused_ms: How long an attempt may keep memory without a sign that it
        is used, in milliseconds.
      renewed_unused_ms: How long such memory is renewed, in milliseconds.
    """

    def __init__(self, port, timers, metrics, journal, owner):
        """Create the desk.

        Args:
          port: A ReservationPort.
          timers: A TimerService.
          metrics: A Metrics port.
          journal: A ForwardJournal.
          owner: What the ids of tickets begin with: instance and boot.
        """
        self.port = port
        self.timers = timers
        self.metrics = metrics
        self.journal = journal
        self._owner = owner
        self._numbers = itertools.count()
        self.change_limits(_MOST_UNUSED_MS)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def change_limits(self, most_unused_ms):
        """Take another limit for what is set aside from now on.

        Args:
          most_unused_ms: How long memory may be set aside while no request
            uses it, in milliseconds.
        """
        self.unused_ms = most_unused_ms - _PATH_MS
        # What was renewed last lapses within the limit by itself, so that it
        # does not matter whether this instance lives to release it.
        self.renewed_unused_ms = self.unused_ms - HOLD_MS

    def new_ticket(self):
        """Return the id of a new ticket, never used before."""
        return f'{self._owner}-{next(self._numbers)}'

    def reserve(self, request_id, helpers, on_done):
        """Set memory aside at several engines, at all or none.

        Args:
          request_id: The id of the request it is for, for logs.
          helpers: Helpers with tickets.
          on_done: See Reservation.
        Returns:
          A Reservation.
        """
        reservation = Reservation(self, request_id, helpers, on_done)
        reservation.start()
        return reservation
