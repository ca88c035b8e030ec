"""Exchange of state between instances, so that all choose engines alike.

Clients are sent to a few active instances.  Each of them reports to the other
active ones at once which requests it sent to which engine, and when each of
them started or ended.  Any other instance polls one active instance, its home,
for the list of active ones.  The load of an active instance, and the time until
clients are no longer sent to a failed one, therefore do not depend on the size
of the fleet.

Every message also carries what must not depend on the store: the configuration
version, the revision of the backend server list, the ages of their
confirmations, the draining servers, and the servers that announce a limit.

The exchanged state is advisory, except for facts that never become untrue: a
newer version, and a server that has left.

An instance that chooses engines, active or not, subscribes to the work of the
active ones and starts with a snapshot of it.  Otherwise an instance that has
just started would take every engine for idle, and first events would come
several times later than predicted.
"""

from crankchute.core.active_instances import (
    EXCHANGE_INTERVAL_MS,
    HOME_POLL_INTERVAL_MS,
    ActiveInstances,
)
from crankchute.core.peer_message import WorkChange
from crankchute.core.work_feed import apply_batch

#: Changes are collected for this long and sent together.
_FLUSH_MS = 3
#: With more recipients than this the flush delay grows with the square of their
#: number, since every change goes to every recipient and each message takes CPU
#: time at both ends.
_FULL_RATE_RECIPIENTS = 3
_TIMEOUT_MS = 400
#: An inactive instance subscribes to work for this long after it chose an
#: engine; about the duration of a typical response.
_SUBSCRIPTION_MS = 2000
#: The maximum number of excluded instances that are retried per interval.
_MAX_EXCLUDED_RETRIES = 3
#: The maximum number of inactive instances that work is sent to, so that the
#: load of an instance does not grow with the fleet.
_MAX_FOLLOWERS = 9


