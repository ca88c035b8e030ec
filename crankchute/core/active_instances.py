"""The active instances, and the health of each as one instance sees it.

An active instance exchanges messages with all other active ones and judges
their health itself.  Any other instance polls one active instance, its home,
and adopts the list that the home reports.  The cost per instance therefore
does not grow with the fleet.
"""

from itertools import islice

from crankchute.core.active_choice import (
    Ranking,
    choose_home,
    count_active,
    hash_members,
)
from crankchute.core.awake_clock import AwakeClock
from crankchute.core.peer_view import PeerView

#: How often an active instance sends to each other active one.
EXCHANGE_INTERVAL_MS = 250
#: With more active instances than this the interval grows in proportion, so
#: that each of them sends at most 48 such messages per second.
_FULL_RATE_INSTANCES = 12
#: How often any other instance polls its home.
HOME_POLL_INTERVAL_MS = 500
#: An instance that has not answered for this long is excluded.  The timeout
#: tolerates a single lost answer.
_SILENCE_TIMEOUT_MS = 600
#: The same in exchange intervals, which applies when these are long.
_SILENCE_TIMEOUT_INTERVALS = 2.4
#: How long a list reported by an active instance is valid.  After that an
#: instance makes its own choice.
_REPORTED_TTL_MS = 3000
#: An active instance must have confirmed its configuration this recently.
_MAX_PROOF_AGE_MS = 3200
#: Limits the excluded instances to retry, as a multiple of the active ones.
#: The best-ranked ones suffice: they would be active without their fault.
_EXCLUDED_FACTOR = 2


