"""Memory set aside at engines for a prompt that several of them hold.

A reservation has one user, the attempt it was made for, and is released when
that ends.  An engine keeps it for a short time only and it is renewed while
it is used, so that what a lost instance left, or an order that was carried
out late, frees itself soon.
"""

import abc
import itertools
from functools import partial

#: The names of the two orders, as logs tell them.
RESERVE = 'reserve'
RELEASE = 'release'

#: How long an engine keeps a reservation that is not renewed.  Shorter than
#: the four seconds after which unused memory counts as lost, and longer than
#: two renewals, so that one lost renewal does no harm.
HOLD_MS = 3700
_RENEW_MS = 1200
_RELEASE_TRIES = 3
_RELEASE_PAUSE_MS = 300


class ReservationPort(abc.ABC):
    """Orders to engines; every answer comes later, on the loop."""

    @abc.abstractmethod
    def reserve(self, helper, hold_ms, on_done):
        """Set memory aside, or keep what is set aside for longer.

        Args:
          helper: A Helper with a ticket.
          hold_ms: Milliseconds from the order's arrival.
          on_done: A function of True (set aside), False (refused) or None
            (no answer: it may be set aside, now or later).
        """

    @abc.abstractmethod
    def release(self, helper, on_done):
        """Free what was set aside.

        Args:
          helper: A Helper with a ticket.
          on_done: A function of a bool, whether the engine answered.
        """


class Reservation:
    """The tickets of one attempt."""

    __slots__ = (
        '_desk',
        '_ended',
        '_helpers',
        '_on_done',
        '_refused',
        '_renewal',
        '_request_id',
        '_start_ms',
        '_waiting',
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
        self._helpers = helpers
        self._on_done = on_done
        self._waiting = len(helpers)
        self._refused = []
        self._renewal = None
        self._start_ms = desk.now_ms()
        self._ended = False

    def start(self):
        """Ask every engine at once."""
        for helper in self._helpers:
            self._ask(helper)

    def release(self):
        """Free all of it; what is not answered is asked again."""
        if self._ended:
            return
        self._ended = True
        if self._renewal is not None:
            self._renewal.cancel()
        for helper in self._helpers:
            self._desk.release(self._request_id, helper)

    def _ask(self, helper):
        def take(is_reserved):
            self._waiting -= 1
            self._note_answer(helper, is_reserved)
            if not is_reserved:
                self._refused.append(helper)
            if not self._waiting and not self._ended:
                self._finish()

        self._desk.port.reserve(helper, HOLD_MS, take)

    def _finish(self):
        took_ms = self._desk.now_ms() - self._start_ms
        self._desk.journal.log_set_aside(
            self._request_id,
            self._helpers,
            self._refused,
            took_ms,
        )
        if self._refused:
            self.release()
        else:
            self._renewal = self._desk.timers.every(_RENEW_MS, self._renew)
        self._on_done(self._refused)

    def _renew(self):
        for helper in self._helpers:
            self._desk.port.reserve(
                helper,
                HOLD_MS,
                partial(self._note_renewed, helper),
            )

    def _note_renewed(self, helper, is_renewed):
        self._note_answer(helper, is_renewed)
        if not is_renewed:
            self._desk.metrics.count('renewals_lost')

    def _note_answer(self, helper, is_reserved):
        if is_reserved is None:
            self._desk.note_unanswered(RESERVE, self._request_id, helper)


class ReservationDesk:
    """Makes the reservations of one instance.

    Attributes:
      port: A ReservationPort.
      timers: A TimerService.
      metrics: A Metrics port.
      journal: A ForwardJournal, which logs what became of the memory.
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

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

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

    def release(self, request_id, helper, tries=1):
        """Free one ticket; ask again if there is no answer.

        Args:
          request_id: The id of the request it was for, for logs.
          helper: A Helper with a ticket.
          tries: Which try this is, from 1.
        """

        def take(is_answered):
            if is_answered:
                self.journal.log_released(request_id, helper, tries)
                return
            self.note_unanswered(RELEASE, request_id, helper)
            if tries < _RELEASE_TRIES:
                self.timers.after(
                    _RELEASE_PAUSE_MS,
                    lambda: self.release(request_id, helper, tries + 1),
                )

        self.port.release(helper, take)

    def note_unanswered(self, order, request_id, helper):
        """Note that an engine left an order unanswered.

        Args:
          order: RESERVE or RELEASE.
          request_id: The id of the request it was for.
          helper: A Helper with a ticket.
        """
        self.metrics.count('orders_unanswered', order)
        self.journal.log_order_unanswered(order, request_id, helper)
