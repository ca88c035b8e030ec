"""Talking to the other entry instances: gossip, pulls, loans, forwarding."""

from crankchute.adapters.peer_records import (
    read_changes,
    read_member,
    write_changes,
    write_member,
)
from crankchute.adapters.peers_grpc import make_gossip
from crankchute.core.membership import Member, Membership
from crankchute.entry.crash_gossip import CrashGossip
from crankchute.ports.peers import MembershipPorts
from crankchute.proto import peer_pb2

ROUND_MS = 1000
_PROBE_MS = 500
_INDIRECT_MS = 1200
_PULL_MS = 3000
_NOTIFY_FANOUT = 3
_CONFIG = 'config'
_INSTANCES = 'instances'


class GrpcMembershipPorts(MembershipPorts):
    """Probes over gRPC."""

    def __init__(self, peering, random):
        """Create the ports.

        Args:
          peering: The Peering.
          random: A random.Random.
        """
        self._peering = peering
        self.random = random

    def now_ms(self):
        """See MembershipPorts."""
        return self._peering.now_ms()

    def probe(self, member, on_done):
        """See MembershipPorts."""
        self._peering.probe(member.peer_address, on_done)

    def probe_through(self, helper, member, on_done):
        """See MembershipPorts."""
        self._peering.probe_through(helper, member, on_done)


class Peering:
    """One instance's side of the protocol between instances.

    Attributes:
      membership: The Membership.
    """

    def __init__(self, parts, own, stores, crashes=None):
        """Create the peering; start() begins the rounds.

        Args:
          parts: An object with `timers`, `peer_client`, `random`, `metrics`.
          own: This instance's Member.
          stores: A map from "config" and "instances" to their holders.
          crashes: A CrashLedger that is told of with gossip, or None.
        """
        self._timers = parts.timers
        self._client = parts.peer_client
        self._metrics = parts.metrics
        self._stores = stores
        self._pulling = set()
        self._crashes = None
        if crashes is not None:
            self._crashes = CrashGossip(crashes)
            crashes.subscribe(self.notify)
        self.membership = Membership(
            own,
            GrpcMembershipPorts(self, parts.random),
        )

    @property
    def is_pulling(self):
        """Whether changes are being fetched from a peer."""
        return bool(self._pulling)

    def start(self):
        """Begin the rounds of gossip."""
        self._timers.every(ROUND_MS, self.membership.run_round)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._timers.clock.now_ms()

    def probe(self, address, on_done, target=None):
        """Probe a peer and exchange gossip with it.

        Args:
          address: "IP:port".
          on_done: A function of a bool, whether it answered.
          target: A MemberRecord that the peer shall probe, or None.
        """
        request = peer_pb2.ProbeRequest(
            gossip=self._gossip(address),
            target=target,
        )
        timeout_ms = _PROBE_MS if target is None else _INDIRECT_MS

        def take(reply):
            if reply is None:
                on_done(False)
                return
            self._take_gossip(reply.gossip, address)
            on_done(target is None or reply.reached)

        self.call(address, 'Probe', request, take, timeout_ms)

    def probe_through(self, helper, member, on_done):
        """Ask a helper to probe a member; see MembershipPorts."""
        target = write_member(member)
        self.probe(helper.peer_address, on_done, target)

    def call(self, address, method, request, on_reply, timeout_ms):
        """Call a peer and count the message; see PeerClient."""
        self._metrics.count('peer_messages', method)
        self._metrics.count('peer_bytes', amount=request.ByteSize())

        def take(reply):
            if reply is not None:
                self._metrics.count('peer_bytes', amount=reply.ByteSize())
            on_reply(reply)

        self._client.call(
            address,
            method,
            request,
            take,
            timeout_ms=timeout_ms,
        )

    def notify(self):
        """Tell a few peers at once that there is something new."""
        for peer in self.membership.choose_peers(_NOTIFY_FANOUT):
            self.probe(peer.peer_address, _ignore)

    def seed(self, listed):
        """Add the listed entry instances that nobody told of yet.

        Args:
          listed: Listed records of entry instances.
        """
        members = [
            Member(
                record.identity,
                '',
                0,
                peer_address=record.labels.get('peer', ''),
                data_centre=record.data_centre,
                draining=True,
            )
            for record in listed
            if record.labels.get('peer')
        ]
        self.membership.seed(members)

    def on_probe(self, request, on_reply):
        """Answer a probe, perhaps after probing a third instance."""
        asker = self._take_gossip(request.gossip, None)
        if not request.HasField('target'):
            gossip = self._gossip(asker)
            on_reply(peer_pb2.ProbeReply(gossip=gossip, reached=True))
            return
        target = read_member(request.target)

        def take(reached):
            gossip = self._gossip(asker)
            on_reply(peer_pb2.ProbeReply(gossip=gossip, reached=reached))

        self.probe(target.peer_address, take)

    def on_pull(self, request, on_reply):
        """Answer what a peer lacks of a published store."""
        holder = self._stores.get(request.store)
        changes = None
        if holder is not None:
            have = request.have
            changes = holder.changes_for(have.in_force, have.seen)
        on_reply(write_changes(changes))

    def pull_if_behind(self, address, name, theirs):
        """Fetch what a peer has and this instance lacks.

        Args:
          address: The peer's "IP:port".
          name: The store's name.
          theirs: The peer's revisions, with `in_force` and `seen`.
        """
        mine = self._revisions(name)
        is_behind = theirs.in_force > mine.in_force or theirs.seen > mine.seen
        if not is_behind or name in self._pulling or not address:
            return
        self._pulling.add(name)
        request = peer_pb2.PullRequest(store=name, have=mine)

        def take(reply):
            self._pulling.discard(name)
            if reply is None or not reply.revision:
                return
            if self._stores[name].offer(read_changes(reply)):
                self.pull_if_behind(address, name, theirs)

        self.call(address, 'Pull', request, take, _PULL_MS)

    def _gossip(self, address):
        """Return the gossip for an instance, by its address or None."""
        own = self.membership.own
        own.in_force = self._stores[_CONFIG].revision
        records = self.membership.collect_updates()
        gossip = make_gossip(
            [write_member(member) for member in records],
            self._revisions(_CONFIG),
            self._revisions(_INSTANCES),
        )
        if self._crashes is not None:
            self._crashes.add_to(gossip, address, self.now_ms())
        return gossip

    def _revisions(self, name):
        holder = self._stores[name]
        return peer_pb2.Revisions(
            in_force=holder.revision,
            seen=holder.seen_revision,
        )

    def _take_gossip(self, gossip, address):
        """Take gossip; return the address of the instance that sent it."""
        self.membership.merge([read_member(one) for one in gossip.members])
        if address is None and gossip.members:
            address = gossip.members[0].peer_address
        self.pull_if_behind(address, _CONFIG, gossip.config)
        self.pull_if_behind(address, _INSTANCES, gossip.instances)
        if self._crashes is not None:
            self._crashes.merge_from(gossip, address, self.now_ms())
        return address


def _ignore(_answered):
    """Take the end of a probe that only spreads news."""