class PeerExchange:
    """The exchange of state between one instance and its peers.

    Attributes:
      instances: The ActiveInstances.
    """

    def __init__(self, parts, own):
        """Create the exchange; start() begins it.

        Args:
          parts: A PeerExchangeParts.
          own: This instance's id.
        """
        self._parts = parts
        self._own = own
        self.instances = ActiveInstances(parts, own)
        self._outbox = []
        self._flush_timer = None
        self._last_choice_ms = float('-inf')

    @property
    def active(self):
        """The active Members, best first."""
        return self.instances.chosen

    @property
    def home(self):
        """The id of the active instance that this one polls, or None.

        An active instance has no home: it exchanges messages with all others.
        """
        found = None
        if not self.instances.is_own_active:
            found = self.instances.find_home()
        return None if found is None else found.identity

    def start(self):
        """Start exchanging messages with the active instances."""
        self._parts.timers.every(EXCHANGE_INTERVAL_MS, self._on_interval)
        self._parts.crashes.subscribe(self.schedule_send)

    def report_work(self, change, work):
        """Queue a change of this instance's work for the peers.

        Args:
          change: A Change.
          work: A WorkItem.
        """
        self._last_choice_ms = self._now_ms()
        self._outbox.append(WorkChange(change, work))
        self.schedule_send()

    def schedule_send(self):
        """Schedule a message to all recipients after the flush delay."""
        if self._flush_timer is None:
            crowding = max(
                len(self._recipients()) / _FULL_RATE_RECIPIENTS,
                1,
            )
            self._flush_timer = self._parts.timers.after(
                _FLUSH_MS * crowding * crowding,
                self._on_flush,
            )

    def send_now(self):
        """Send this instance's state to all recipients immediately."""
        self.instances.choose()
        for member in self._recipients():
            self._send(member, [])

    def receive(self, message, asked_ms=None):
        """Process a message from another instance.

        Args:
          message: A PeerMessage.
          asked_ms: When it was requested, or None if it was not: then its
            transit time is unknown.
        """
        now_ms = self._now_ms()
        view = self.instances.view(message.instance)
        view.record_received(now_ms, self.instances.awake.now_ms())
        view.is_serving = message.is_serving
        view.proof_age_ms = message.proof_age_ms
        if view.lost_pools != message.lost_pools:
            view.lost_pools = message.lost_pools
            self._parts.on_lost_pools(message)
        view.active_digest = message.digest
        view.crash_digest = message.crash_digest
        if message.crashes is not None:
            self._parts.crashes.merge_report(message.crashes)
        self.instances.record_subscription(message)
        for batch in view.feed.receive(message, now_ms):
            apply_batch(self._parts.work_tracker, message.instance, batch)
        self._parts.on_message(message, asked_ms)
        is_answer = asked_ms is not None
        self.instances.record_active_list(message, is_answer=is_answer)

    def handle_request(self, message):
        """Process a message from another instance, and return the answer.

        Args:
          message: A PeerMessage.
        Returns:
          A PeerMessage.
        """
        self.receive(message)
        self.instances.choose()
        return self._make_message(self.instances.view(message.instance), [])

    def last_peer_message_age_ms(self):
        """Return the age of the oldest last message of an active peer.

        Peers without any message are ignored; None if there is no other.
        """
        views = [
            self.instances.view(one.identity) for one in self.instances.others
        ]
        known = [
            one.last_received_ms
            for one in views
            if one.last_received_ms is not None
        ]
        return self._now_ms() - min(known) if known else None

    def is_top_ranked(self, count=None):
        """Tell whether this instance is one of the best-ranked active ones.

        Args:
          count: How many to consider, or None for all.
        Returns:
          A bool, also true while no active instance is known.
        """
        first = [one.identity for one in self.active[:count]]
        return self._own in first or not first

    def choose_instances(self, data_centre):
        """Return the members that a client should use.

        Args:
          data_centre: The client's data centre, which is ignored: an extra
            network hop costs less than an instance with a partial view.
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
        return self._now_ms() - self._last_choice_ms < _SUBSCRIPTION_MS

    def _recipients(self):
        """Return the other active instances and the admitted followers."""
        followers = self.instances.list_followers()
        return [*self.instances.others, *followers[:_MAX_FOLLOWERS]]

    def _on_interval(self):
        self.instances.choose()
        if self._wants_work():
            self._poll_all(self.instances.exchange_interval_ms())
            return
        home = self.instances.find_home()
        if home is not None:
            self._poll_all(HOME_POLL_INTERVAL_MS, (home,))

    def _poll_all(self, interval_ms, members=None):
        """Send to members that were not sent to during the last interval."""
        now_ms = self._now_ms()
        for member in members or self._poll_targets():
            sent_ms = self.instances.view(member.identity).last_sent_ms
            if sent_ms is None or now_ms >= sent_ms + interval_ms - _FLUSH_MS:
                self._send(member, [])

    def _poll_next_home(self):
        """Poll another active instance after the home did not answer."""
        self.instances.choose()
        home = self.instances.find_home()
        if home is not None and not self._wants_work():
            self._poll_all(0, (home,))

    def _poll_targets(self):
        """Return the other active instances and a few excluded ones."""
        excluded = self.instances.list_excluded()
        count = min(len(excluded), _MAX_EXCLUDED_RETRIES)
        retried = self._parts.random.sample(excluded, count)
        return [*self.instances.others, *retried]

    def _on_flush(self):
        self._flush_timer = None
        changes = self._outbox
        self._outbox = []
        for member in self._recipients():
            self._send(member, changes)

    def _send(self, member, changes):
        view = self.instances.view(member.identity)
        now_ms = self._now_ms()
        view.record_sent(now_ms, self.instances.awake.now_ms())
        message = self._make_message(view, changes)

        def on_reply(reply):
            if reply is not None:
                self.receive(reply, now_ms)
            elif not self._wants_work():
                self.instances.record_no_response(member)
                self._poll_next_home()

        self._parts.send(member, message, on_reply, _TIMEOUT_MS)

    def _make_message(self, view, changes):
        digest = self.instances.digest
        crashes = self._parts.crashes
        must_report = view.claim_crash_report(crashes.digest, self._now_ms())
        return self._parts.make_message(
            active=() if view.active_digest == digest else self.active,
            digest=digest,
            subscribes_to_work=self._wants_work(),
            needs_snapshot=view.feed.is_incomplete(self._now_ms()),
            batch=view.feed.make_batch(changes, self._own_works),
            crash_digest=crashes.digest,
            crashes=crashes.make_report() if must_report else None,
        )

    def _own_works(self):
        return self._parts.work_tracker.list_work_of(None)


class PeerExchangeParts:
    """The dependencies of PeerExchange.

    Attributes:
      timers: A TimerService.
      random: A random.Random.
      members: A function that returns the Members not believed dead.
      get: A function that returns the Member with an id, or None.
      version: A function that returns a number that changes whenever a member
        does.
      is_serving: A function that returns whether this instance serves clients.
      proof_age_ms: A function that returns how many milliseconds ago this
        instance's configuration was confirmed to be the newest, or None.
      lost_pools: A function that returns the names of the pools whose servers
        this instance does not reach, but others do; optional.
      work_tracker: The EngineWorkTracker.
      crashes: The CrashHistory.
      make_message: A function that returns a PeerMessage.  Its keyword
        arguments are the PeerMessage's attributes that PeerExchange provides.
      on_message: A function that processes a received PeerMessage.  Its second
        argument is the time at which the PeerMessage was requested, or None.
      on_lost_pools: A function of a PeerMessage whose lost pools differ from
        those that its sender told before; optional.
      send: A function of a Member, a PeerMessage, a callback that gets the
        reply or None, and a timeout in milliseconds.
    """

    __slots__ = (
        'crashes',
        'get',
        'is_serving',
        'lost_pools',
        'make_message',
        'members',
        'on_lost_pools',
        'on_message',
        'proof_age_ms',
        'random',
        'send',
        'timers',
        'version',
        'work_tracker',
    )

    def __init__(self, **fields):
        """Set every attribute.

        Args:
          fields: A value for each attribute.
        """
        fields.setdefault('lost_pools', tuple)
        fields.setdefault('on_lost_pools', _ignore_lost_pools)
        for name in self.__slots__:
            setattr(self, name, fields[name])


def _ignore_lost_pools(_message):
    """Ignore which pools a peer does not reach."""
