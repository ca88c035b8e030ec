"""What a backend server says of itself in an answer, whatever was asked.

The load that this answers: a server leaves, or is overrun, while the store that
would tell of it is away, or tells seconds later.  Its answers tell at once, and
tell whoever asks; so what they say goes by the server, not by the request that
was answered.
"""


class ServerNotice:
    """A server's word about the requests that it wants from now on.

    Attributes:
      is_leaving: Whether it leaves, and wants no new request, a bool.
      rest_ms: For how long from now on it wants nothing from this instance,
        in milliseconds; 0 if it said nothing of that.
      names_limit: Whether it names a limit, readable or not, a bool.
      limit: How many requests a second it takes from all instances together,
        a float, or None if it names none or what it names is no number.
    """

    __slots__ = ('is_leaving', 'limit', 'names_limit', 'rest_ms')

    def __init__(self, *, is_leaving=False, rest_ms=0, limits=()):
        """Create the notice.

        Args:
          is_leaving: See the class.
          rest_ms: See the class.
          limits: What it names as its limit, floats, and None for each that
            is no number; of several the least counts.
        """
        self.is_leaving = is_leaving
        self.rest_ms = rest_ms
        self.names_limit = bool(limits)
        self.limit = min(
            (limit for limit in limits if limit is not None),
            default=None,
        )

    @property
    def says_anything(self):
        """Whether the server said anything of itself, a bool."""
        return self.is_leaving or bool(self.rest_ms) or self.names_limit


class ServerNotices:
    """Takes what servers say of themselves, and counts what they are sent."""

    def __init__(self, fleet, journal, limits):
        """Create the part.

        Args:
          fleet: The ForwardFleet.
          journal: A ForwardJournal.
          limits: The LimitDesk.
        """
        self._fleet = fleet
        self._journal = journal
        self._limits = limits.words
        self._turns = limits.turns

    def note_sent(self, backend):
        """Count a call of a server, whatever it is.

        Args:
          backend: The Backend.
        """
        self._turns.note_sent(backend.identity)

    def take(self, backend, notice, sent_ms):
        """Take a server's word.

        Args:
          backend: The Backend that was asked.
          notice: Its ServerNotice.
          sent_ms: When it was asked, on this process's clock.
        """
        if notice.says_anything or self._limits.limit_of(backend.identity):
            self._log_news(backend, notice)
        if notice.is_leaving:
            # The store may be away, and hear of it 12 s later.
            self._fleet.note_drained(backend.identity)
        if notice.rest_ms:
            # It seems idle, and would be chosen before all others.
            self._let_rest(backend.identity, notice.rest_ms)
        # It goes on until an answer without it; what is no number tells neither.
        if notice.limit is not None or not notice.names_limit:
            self._limits.take(backend.identity, notice.limit, sent_ms)

    def _log_news(self, backend, notice):
        """Log a word, unless it is the limit that is known already."""
        is_known = notice.limit == self._limits.limit_of(backend.identity)
        if notice.is_leaving or notice.rest_ms or not is_known:
            self._journal.log_notice(backend, notice)

    def _let_rest(self, identity, rest_ms):
        until_ms = self._fleet.rests.note(identity, rest_ms)
        listed = self._fleet.get(identity)
        if listed is not None:
            listed.leave_alone(until_ms)
