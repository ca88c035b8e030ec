"""SWIM-style membership of the instances, with constant cost per node.

Each node probes one other node per round.  If the probe is not answered, a few
other nodes repeat it, and only if they fail too the node becomes suspect.
Updates are piggybacked on probes and answers a bounded number of times.  A node
refutes a suspicion of itself by raising its incarnation.

Membership affects efficiency only: which instance is asked first, which one
owns an engine, and which ones read the platform.  No guarantee depends on it.
"""

import enum
import math

#: Each update is sent this many times the logarithm of the number of nodes.
_RETRANSMIT_FACTOR = 3
_MAX_UPDATES = 12
_INDIRECT_PROBES = 3
_SUSPICION_TIMEOUT_MS = 3000
#: How long after the suspicion a dead member's record is removed.
_DEAD_RETENTION_MS = 60_000
#: How often, in rounds, a lost seed is probed.
_SEED_PROBE_ROUNDS = 4


class Status(enum.IntEnum):
    """A member's status; within an incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member:
    """The record of a node, as published by itself and updated by others.

    Attributes:
      identity: The instance's id.
      boot: The random id of its process.
      incarnation: A version number that the node raises when it refutes a
        suspicion or changes its record.
      peer_address: "IP:port" for the other instances.
      http_address: "IP:port" for clients.
      data_centre: Where it runs.
      draining: Whether it accepts no new clients, a bool.
      reads_platform: Whether it can reach the platform, a bool.
      status: A Status.
      in_force: The last known revision of its configuration.
      strength: Its CPU capacity in thousandths of a core, or 0 if unknown.
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
          fields: Other attributes whose values differ from the defaults.
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
          changes: New values by attribute name.
        """
        duplicate = Member(self.identity, self.boot, self.incarnation)
        for name in self.__slots__:
            setattr(duplicate, name, changes.get(name, getattr(self, name)))
        return duplicate

    def overrides(self, other):
        """Tell whether this record supersedes another one.

        Args:
          other: A Member with the same id.
        """
        own_order = (self.incarnation, self.status)
        return own_order > (other.incarnation, other.status)


class _PendingUpdate:
    """A member's record that is still being sent to peers."""

    __slots__ = ('identity', 'sends_left')

    def __init__(self, identity, sends_left):
        self.identity = identity
        self.sends_left = sends_left