class ActiveInstances:
    """The active instances, as one instance sees them.

    Attributes:
      chosen: The active Members, best first.
      awake: The AwakeClock on which the health of others is judged.
    """

    def __init__(self, parts, own):
        """Create a view without any known instance.

        Args:
          parts: A PeerExchangeParts.
          own: This instance's id.
        """
        self._parts = parts
        self._own = own
        self.awake = AwakeClock(parts.timers.clock)
        self._views = {}
        self._subscribers = {}
        self._ranking = Ranking(())
        self._ranked_version = None
        self._own_choice = frozenset()
        self._reported = ()
        self._reported_awake_ms = float('-inf')
        self.chosen = []

    @property
    def others(self):
        """The active Members other than this instance, a list."""
        return [one for one in self.chosen if one.identity != self._own]

    @property
    def is_own_active(self):
        """Whether this instance is active, a bool."""
        return any(one.identity == self._own for one in self.chosen)

    @property
    def digest(self):
        """A hash that identifies the list of active instances."""
        return hash_members(self.chosen)

    def view(self, identity):
        """Return the PeerView of an instance, created on first use.

        Args:
          identity: The instance's id.
        """
        view = self._views.get(identity)
        if view is None:
            view = PeerView()
            self._views[identity] = view
        return view

    def choose(self):
        """Update the choice of active instances."""
        ranking = self._rank()
        count = count_active(len(ranking))
        self.view(self._own).lost_pools = self._parts.lost_pools()
        # During an outage of the store no instance is up to date; healthy ones
        # are then preferred to those that are stopping or do not answer.
        own_choice = (
            ranking.choose(
                count,
                lambda member: (
                    self._is_up_to_date(member)
                    and not self.view(member.identity).lost_pools
                ),
            )
            or ranking.choose(count, self._is_up_to_date)
            or ranking.choose(count, self._is_healthy)
            or ranking.choose(count, _accept_any)
        )
        self._own_choice = frozenset(one.identity for one in own_choice)
        self.chosen = own_choice
        if not self.is_own_active:
            self.chosen = self._list_reported() or own_choice

    def record_active_list(self, message, *, is_answer):
        """Process the list of active instances that a peer reported.

        Only a report from an active instance renews the list.  Other instances
        pass on what they received, and would keep an outdated list alive among
        themselves.  A home that is no longer active still provides the list
        from which the next home is chosen.

        Args:
          message: A PeerMessage.
          is_answer: Whether it answers a request of this instance.
        """
        reported = self._reported
        if message.active:
            known = (self._parts.get(one.identity) for one in message.active)
            reported = [one for one in known if one is not None]
        elif message.digest == self.digest:
            reported = self.chosen
        is_active = any(one.identity == message.instance for one in reported)
        if self._own in {one.identity for one in reported}:
            # An instance that is listed itself trusts only peers of its own
            # choice.  Otherwise a few instances that learnt of each other
            # first would confirm each other as active indefinitely.
            is_active = is_active and message.instance in self._own_choice
        if is_active or (is_answer and message.active):
            self._reported = tuple(reported)
        if is_active:
            self._vouch_for_reported()

    def record_subscription(self, message):
        """Record whether a peer subscribes to this instance's work.

        Args:
          message: A PeerMessage.
        """
        now_ms = self._now_ms()
        view = self.view(message.instance)
        view.feed.record_subscription(message, now_ms)
        if message.subscribes_to_work:
            self._subscribers[message.instance] = view

    def find_home(self):
        """Return the active Member that this instance polls, or None."""
        own = self._parts.get(self._own)
        return None if own is None else choose_home(self.others, own)

    def record_no_response(self, member):
        """Record that an instance did not answer a poll of this one.

        Args:
          member: A Member.
        """
        self.view(member.identity).record_no_response()
        self._reported = tuple(
            one for one in self._reported if one.identity != member.identity
        )

    def exchange_interval_ms(self):
        """Return the interval between messages to each active instance."""
        return EXCHANGE_INTERVAL_MS * max(
            1, len(self.chosen) / _FULL_RATE_INSTANCES
        )

    def list_excluded(self):
        """Return the best-ranked Members that are excluded for a fault.

        According to the last message they do not answer, are stopping, are
        out of date, or have lost paths to servers.  They must be polled, since
        no other instance reports their recovery.
        """
        excluded = filter(self._is_excluded, self._rank().members)
        return list(islice(excluded, _EXCLUDED_FACTOR * len(self.chosen)))

    def list_followers(self):
        """Return the inactive Members that subscribe to work updates."""
        others = {self._own, *(one.identity for one in self.chosen)}
        followers = []
        for identity, view in tuple(self._subscribers.items()):
            member = self._parts.get(identity)
            if not view.feed.has_subscriber(
                self._now_ms(),
                self._silence_timeout_ms(),
            ):
                self._subscribers.pop(identity)
            elif identity not in others and member is not None:
                followers.append(member)
        return followers

    def _rank(self):
        """Return the Ranking of all members, rebuilt when they change."""
        version = self._parts.version()
        if version != self._ranked_version:
            self._ranked_version = version
            self._ranking = Ranking(self._parts.members())
        return self._ranking

    def _vouch_for_reported(self):
        """Treat the reported instances as serving, on a peer's word.

        A recent message from an instance itself takes precedence.
        """
        now_ms = self._now_ms()
        self._reported_awake_ms = self.awake.now_ms()
        for member in self._reported:
            view = self.view(member.identity)
            view.last_vouched_awake_ms = self._reported_awake_ms
            if (
                view.last_received_ms is None
                or now_ms - view.last_received_ms > _REPORTED_TTL_MS
            ):
                view.is_serving = True

    def _list_reported(self):
        """Return the reported active Members, if the report is still valid."""
        if self.awake.now_ms() - self._reported_awake_ms > _REPORTED_TTL_MS:
            return []
        return [one for one in self._reported if self._is_usable(one)]

    def _is_usable(self, member):
        """Tell whether clients may be sent to a reported member."""
        known = self._parts.get(member.identity)
        if known is None or known.draining:
            return False
        if member.identity == self._own:
            return self._parts.is_serving()
        return self.view(member.identity).is_serving

    def _now_ms(self):
        return self._parts.timers.clock.now_ms()

    def _silence_timeout_ms(self):
        return max(
            _SILENCE_TIMEOUT_MS,
            _SILENCE_TIMEOUT_INTERVALS * self.exchange_interval_ms(),
        )

    def _is_healthy(self, member):
        if member.draining:
            return False
        if member.identity == self._own:
            return self._parts.is_serving()
        view = self._views.get(member.identity)
        if view is None:
            return True
        return self._is_vouched(view) or view.is_healthy(
            self.awake.now_ms(), self._silence_timeout_ms()
        )

    def _is_excluded(self, member):
        view = self._views.get(member.identity)
        if view is None or member.identity == self._own:
            return False
        awake_ms = self.awake.now_ms()
        if not view.is_healthy(awake_ms, self._silence_timeout_ms()):
            return True
        return bool(view.lost_pools) or not self._is_up_to_date(member)

    def _is_vouched(self, view):
        """Tell whether an active instance recently listed a peer as active.

        An active instance relies only on its own messages.
        """
        if self.is_own_active or view.last_vouched_awake_ms is None:
            return False
        age_ms = self.awake.now_ms() - view.last_vouched_awake_ms
        return view.is_serving and age_ms < _REPORTED_TTL_MS

    def _is_up_to_date(self, member):
        if not self._is_healthy(member):
            return False
        if member.identity == self._own:
            age_ms = self._parts.proof_age_ms()
        else:
            view = self._views.get(member.identity)
            age_ms = None if view is None else view.proof_age_ms
        return age_ms is None or age_ms <= _MAX_PROOF_AGE_MS


def _accept_any(_member):
    """Accept any member."""
    return True
