"""Backend servers that are cold, and the request rate of each.

A server is cold for some time after its start and may become cold again at any
moment.  Its entry in the store and its answers state the remaining time.  While
it is cold, all instances together keep to a request rate, which they divide like
a rate limit that a server advertises.

Reports may cross.  One that shortens the cold time counts only if it is later
than the report that it replaces: an answer if its request was sent after that
report arrived, an entry if it arrived later than an entry may be delayed.  One
that extends the cold time counts at once.  Entries are in the order in which
the store accepted them, so a new entry always replaces an earlier one.
"""

#: The longest time until an entry that was written reaches an instance.
_MAX_ENTRY_DELAY_MS = 1000
#: Only changes of the end of the cold time by more than this are reported.
_REPORTED_CHANGE_MS = 1000
SOURCE_ENTRY = 'entry'
SOURCE_ANSWER = 'answer'
SOURCE_RESTART = 'restart'
SOURCE_EVACUATION = 'evacuation'


class _ServerState:
    """What is known of the cold time of a listed server.

    Attributes:
      pool: The name of its pool.
      data_centre: Its data centre.
      revision: The revision of its latest entry, or None if it has none.
      entry_ms: When that entry arrived first.
      until_ms: The end of its cold time.
      since_ms: Since when it is known to be cold.
      report_ms: When the report arrived that the end is from.
      withdrawn_ms: The latest withdrawal of an evacuation that was applied.
      source: The kind of that report.
    """

    __slots__ = (
        'data_centre',
        'entry_ms',
        'pool',
        'report_ms',
        'revision',
        'since_ms',
        'source',
        'until_ms',
        'withdrawn_ms',
    )

    def __init__(self, listed, pool):
        self.pool = pool
        self.data_centre = listed.data_centre
        self.revision = None
        self.entry_ms = float('-inf')
        self.until_ms = float('-inf')
        self.since_ms = float('-inf')
        self.report_ms = float('-inf')
        self.withdrawn_ms = None
        self.source = None


