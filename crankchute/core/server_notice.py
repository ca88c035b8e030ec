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
    """Takes what servers say of themselves."""

    def __init__(self, fleet, journal):
        """Create the part.

        Args:
          fleet: The ForwardFleet.
          journal: A ForwardJournal.
        """
        self._fleet = fleet
        self._journal = journal

    def take(self, backend, notice):
        """Take a server's word.

        Args:
          backend: The Backend that was asked.
          notice: Its ServerNotice.
        """
        self._journal.log_notice(backend, notice)
        if notice.is_leaving:
            # The store may be away, and hear of it 12 s later.
            self._fleet.note_drained(backend.identity)
        if notice.rest_ms:
            # It seems idle, and would be chosen before all others.
            self._let_rest(backend.identity, notice.rest_ms)

    def _let_rest(self, identity, rest_ms):
        until_ms = self._fleet.rests.note(identity, rest_ms)
        listed = self._fleet.get(identity)
        if listed is not None:
            listed.leave_alone(until_ms)
