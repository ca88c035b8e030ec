"""Memory set aside at engines for a prompt that several of them hold.

A reservation has one user, the attempt it was made for, and is released when
that ends.  An engine keeps it for a short time only and it is renewed while
it is used, so that what a lost instance left, or an order that was carried
out late, frees itself soon.
"""

import abc
import itertools

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
        '_waiting',
    )

    def __init__(self, desk, helpers, on_done):
        """Create the reservation; start() asks for the memory.

        Args:
          desk: The ReservationDesk.
          helpers: Helpers with tickets.
          on_done: A function of the Helpers whose engines set no memory
            aside, an empty list if all did.
        """
        self._desk = desk
        self._helpers = helpers
        self._on_done = on_done
        self._waiting = len(helpers)
        self._refused = []
        self._renewal = None
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
            self._desk.release(helper)

    def _ask(self, helper):
        def take(is_reserved):
            self._waiting -= 1
            if not is_reserved:
                self._refused.append(helper)
            if not self._waiting and not self._ended:
                self._finish()

        self._desk.port.reserve(helper, HOLD_MS, take)

    def _finish(self):
        if self._refused:
            self.release()
        else:
            self._renewal = self._desk.timers.every(_RENEW_MS, self._renew)
        self._on_done(self._refused)

    def _renew(self):
        for helper in self._helpers:
            self._desk.port.reserve(helper, HOLD_MS, self._note_renewed)

    def _note_renewed(self, is_renewed):
        if not is_renewed:
            self._desk.metrics.count('renewals_lost')


class ReservationDesk:
    """Makes the reservations of one instance.

    Attributes:
      port: A ReservationPort.
      timers: A TimerService.
      metrics: A Metrics port.
    """

    def __init__(self, port, timers, metrics, owner):
        """Create the desk.

        Args:
          port: A ReservationPort.
          timers: A TimerService.
          metrics: A Metrics port.
          owner: What the ids of tickets begin with: instance and boot.
        """
        self.port = port
        self.timers = timers
        self.metrics = metrics
        self._owner = owner
        self._numbers = itertools.count()

    def new_ticket(self):
        """Return the id of a new ticket, never used before."""
        return f'{self._owner}-{next(self._numbers)}'

    def reserve(self, helpers, on_done):
        """Set memory aside at several engines, at all or none.

        Args:
          helpers: Helpers with tickets.
          on_done: See Reservation.
        Returns:
          A Reservation.
        """
        reservation = Reservation(self, helpers, on_done)
        reservation.start()
        return reservation

    def release(self, helper, tries=_RELEASE_TRIES):
        """Free one ticket; ask again if there is no answer.

        Args:
          helper: A Helper with a ticket.
          tries: How often to ask at most.
        """

        def take(is_answered):
            if not is_answered and tries > 1:
                self.timers.after(
                    _RELEASE_PAUSE_MS,
                    lambda: self.release(helper, tries - 1),
                )

        self.port.release(helper, take)
