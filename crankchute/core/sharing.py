"""What instances tell each other so that each decides as if it were alone.

Requests of all callers go to a few active instances.  Each of them tells the
other active ones at once what it sent to which engine, what began and what
ended.  Any other instance asks one of them, its home, twice a second, and is
told which instances are active; so what an active one hears, and how soon a lost
one is out of every answer, does not depend on how large the fleet is.  With every
message goes what may not wait for the store: the version of the configuration, the
revision of the list of backend servers, the ages of their proofs, which servers are
known to leave, and which name a limit.

All of it is a hint but for two things that are safe by themselves: a newer
version, and a server that left, never become untrue.

Whoever chooses engines, active or not, wants to be told of the others' work
and is told all of it when it begins: without that an instance that starts, or
is asked though not active, takes every engine for idle, and first events come
several times later than predicted.
"""

from crankchute.core.active_instances import (
    HOME_POLL_INTERVAL_MS,
    EXCHANGE_INTERVAL_MS,
    ActiveInstances,
)
from crankchute.core.briefing import WorkNews
from crankchute.core.work_feed import apply_batch

#: Work is told after this long, so that what happens together goes together.
_FLUSH_MS = 3
#: So many listeners are told at that pace.  Every change goes to every listener, and
#: each message costs its two ends processor time, so with more listeners changes wait
#: longer, by the square of their number.
_FLUSH_LISTENERS = 3
_TIMEOUT_MS = 400
#: An instance that chose an engine this lately wants to be told of others'
#: work, in milliseconds; about as long as a usual answer is written.
_INTEREST_MS = 2000
#: How many instances that were left out are asked again at each turn.
_MOST_LEFT_OUT = 3
#: How many instances that are not active are told of work at most, so that
#: the cost of an instance does not grow with the fleet.
_MOST_FOLLOWERS = 9