class ColdServers:
    """The cold times of all listed servers at one instance.

    Attributes:
      bounds: ColdBounds, or None if no server counts as cold.
      pools: A map of names to PoolConfig.
      withdrawn_ms: A function of a data centre that returns when an evacuation
        of it was withdrawn, on this process's clock, or None.
      on_change: A function of a server's identity, the remaining milliseconds
        and the source, called when a server becomes cold or its cold time
        changes.
    """

    def __init__(self, clock):
        """Create an empty collection; by default no server counts as cold.

        Args:
          clock: A Clock.
        """
        self._clock = clock
        self._states = {}
        self.bounds = None
        self.pools = {}
        self.withdrawn_ms = _no_withdrawal
        self.on_change = _ignore_change

    def record_listed(self, listed, pool):
        """Record the entry of a server.

        The entry may be the same as before: whole lists are read repeatedly,
        and a value is as old as the entry.

        Args:
          listed: A ListedServer.
          pool: The name of its pool.
        """
        if self.bounds is None:
            return
        known = self._states.get(listed.identity)
        state = known or _ServerState(listed, pool)
        self._states[listed.identity] = state
        state.pool = pool
        is_repeated = known is not None and listed.revision == known.revision
        is_old_copy = known is not None and listed.is_restored
        state.revision = listed.revision
        if not is_repeated and not is_old_copy:
            self._apply_entry(listed, state)

    def record_unlisted(self, identity):
        """Discard the state of a server that is no longer listed.

        Args:
          identity: The server's identity.
        """
        self._states.pop(identity, None)

    def record_answer(self, identity, remaining_ms, sent_ms):
        """Record the cold time in an answer of a server.

        Args:
          identity: The server's identity.
          remaining_ms: Milliseconds; 0 if it is not cold.
          sent_ms: When the request was sent, on this process's clock.
        """
        state = self._states.get(identity)
        if state is None:
            return
        self._apply_withdrawal(identity, state)
        until_ms = self._clock.now_ms() + remaining_ms
        if until_ms > state.until_ms or sent_ms > state.report_ms:
            state.report_ms = self._clock.now_ms()
            self._set_end(identity, state, until_ms, SOURCE_ANSWER)

    def rate_of(self, identity):
        """Return a cold server's rate in requests a second, or None.

        Args:
          identity: The server's identity.
        """
        limit = self.limit_in_force(identity)
        return None if limit is None else limit.rate

    def limit_in_force(self, identity):
        """Return the RateLimit of a cold server, or None if it is not cold.

        Args:
          identity: The server's identity.
        """
        state = self._states.get(identity)
        if state is None or not self._is_cold(identity, state):
            return None
        per_second = self.pools[state.pool].cold_per_second
        return self.bounds.make_limit(per_second, state.since_ms)

    def remaining_ms(self, identity):
        """Return the remaining cold time of a server, 0 if it is not cold.

        Args:
          identity: The server's identity.
        """
        state = self._states.get(identity)
        if state is None or not self._is_cold(identity, state):
            return 0
        return state.until_ms - self._clock.now_ms()

    def source_of(self, identity):
        """Return the kind of report that a server's cold time is from, or None.

        Args:
          identity: The server's identity.
        """
        state = self._states.get(identity)
        return None if state is None else state.source

    def count(self):
        """Return the number of cold servers."""
        return sum(
            self._is_cold(identity, state)
            for identity, state in self._states.items()
        )

    def _is_cold(self, identity, state):
        pool = self.pools.get(state.pool)
        if self.bounds is None or pool is None or not pool.can_be_cold:
            return False
        self._apply_withdrawal(identity, state)
        return state.until_ms > self._clock.now_ms()

    def _apply_entry(self, listed, state):
        identity = listed.identity
        now_ms = self._clock.now_ms()
        # An entry of before a withdrawal must not hide it.
        self._apply_withdrawal(identity, state)
        remaining_ms = listed.cold_remaining_ms
        source = SOURCE_ENTRY
        if remaining_ms is None:
            # Another instance's or the server's report showed the restart.
            remaining_ms = self._cold_start_ms(state)
            source = SOURCE_RESTART
        until_ms = now_ms + remaining_ms
        is_later = (
            state.source in {None, SOURCE_ENTRY, SOURCE_RESTART}
            or now_ms - state.report_ms > _MAX_ENTRY_DELAY_MS
        )
        state.entry_ms = now_ms
        if until_ms > state.until_ms or is_later:
            state.report_ms = now_ms
            self._set_end(identity, state, until_ms, source)

    def _apply_withdrawal(self, identity, state):
        """Apply the withdrawal of an evacuation of a server's data centre."""
        withdrawn_ms = self.withdrawn_ms(state.data_centre)
        if withdrawn_ms is None or withdrawn_ms == state.withdrawn_ms:
            return
        state.withdrawn_ms = withdrawn_ms
        until_ms = withdrawn_ms + self._cold_start_ms(state)
        # An entry that arrived sooner may have been written before.
        is_written_since = state.entry_ms > withdrawn_ms + _MAX_ENTRY_DELAY_MS
        if not is_written_since and until_ms > state.until_ms:
            state.report_ms = withdrawn_ms
            self._set_end(identity, state, until_ms, SOURCE_EVACUATION)

    def _cold_start_ms(self, state):
        pool = self.pools.get(state.pool)
        return 0 if pool is None else pool.cold_start_ms

    def _set_end(self, identity, state, until_ms, source):
        now_ms = self._clock.now_ms()
        was_cold = state.until_ms > now_ms
        is_cold = until_ms > now_ms
        is_changed = was_cold != is_cold or (
            is_cold and abs(until_ms - state.until_ms) > _REPORTED_CHANGE_MS
        )
        if is_cold and not was_cold:
            state.since_ms = state.report_ms
        state.until_ms = until_ms
        state.source = source
        if is_changed:
            self.on_change(identity, max(until_ms - now_ms, 0), source)


def _no_withdrawal(_data_centre):
    """Return None, as no evacuation was withdrawn."""


def _ignore_change(_identity, _remaining_ms, _source):
    """Ignore that a cold time changed."""
