"""Memory at one engine, from the first order about it until it is free.

An order may be lost with its connection, arrive after one that was sent later,
or be carried out long after it was given up.  So an answered release proves
that memory is free only if no earlier order may still set it aside.
"""

from functools import partial

#: The names of the two orders, as logs tell them.
RESERVE = 'reserve'
RELEASE = 'release'
#: How often memory is asked for while there is no answer, which takes some 5 ms,
#: and with what pause.  On days on which half of the orders go unanswered, asking
#: once was worth 0.75 and this is worth 0.89 (means of four plays of two seeds).
_ASKS = 3
_ASK_PAUSE_MS = 60
#: After this long without an answer another engine is chosen.
_ASK_MS = 250
#: How long an engine keeps memory that is not renewed.  Shorter than the four
#: seconds after which unused memory counts as lost, and longer than two
#: renewals, so that one lost renewal does no harm.
HOLD_MS = 3700
#: How long an order that was left unanswered may still be carried out: the
#: platform's pages speak of seconds, of twelve at most where they list faults.
_LATE_MS = 12_000
#: A release that is not answered after this is sent again, in milliseconds.
_FIRST_PAUSE_MS = 300
#: The same from the second time on.
_PAUSE_MS = 600
#: How often memory is released that only an order carried out late may hold, in
#: milliseconds.  A pause of 1200 took 2,000 to 2,500 orders on days on which half
#: of them are carried out late, this takes 900 to 1,300 (four plays each, the
#: latter with three orders in 250 ms).
_LATE_PAUSE_MS = 1900
#: How long a release may be on its way, in milliseconds; further ones are sent
#: meanwhile.  Three that were given up after 250 ms each freed nothing at an
#: instance that heard 1.4 s late, and memory was kept for 5.1 s after its use.
_PATIENCE_MS = 4000


class Lease:
    """Memory at one engine for one attempt.

    Attributes:
      helper: The Helper with its ticket.
    """

    __slots__ = (
        '_asking',
        '_desk',
        '_held_until_ms',
        '_is_over',
        '_is_released',
        '_late_until_ms',
        '_on_done',
        '_releases',
        '_request_id',
        '_retry',
        '_unsettled',
        'helper',
    )

    def __init__(self, desk, request_id, helper):
        """Create a lease about which nothing was asked.

        Args:
          desk: The ReservationDesk.
          request_id: The id of the request it is for, for logs.
          helper: A Helper with a ticket.
        """
        self._desk = desk
        self._request_id = request_id
        self._unsettled = 0
        self._held_until_ms = 0
        self._late_until_ms = 0
        self._is_released = False
        self._is_over = False
        self._releases = 0
        self._retry = None
        self._on_done = None
        self._asking = ()
        self.helper = helper

    def set_aside(self, on_done):
        """Ask for the memory, a few times while there is no answer.

        Args:
          on_done: See ReservationPort.reserve; told once, of the first answer.
        """
        self._on_done = on_done
        timers = self._desk.timers
        self._asking = [
            timers.after(repeat * _ASK_PAUSE_MS, self._ask)
            for repeat in range(1, _ASKS)
        ]
        self._asking.append(timers.after(_ASK_MS, lambda: self._tell(None)))
        self._ask()

    def renew(self, on_done):
        """Keep the memory for longer.

        Args:
          on_done: See ReservationPort.reserve.
        """
        self._reserve(on_done)

    def release(self):
        """Free the memory, and ask until it must be free."""
        if not self._is_released:
            self._stop_asking()
            self._is_released = True
            self._send_release()

    def _ask(self):
        self._reserve(self._take_asked)

    def _take_asked(self, is_reserved):
        if is_reserved is not None:
            self._tell(is_reserved)

    def _tell(self, is_reserved):
        """Tell, once, whether the memory is set aside."""
        self._stop_asking()
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(is_reserved)

    def _stop_asking(self):
        for repeat in self._asking:
            repeat.cancel()

    def _reserve(self, on_done):
        self._unsettled += 1

        def take(is_reserved):
            self._unsettled -= 1
            self._note_reserved(is_reserved)
            if self._is_released:
                # The release may have gone before this order.
                self._release_again()
            on_done(is_reserved)

        self._desk.port.reserve(self.helper, HOLD_MS, take)

    def _note_reserved(self, is_reserved):
        now_ms = self._desk.now_ms()
        if is_reserved is None:
            self._note_unanswered(RESERVE)
            self._late_until_ms = now_ms + _LATE_MS
        if is_reserved is not False:
            self._held_until_ms = now_ms + HOLD_MS

    def _note_unanswered(self, order):
        self._desk.metrics.count('orders_unanswered', order)
        self._desk.journal.log_order_unanswered(
            order,
            self._request_id,
            self.helper,
        )

    def _send_release(self):
        self._releases += 1
        self._retry = self._desk.timers.after(
            self._pause_ms(),
            self._release_again,
        )
        self._desk.port.release(
            self.helper,
            _PATIENCE_MS,
            partial(self._take_release, is_last=not self._unsettled),
        )

    def _take_release(self, is_answered, *, is_last):
        """Take the answer to a release.

        Args:
          is_answered: A bool.
          is_last: Whether every order before it had been answered or given
            up when it was sent, a bool.
        """
        if not is_answered:
            self._note_unanswered(RELEASE)
        elif is_last and not self._is_over:
            self._held_until_ms = 0
            if self._desk.now_ms() >= self._late_until_ms:
                self._end()

    def _release_again(self):
        """Release the memory once more, unless it must be free."""
        if self._is_over:
            return
        self._retry.cancel()
        until_ms = max(self._held_until_ms, self._late_until_ms)
        if self._unsettled or self._desk.now_ms() < until_ms:
            self._send_release()
        else:
            self._end()

    def _pause_ms(self):
        may_be_held = self._desk.now_ms() < self._held_until_ms
        if not may_be_held and not self._unsettled:
            return _LATE_PAUSE_MS
        return _FIRST_PAUSE_MS if self._releases == 1 else _PAUSE_MS

    def _end(self):
        self._is_over = True
        self._retry.cancel()
        self._desk.journal.log_released(
            self._request_id,
            self.helper,
            self._releases,
        )