class Sharing:
    """One instance's part in the sharing of knowledge.

    Attributes:
      instances: The ActiveInstances.
    """

    def __init__(self, parts, own):
        """Create the sharing; start() begins it.

        Args:
          parts: A SharingParts.
          own: This instance's id.
        """
        self._parts = parts
        self._own = own
        self.instances = ActiveInstances(parts, own)
        self._outbox = []
        self._flush = None
        self._chose_ms = float('-inf')

    @property
    def active(self):
        """The Members that callers are sent to, best first."""
        return self.instances.chosen

    @property
    def home(self):
        """The id of the active instance that this one asks, or None.

        An active instance has none: it speaks to all the others.
        """
        found = None
        if not self.instances.is_own_active:
            found = self.instances.find_home()
        return None if found is None else found.identity

    def start(self):
        """Begin to speak to the active instances."""
        self._parts.timers.every(EXCHANGE_INTERVAL_MS, self._on_pace)
        self._parts.crashes.subscribe(self.tell_soon)

    def note(self, change, work):
        """Tell the other active instances of work of this one.

        Args:
          change: A Change.
          work: A Work.
        """
        self._chose_ms = self._now_ms()
        self._outbox.append(WorkNews(change, work))
        self.tell_soon()

    def tell_soon(self):
        """Tell the listeners what changes within the next milliseconds."""
        if self._flush is None:
            crowd = max(len(self._listeners()) / _FLUSH_LISTENERS, 1)
            self._flush = self._parts.timers.after(
                _FLUSH_MS * crowd * crowd,
                self._on_flush,
            )

    def tell_now(self):
        """Tell every active instance what this one knows, at once."""
        self.instances.choose()
        for member in self._listeners():
            self._speak(member, [])

    def hear(self, briefing, asked_ms=None):
        """Take what another instance told.

        Args:
          briefing: A Briefing.
          asked_ms: When it was asked for, or None if it came unasked: then
            nobody knows how long it was on its way.
        """
        now_ms = self._now_ms()
        view = self.instances.view(briefing.instance)
        view.last_received_ms = now_ms
        view.is_serving = briefing.is_serving
        view.proof_age_ms = briefing.proof_age_ms
        view.active_digest = briefing.digest
        view.crash_digest = briefing.crash_digest
        if briefing.crashes is not None:
            self._parts.crashes.take(briefing.crashes)
        self.instances.record_subscription(briefing)
        for batch in view.feed.receive(briefing, now_ms):
            apply_batch(self._parts.board, briefing.instance, batch)
        self._parts.take(briefing, asked_ms)
        is_answer = asked_ms is not None
        self.instances.record_active_list(briefing, is_answer=is_answer)

    def answer(self, briefing):
        """Take what another instance told, and return what it is told.

        Args:
          briefing: A Briefing.
        Returns:
          A Briefing.
        """
        self.hear(briefing)
        self.instances.choose()
        return self._make_briefing(self.instances.view(briefing.instance), [])

    def heard_ms_ago(self):
        """Return how long ago the active ones were heard from, or None."""
        views = [
            self.instances.view(one.identity) for one in self.instances.others
        ]
        known = [
            one.last_received_ms
            for one in views
            if one.last_received_ms is not None
        ]
        return self._now_ms() - min(known) if known else None

    def is_among_first(self, count=None):
        """Tell whether this instance is one of the first active ones.

        Args:
          count: How many of them, or None for all.
        Returns:
          A bool, true also while no instance is known to be active.
        """
        first = [one.identity for one in self.active[:count]]
        return self._own in first or not first

    def choose_addresses(self, data_centre):
        """Return the members that a caller should use.

        Args:
          data_centre: Where the caller is; not used to choose, since one
            hop costs less than knowing less.
        Returns:
          A list of Member.
        """
        self.instances.choose()
        return self.active

    def _now_ms(self):
        return self._parts.timers.clock.now_ms()

    def _wants_work(self):
        if self.instances.is_own_active:
            return True
        return self._now_ms() - self._chose_ms < _INTEREST_MS

    def _listeners(self):
        """Return the other active instances, and those that want news."""
        followers = self.instances.list_followers()
        return [*self.instances.others, *followers[:_MOST_FOLLOWERS]]

    def _on_pace(self):
        self.instances.choose()
        if self._wants_work():
            self._ask_all(self.instances.pace_ms())
            return
        home = self.instances.find_home()
        if home is not None:
            self._ask_all(HOME_POLL_INTERVAL_MS, (home,))

    def _ask_all(self, pace_ms, members=None):
        """Speak to members that were not spoken to for a turn of a pace."""
        now_ms = self._now_ms()
        for member in members or self._to_ask():
            asked_ms = self.instances.view(member.identity).last_sent_ms
            if asked_ms is None or now_ms >= asked_ms + pace_ms - _FLUSH_MS:
                self._speak(member, [])

    def _ask_next_home(self):
        """Ask another active instance, since the home is silent."""
        self.instances.choose()
        home = self.instances.find_home()
        if home is not None and not self._wants_work():
            self._ask_all(0, (home,))

    def _to_ask(self):
        """Return the active instances, and a few that are left out."""
        left_out = self.instances.list_excluded()
        count = min(len(left_out), _MOST_LEFT_OUT)
        asked_again = self._parts.random.sample(left_out, count)
        return [*self.instances.others, *asked_again]

    def _on_flush(self):
        self._flush = None
        news = self._outbox
        self._outbox = []
        for member in self._listeners():
            self._speak(member, news)

    def _speak(self, member, news):
        view = self.instances.view(member.identity)
        now_ms = self._now_ms()
        if view.last_sent_ms is None:
            # Until the first answer had time to come it counts as sound.
            view.last_received_ms = now_ms
        view.last_sent_ms = now_ms
        briefing = self._make_briefing(view, news)

        def take(reply):
            if reply is not None:
                self.hear(reply, now_ms)
            elif not self._wants_work():
                self.instances.record_no_response(member)
                self._ask_next_home()

        self._parts.send(member, briefing, take, _TIMEOUT_MS)

    def _make_briefing(self, view, news):
        digest = self.instances.digest
        crashes = self._parts.crashes
        must_tell = view.claim_crash_report(crashes.digest, self._now_ms())
        return self._parts.make_briefing(
            active=() if view.active_digest == digest else self.active,
            digest=digest,
            wants_work=self._wants_work(),
            lacks_work=view.feed.is_incomplete(self._now_ms()),
            batch=view.feed.make_batch(news, self._own_works),
            crash_digest=crashes.digest,
            crashes=crashes.tell() if must_tell else None,
        )

    def _own_works(self):
        return self._parts.board.works_of(None)


class SharingParts:
    """What sharing works with.

    Attributes:
      timers: A TimerService.
      random: A random.Random.
      members: A function that returns the Members not believed dead.
      get: A function of an id that returns the Member, or None.
      version: A function that returns a number that changes whenever any of
        the members does.
      is_serving: A function that returns whether this instance serves.
      proof_age_ms: A function that returns the age of the proof of this
        instance's configuration in milliseconds, or None.
      board: The EngineBoard.
      crashes: The CrashLedger.
      make_briefing: A function of what Sharing tells, by the names of the
        Briefing's attributes, that returns a Briefing.
      take: A function of a Briefing that was heard, and of the moment it was
        asked for, or None.
      send: A function of a Member, a Briefing, a function of the reply or
        None, and a time-out in milliseconds.
    """

    __slots__ = (
        'board',
        'crashes',
        'get',
        'is_serving',
        'make_briefing',
        'members',
        'proof_age_ms',
        'random',
        'send',
        'take',
        'timers',
        'version',
    )

    def __init__(self, **fields):
        """Gather the parts.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])
