"""Which instances callers are sent to, and what is known of each.

An active instance sees for itself who answers.  Any other instance asks one
active one, its home, and takes over which instances that one names, so that
what it costs to know them does not grow with the fleet.
"""

from itertools import islice

from crankchute.core.active_choice import (
    Ranking,
    count_active,
    digest_members,
    choose_home,
)
from crankchute.core.peer_view import PeerView

#: How often an active instance speaks to each other active one, news or not.
EXCHANGE_INTERVAL_MS = 250
#: Beyond so many other active ones the pace slows, so that one of them sends
#: no more than 48 such messages a second however large the fleet is.
_PACE_INSTANCES = 12
#: How often any other instance asks its home, in milliseconds.
HOME_POLL_INTERVAL_MS = 500
#: One lost answer may be chance; an instance is left out after this long
#: without any.
_SILENT_MS = 600
#: Where the pace is slow, silence has to last for so many of its turns.
_SILENT_PACES = 2.4
#: How long the list that a home told counts without another answer; after
#: that an instance chooses by its own knowledge.
_TOLD_MS = 3000
#: How old the proof of the configuration may be in an active instance.
_FRESH_PROOF_MS = 3200
#: Instances that are left out are asked again among so many times those that
#: are active, the first by rank: these would be active without their fault.
_LEFT_OUT_FACTOR = 2


