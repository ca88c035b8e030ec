"""What a backend server says about itself in any of its answers.

The store reports a leaving or overloaded server late, or not at all while it is
unavailable.  The server's own answers say so at once, whatever the request was,
so notices are recorded for the server and not for the request.
"""


class ServerNotice:
    """The part of an answer that says which requests a server accepts.

    Attributes:
      is_leaving: Whether it is leaving and accepts no new requests, a bool.
      pause_ms: For how long it asks this instance to send no requests, in
        milliseconds; 0 if it doesn't.
      names_limit: Whether it names a limit, valid or not, a bool.
      limit: The requests a second that it accepts from all instances together,
        a float, or None if it names no valid limit.
      cold_ms: For how long it is cold, in milliseconds, or None if it does not
        say so.
    """

    __slots__ = ('cold_ms', 'is_leaving', 'limit', 'names_limit', 'pause_ms')

    def __init__(
        self, *, is_leaving=False, pause_ms=0, limits=(), cold_ms=None
    ):
        """Create the notice.

        Args:
          is_leaving: See the class.
          pause_ms: See the class.
          limits: The limits in the answer, floats, and None for each that is
            not a number; the smallest one counts.
          cold_ms: See the class.
        """
        self.cold_ms = cold_ms
        self.is_leaving = is_leaving
        self.pause_ms = pause_ms
        self.names_limit = bool(limits)
        self.limit = min(
            (limit for limit in limits if limit is not None),
            default=None,
        )

    @property
    def has_content(self):
        """Whether the answer had any of these fields, a bool."""
        return self.is_leaving or bool(self.pause_ms) or self.names_limit


class ServerNotices:
    """Applies notices of servers, and counts the requests sent to them."""

    def __init__(self, fleet, journal, limits):
        """Create the handler.

        Args:
          fleet: The ForwardFleet.
          journal: A ForwardJournal.
          limits: The ServerRateLimits.
        """
        self._fleet = fleet
        self._journal = journal
        self._limits = limits.advertised
        self._cold = limits.cold
        self._permits = limits.permits

    def record_sent(self, backend):
        """Count a request of any kind against the server's limit.

        Args:
          backend: The Backend.
        """
        self._permits.record_sent(backend.identity)

    def take(self, backend, notice, sent_ms):
        """Apply a notice.

        Args:
          backend: The Backend that answered.
          notice: Its ServerNotice.
          sent_ms: When the request was sent, on this process's clock.
        """
        if notice.has_content or self._limits.limit_of(backend.identity):
            self._log_changes(backend, notice)
        if notice.is_leaving:
            # The store may say so many seconds later.
            self._fleet.record_drained(backend.identity)
        if notice.pause_ms:
            # The server looks idle, so it would be preferred to all others.
            self._pause(backend.identity, notice.pause_ms)
        if notice.cold_ms is not None:
            self._cold.record_answer(backend.identity, notice.cold_ms, sent_ms)
        # A limit ends with an answer that names none; an invalid one neither
        # sets nor ends it.
        if notice.limit is not None or not notice.names_limit:
            self._limits.receive_answer(backend.identity, notice.limit, sent_ms)

    def record_moved(self, backend):
        """Record that another server answered at a server's address.

        Args:
          backend: The Backend that a call was for.
        """
        self._journal.log_moved(backend)
        self._fleet.record_removed(backend.identity, is_seen=True)

    def _log_changes(self, backend, notice):
        """Log a notice, unless it only repeats the known limit."""
        is_known = notice.limit == self._limits.limit_of(backend.identity)
        if notice.is_leaving or notice.pause_ms or not is_known:
            self._journal.log_notice(backend, notice)

    def _pause(self, identity, pause_ms):
        until_ms = self._fleet.pauses.request_pause(identity, pause_ms)
        listed = self._fleet.get(identity)
        if listed is not None:
            listed.pause_until(until_ms)
