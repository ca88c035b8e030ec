"""Who the entry instances are, by gossip of constant cost per node.

Each node probes one other per round; a probe without an answer is repeated
through a few others, and only then the node is suspected.  What changed is
carried on probes and answers a bounded number of times.  A node refutes its
own suspicion by raising its incarnation.

Membership decides only efficiency: who is asked first, who owns an engine,
who reads the platform.  No promise rests on it.
"""

import enum
import math

_SPREAD_FACTOR = 3
_MOST_UPDATES = 12
_INDIRECT = 3
_SUSPECT_MS = 3000
_FORGET_MS = 60_000
_REVIVE_ROUNDS = 4


class Status(enum.IntEnum):
    """What is believed of a member; a higher one wins at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member:
    """What a node says of itself, and what others believe of it.

    Attributes:
      identity: The instance's id.
      boot: The random id of its process.
      incarnation: Rises when the node refutes or changes what it says.
      peer_address: "IP:port" for the other instances.
      http_address: "IP:port" for callers.
      data_centre: Where it runs.
      draining: Whether it takes no new callers, a bool.
      reads_platform: Whether it reaches the platform, a bool.
      status: A Status.
      in_force: The revision of its configuration, as last heard.
      strength: The processor that it has, in thousandths of a core, or 0
        where that is not known.
    """

    __slots__ = (
        'boot',
        'data_centre',
        'draining',
        'http_address',
        'identity',
        'in_force',
        'incarnation',
        'peer_address',
        'reads_platform',
        'status',
        'strength',
    )

    def __init__(self, identity, boot, incarnation, **fields):
        """Create a member.

        Args:
          identity: The instance's id.
          boot: The random id of its process.
          incarnation: An int.
          fields: The other attributes that differ from their defaults.
        """
        self.identity = identity
        self.boot = boot
        self.incarnation = incarnation
        self.peer_address = fields.get('peer_address', '')
        self.http_address = fields.get('http_address', '')
        self.data_centre = fields.get('data_centre', '')
        self.draining = fields.get('draining', False)
        self.reads_platform = fields.get('reads_platform', True)
        self.status = Status(fields.get('status', Status.ALIVE))
        self.in_force = fields.get('in_force', 0)
        self.strength = fields.get('strength', 0)

    def copy(self, **changes):
        """Return a copy with some attributes changed.

        Args:
          changes: Attributes and their new values.
        """
        twin = Member(self.identity, self.boot, self.incarnation)
        for name in self.__slots__:
            setattr(twin, name, changes.get(name, getattr(self, name)))
        return twin

    def overrides(self, other):
        """Tell whether this is newer knowledge than another record.

        Args:
          other: A Member with the same id.
        """
        mine = (self.incarnation, self.status)
        return mine > (other.incarnation, other.status)


class _Rumour:
    """A member record that is still being passed on."""

    __slots__ = ('identity', 'left')

    def __init__(self, identity, left):
        self.identity = identity
        self.left = left


class Membership:
    """The members that one node knows, itself among them.

    Attributes:
      version: Rises with each change of the members.
    """

    def __init__(self, own, ports):
        """Create a node that knows only itself.

        Args:
          own: The Member that this node is.
          ports: A MembershipPorts.
        """
        self._own = own
        self._ports = ports
        self._members = {own.identity: own}
        self._rumours = {}
        self._suspected_ms = {}
        self._round = []
        self._rounds = 0
        self._listed = {}
        self._listeners = []
        self._alive = []
        self._alive_version = None
        self.version = 0

    @property
    def own(self):
        """This node's own record."""
        return self._own

    def __len__(self):
        """Return how many members are known, dead ones included."""
        return len(self._members)

    def get(self, identity):
        """Return the Member with an id, or None."""
        return self._members.get(identity)

    def believed_alive(self):
        """Return the members not believed dead, this node included.

        The list is made anew only after a change, and is not to be changed.
        """
        if self._alive_version != self.version:
            self._alive_version = self.version
            self._alive = [
                member
                for member in self._members.values()
                if member.status != Status.DEAD
            ]
        return self._alive

    def all_members(self):
        """Return every known member."""
        return list(self._members.values())

    def subscribe(self, listener):
        """Be told when a member's record changes.

        Args:
          listener: A function of a Member.
        """
        self._listeners.append(listener)

    def announce(self, **changes):
        """Change what this node says of itself.

        Args:
          changes: Attributes of Member and their new values.
        """
        incarnation = self._own.incarnation + 1
        self._own = self._own.copy(incarnation=incarnation, **changes)
        self._store(self._own)

    def seed(self, members):
        """Take the list of members, and add those nobody told of yet.

        Args:
          members: Member records with incarnation 0.
        """
        self._listed = {member.identity: member for member in members}
        self._listed.pop(self._own.identity, None)
        self.version += 1
        for member in self._listed.values():
            if member.identity not in self._members:
                self._members[member.identity] = member

    def merge(self, updates):
        """Take records that a peer passed on.

        Args:
          updates: An iterable of Member.
        """
        for update in updates:
            if update.identity == self._own.identity:
                self._refute(update)
            else:
                self._merge_one(update)

    def collect_updates(self):
        """Return the records to pass on with the next message.

        Returns:
          A list of Member: this node and a bounded number of rumours, those
          passed on least first.
        """
        rumours = sorted(self._rumours.values(), key=_turns_left, reverse=True)
        chosen = rumours[:_MOST_UPDATES]
        records = [self._members[rumour.identity] for rumour in chosen]
        for passed_on in chosen:
            passed_on.left -= 1
            if passed_on.left <= 0:
                self._rumours.pop(passed_on.identity)
        others = [one for one in records if one.identity != self._own.identity]
        return [self._own, *others]

    def run_round(self):
        """Probe one member and let suspicions grow into deaths.

        Now and then a listed member that is believed lost is probed too, so
        that two sides of a cut find each other again when it heals.
        """
        self._bury_suspects()
        self._rounds += 1
        target = self._next_target()
        if target is not None:
            self._ports.probe(target, lambda ok: self._on_probe(target, ok))
        if self._rounds % _REVIVE_ROUNDS == 0:
            self._probe_lost()

    def choose_peers(self, count):
        """Return some random members other than this node.

        Args:
          count: How many at most.
        """
        others = [
            member
            for member in self.believed_alive()
            if member.identity != self._own.identity
        ]
        count = min(count, len(others))
        return self._ports.random.sample(others, count)

    def _on_probe(self, target, answered):
        if answered:
            return
        helpers = [
            peer
            for peer in self.choose_peers(_INDIRECT + 1)
            if peer.identity != target.identity
        ][:_INDIRECT]
        if not helpers:
            self._suspect(target)
            return
        poll = _IndirectPoll(len(helpers), lambda: self._suspect(target))
        for helper in helpers:
            self._ports.probe_through(helper, target, poll.note)

    def _probe_lost(self):
        lost = [
            member
            for identity, member in self._listed.items()
            if self._is_lost(identity)
        ]
        if lost:
            chosen = self._ports.random.choice(lost)
            self._ports.probe(chosen, _ignore)

    def _is_lost(self, identity):
        known = self._members.get(identity)
        return known is None or known.status == Status.DEAD

    def _next_target(self):
        while self._round:
            identity = self._round.pop()
            member = self._members.get(identity)
            if member is not None and member.status != Status.DEAD:
                return member
        self._round = [
            member.identity
            for member in self.believed_alive()
            if member.identity != self._own.identity
        ]
        self._ports.random.shuffle(self._round)
        return self._members[self._round.pop()] if self._round else None

    def _refute(self, update):
        own = self._own
        if update.incarnation < own.incarnation:
            return
        is_mine = update.boot == own.boot
        if is_mine and update.status == Status.ALIVE:
            return
        self._own = own.copy(incarnation=update.incarnation + 1)
        self._store(self._own)

    def _merge_one(self, update):
        known = self._members.get(update.identity)
        if known is None and update.status == Status.DEAD:
            return
        if known is None or update.overrides(known):
            self._store(update)
        elif known.status != Status.ALIVE:
            # Whoever speaks up while it is believed lost must hear of it.
            self._spread(update.identity)
        elif update.boot == known.boot:
            known.in_force = max(known.in_force, update.in_force)

    def _suspect(self, target):
        known = self._members.get(target.identity)
        if known is None or known.boot != target.boot:
            return
        if known.status == Status.ALIVE:
            self._store(known.copy(status=Status.SUSPECT))

    def _spread(self, identity):
        size = len(self._members) + 1
        turns = _SPREAD_FACTOR * math.ceil(math.log2(size))
        self._rumours[identity] = _Rumour(identity, turns)

    def _bury_suspects(self):
        now_ms = self._ports.now_ms()
        for identity, since_ms in tuple(self._suspected_ms.items()):
            member = self._members[identity]
            age_ms = now_ms - since_ms
            if member.status == Status.DEAD and age_ms > _FORGET_MS:
                self._suspected_ms.pop(identity)
                self._members.pop(identity)
                self._rumours.pop(identity, None)
                self.version += 1
            elif member.status == Status.SUSPECT and age_ms > _SUSPECT_MS:
                self._store(member.copy(status=Status.DEAD))

    def _store(self, member):
        identity = member.identity
        self._members[identity] = member
        self._spread(identity)
        if member.status == Status.ALIVE:
            self._suspected_ms.pop(identity, None)
        else:
            now_ms = self._ports.now_ms()
            self._suspected_ms.setdefault(identity, now_ms)
        self.version += 1
        for listener in self._listeners:
            listener(member)


class _IndirectPoll:
    """Counts the answers of helpers; acts when none reached the target."""

    __slots__ = ('_left', '_on_lost')

    def __init__(self, count, on_lost):
        self._left = count
        self._on_lost = on_lost

    def note(self, reached):
        if reached:
            self._on_lost = None
        self._left -= 1
        if self._left == 0 and self._on_lost is not None:
            self._on_lost()


def _ignore(_answered):
    """Take the end of a probe that only looks for a lost member."""


def _turns_left(rumour):
    return rumour.left