class ActiveInstances:
    """The instances that callers are sent to, as one instance sees them.

    Attributes:
      chosen: The active Members, best first.
    """

    def __init__(self, parts, own):
        """Create the view of an instance that knows of nobody.

        Args:
          parts: A SharingParts.
          own: This instance's id.
        """
        self._parts = parts
        self._own = own
        self._views = {}
        self._wishers = {}
        self._ranking = Ranking(())
        self._ranked_version = None
        self._own_choice = frozenset()
        self._told = ()
        self._told_ms = float('-inf')
        self.chosen = []

    @property
    def others(self):
        """The active Members but this one, a list."""
        return [one for one in self.chosen if one.identity != self._own]

    @property
    def is_own_active(self):
        """Whether this instance is active, a bool."""
        return any(one.identity == self._own for one in self.chosen)

    @property
    def digest(self):
        """A number that tells apart lists of active instances."""
        return digest_members(self.chosen)

    def view(self, identity):
        """Return the PeerView of an instance.

        Args:
          identity: Its id.
        """
        view = self._views.get(identity)
        if view is None:
            view = PeerView()
            self._views[identity] = view
        return view

    def choose(self):
        """Choose the active instances anew."""
        ranking = self._rank()
        count = count_active(len(ranking))
        # Nobody is fresh while the store is away, and then those that answer
        # are better than those that stop or are silent.
        own_choice = (
            ranking.choose(count, self._is_fresh)
            or ranking.choose(count, self._is_sound)
            or ranking.choose(count, _accept)
        )
        self._own_choice = frozenset(one.identity for one in own_choice)
        self.chosen = own_choice
        if not self.is_own_active:
            self.chosen = self._list_told() or own_choice

    def record_active_list(self, briefing, *, is_answer):
        """Take the active instances that another one named.

        Only the word of one that is active itself keeps a list in force:
        others pass on what they were told, and would keep an old list alive
        among them.  A home that is no longer active says whom to ask next.

        Args:
          briefing: A Briefing.
          is_answer: Whether this instance had asked.
        """
        told = self._told
        if briefing.active:
            known = (self._parts.get(one.identity) for one in briefing.active)
            told = [one for one in known if one is not None]
        elif briefing.digest == self.digest:
            told = self.chosen
        is_active = any(one.identity == briefing.instance for one in told)
        if self._own in {one.identity for one in told}:
            # Whoever is active by others' word only believes it from those
            # that it would choose itself.  Three instances that had heard of
            # each other first kept each other active for a whole day, and
            # first events of short prompts came 3.66 times later than
            # predicted (90th percentile), else 1.23.
            is_active = is_active and briefing.instance in self._own_choice
        if is_active or (is_answer and briefing.active):
            self._told = tuple(told)
        if is_active:
            self._vouch_all()

    def record_subscription(self, briefing):
        """Take what another instance wants to be told.

        Args:
          briefing: A Briefing.
        """
        now_ms = self._now_ms()
        view = self.view(briefing.instance)
        view.feed.record_subscription(briefing, now_ms)
        if briefing.wants_work:
            self._wishers[briefing.instance] = view

    def find_home(self):
        """Return the active Member that this one asks, or None.

        One of its own data centre is asked where there is any, and as far as
        possible each by the same number of instances.
        """
        own = self._parts.get(self._own)
        return None if own is None else choose_home(self.others, own)

    def record_no_response(self, member):
        """Note that an instance did not answer this one, its follower.

        Args:
          member: A Member.
        """
        view = self.view(member.identity)
        view.last_received_ms = None
        view.last_vouched_ms = None
        self._told = tuple(
            one for one in self._told if one.identity != member.identity
        )

    def pace_ms(self):
        """Return how often each active instance is spoken to."""
        return EXCHANGE_INTERVAL_MS * max(1, len(self.chosen) / _PACE_INSTANCES)

    def list_excluded(self):
        """Return the first Members by rank that are left out for a fault.

        They are lost, stop, or have no fresh proof, as far as was heard; they
        are asked now and then, since nobody else says when that is over.
        """
        left_out = filter(self._is_left_out, self._rank().members)
        return list(islice(left_out, _LEFT_OUT_FACTOR * len(self.chosen)))

    def list_followers(self):
        """Return the Members that are not active and want to be told."""
        told = {self._own, *(one.identity for one in self.chosen)}
        followers = []
        for identity, view in tuple(self._wishers.items()):
            member = self._parts.get(identity)
            if not view.feed.has_subscriber(self._now_ms(), self._silent_ms()):
                self._wishers.pop(identity)
            elif identity not in told and member is not None:
                followers.append(member)
        return followers

    def _rank(self):
        """Return the Ranking of all members; it changes only with them."""
        version = self._parts.version()
        if version != self._ranked_version:
            self._ranked_version = version
            self._ranking = Ranking(self._parts.members())
        return self._ranking

    def _vouch_all(self):
        """Believe that those told of are active, on the word of a home.

        What one said of itself a moment ago counts more.
        """
        now_ms = self._now_ms()
        self._told_ms = now_ms
        for member in self._told:
            view = self.view(member.identity)
            view.last_vouched_ms = now_ms
            if (
                view.last_received_ms is None
                or now_ms - view.last_received_ms > _TOLD_MS
            ):
                view.is_serving = True

    def _list_told(self):
        """Return the active Members that were told of, while that counts."""
        if self._now_ms() - self._told_ms > _TOLD_MS:
            return []
        return [one for one in self._told if self._is_named(one)]

    def _is_named(self, member):
        """Tell whether a member that was told of may be named to callers."""
        known = self._parts.get(member.identity)
        if known is None or known.draining:
            return False
        if member.identity == self._own:
            return self._parts.is_serving()
        return self.view(member.identity).is_serving

    def _now_ms(self):
        return self._parts.timers.clock.now_ms()

    def _silent_ms(self):
        return max(_SILENT_MS, _SILENT_PACES * self.pace_ms())

    def _is_sound(self, member):
        if member.draining:
            return False
        if member.identity == self._own:
            return self._parts.is_serving()
        view = self._views.get(member.identity)
        if view is None:
            return True
        return self._is_vouched(view) or view.is_healthy(
            self._now_ms(),
            self._silent_ms(),
        )

    def _is_left_out(self, member):
        view = self._views.get(member.identity)
        if view is None or member.identity == self._own:
            return False
        if not view.is_healthy(self._now_ms(), self._silent_ms()):
            return True
        return not self._is_fresh(member)

    def _is_vouched(self, view):
        """Tell whether an instance is active by the word of others.

        An active instance goes by what it sees itself.
        """
        if self.is_own_active or view.last_vouched_ms is None:
            return False
        age_ms = self._now_ms() - view.last_vouched_ms
        return view.is_serving and age_ms < _TOLD_MS

    def _is_fresh(self, member):
        if not self._is_sound(member):
            return False
        if member.identity == self._own:
            age_ms = self._parts.proof_age_ms()
        else:
            view = self._views.get(member.identity)
            age_ms = None if view is None else view.proof_age_ms
        return age_ms is None or age_ms <= _FRESH_PROOF_MS


def _accept(_member):
    """Accept any member."""
    return True