class Membership:
    """The members known to one node, including itself.

    Attributes:
      version: A counter that increases with every change of the members.
    """

    def __init__(self, own, ports):
        """Create a node that knows only itself.

        Args:
          own: This node's Member.
          ports: A MembershipPorts.
        """
        self._own = own
        self._ports = ports
        self._members = {own.identity: own}
        self._updates = {}
        self._suspected_since_ms = {}
        self._targets = []
        self._round_count = 0
        self._seeds = {}
        self._listeners = []
        self._alive = []
        self._alive_version = None
        self.version = 0

    @property
    def own(self):
        """This node's own Member."""
        return self._own

    def __len__(self):
        """Return the number of known members, including dead ones."""
        return len(self._members)

    def get(self, identity):
        """Return the Member with an id, or None."""
        return self._members.get(identity)

    def live_members(self):
        """Return the members not known to be dead, including this node.

        The list is cached between changes; the caller must not modify it.
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
        """Return all known members, including dead ones."""
        return list(self._members.values())

    def subscribe(self, listener):
        """Register a listener for changes of member records.

        Args:
          listener: A callback that gets the changed Member.
        """
        self._listeners.append(listener)

    def update_own(self, **changes):
        """Publish changes of this node's own record.

        Args:
          changes: New values by attribute name of Member.
        """
        incarnation = self._own.incarnation + 1
        self._own = self._own.copy(incarnation=incarnation, **changes)
        self._set_record(self._own)

    def seed(self, members):
        """Replace the seeds, and add those that are not known yet.

        Args:
          members: Member records with incarnation 0.
        """
        self._seeds = {member.identity: member for member in members}
        self._seeds.pop(self._own.identity, None)
        self.version += 1
        for member in self._seeds.values():
            if member.identity not in self._members:
                self._members[member.identity] = member

    def merge(self, updates):
        """Merge the records received from a peer.

        Args:
          updates: An iterable of Member.
        """
        for update in updates:
            if update.identity == self._own.identity:
                self._refute(update)
            else:
                self._merge_one(update)

    def collect_updates(self):
        """Return the records to send with the next message.

        Returns:
          A list of Member: this node, then a bounded number of updates with
          the most sends left first.
        """
        updates = sorted(self._updates.values(), key=_sends_left, reverse=True)
        chosen = updates[:_MAX_UPDATES]
        records = [self._members[update.identity] for update in chosen]
        for sent in chosen:
            sent.sends_left -= 1
            if sent.sends_left <= 0:
                self._updates.pop(sent.identity)
        others = [one for one in records if one.identity != self._own.identity]
        return [self._own, *others]

    def run_round(self):
        """Probe one member, and expire suspect and dead members.

        Every few rounds a lost seed is probed too, so that the two sides of a
        network partition find each other again when it heals.
        """
        self._expire_members()
        self._round_count += 1
        target = self._next_target()
        if target is not None:
            self._ports.probe(target, lambda ok: self._on_probe(target, ok))
        if self._round_count % _SEED_PROBE_ROUNDS == 0:
            self._probe_lost_seed()

    def choose_peers(self, count):
        """Return random members other than this node.

        Args:
          count: The maximum number of members.
        """
        others = [
            member
            for member in self.live_members()
            if member.identity != self._own.identity
        ]
        count = min(count, len(others))
        return self._ports.random.sample(others, count)

    def _on_probe(self, target, answered):
        if answered:
            return
        helpers = [
            peer
            for peer in self.choose_peers(_INDIRECT_PROBES + 1)
            if peer.identity != target.identity
        ][:_INDIRECT_PROBES]
        if not helpers:
            self._suspect(target)
            return
        probe = _IndirectProbe(len(helpers), lambda: self._suspect(target))
        for helper in helpers:
            self._ports.probe_through(helper, target, probe.on_result)

    def _probe_lost_seed(self):
        lost = [
            member
            for identity, member in self._seeds.items()
            if self._is_lost(identity)
        ]
        if lost:
            chosen = self._ports.random.choice(lost)
            self._ports.probe(chosen, _ignore)

    def _is_lost(self, identity):
        known = self._members.get(identity)
        return known is None or known.status == Status.DEAD

    def _next_target(self):
        while self._targets:
            identity = self._targets.pop()
            member = self._members.get(identity)
            if member is not None and member.status != Status.DEAD:
                return member
        self._targets = [
            member.identity
            for member in self.live_members()
            if member.identity != self._own.identity
        ]
        self._ports.random.shuffle(self._targets)
        return self._members[self._targets.pop()] if self._targets else None

    def _refute(self, update):
        own = self._own
        if update.incarnation < own.incarnation:
            return
        is_same_boot = update.boot == own.boot
        if is_same_boot and update.status == Status.ALIVE:
            return
        self._own = own.copy(incarnation=update.incarnation + 1)
        self._set_record(self._own)

    def _merge_one(self, update):
        known = self._members.get(update.identity)
        if known is None and update.status == Status.DEAD:
            return
        if known is None or update.overrides(known):
            self._set_record(update)
        elif known.status != Status.ALIVE:
            # The member must learn that it is suspected in order to refute it.
            self._enqueue_update(update.identity)
        elif update.boot == known.boot:
            known.in_force = max(known.in_force, update.in_force)

    def _suspect(self, target):
        known = self._members.get(target.identity)
        if known is None or known.boot != target.boot:
            return
        if known.status == Status.ALIVE:
            self._set_record(known.copy(status=Status.SUSPECT))

    def _enqueue_update(self, identity):
        size = len(self._members) + 1
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(size))
        self._updates[identity] = _PendingUpdate(identity, sends)

    def _expire_members(self):
        now_ms = self._ports.now_ms()
        for identity, since_ms in tuple(self._suspected_since_ms.items()):
            member = self._members[identity]
            age_ms = now_ms - since_ms
            if member.status == Status.DEAD and age_ms > _DEAD_RETENTION_MS:
                self._suspected_since_ms.pop(identity)
                self._members.pop(identity)
                self._updates.pop(identity, None)
                self.version += 1
            elif (
                member.status == Status.SUSPECT
                and age_ms > _SUSPICION_TIMEOUT_MS
            ):
                self._set_record(member.copy(status=Status.DEAD))

    def _set_record(self, member):
        identity = member.identity
        self._members[identity] = member
        self._enqueue_update(identity)
        if member.status == Status.ALIVE:
            self._suspected_since_ms.pop(identity, None)
        else:
            now_ms = self._ports.now_ms()
            self._suspected_since_ms.setdefault(identity, now_ms)
        self.version += 1
        for listener in self._listeners:
            listener(member)


class _IndirectProbe:
    """Collects the helpers' results; reports if none reached the target."""

    __slots__ = ('_awaited', '_on_failure')

    def __init__(self, count, on_failure):
        self._awaited = count
        self._on_failure = on_failure

    def on_result(self, reached):
        if reached:
            self._on_failure = None
        self._awaited -= 1
        if self._awaited == 0 and self._on_failure is not None:
            self._on_failure()


def _ignore(_answered):
    """Ignore the result: an answer from the member updates its record."""


def _sends_left(update):
    return update.sends_left
