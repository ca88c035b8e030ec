"""Gossip and replication between entry instances."""

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

_GOSSIP_INTERVAL_MS = 1000
_PROBE_TIMEOUT_MS = 500
_INDIRECT_PROBE_TIMEOUT_MS = 1200
_PULL_TIMEOUT_MS = 3000
_NOTIFY_FANOUT = 3
_CONFIG = 'config'
_INSTANCES = 'instances'


class GrpcMembershipPorts(MembershipPorts):
    """Sends the probes of the membership protocol over gRPC."""

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
    """The peer-to-peer protocol at one instance.

    Attributes:
      membership: The Membership.
    """

    def __init__(self, context, own, stores, crashes=None):
        """Create the peering; start() begins the gossip rounds.

        Args:
          context: An object with the attributes `timers`, `peer_client`,
            `random` and `metrics`.
          own: This instance's Member.
          stores: A dict that maps "config" and "instances" to the objects that
            hold them.
          crashes: A CrashHistory that is replicated with gossip, or None.
        """
        self._timers = context.timers
        self._client = context.peer_client
        self._metrics = context.metrics
        self._stores = stores
        self._pulling = set()
        self._crash_gossip = None
        if crashes is not None:
            self._crash_gossip = CrashGossip(crashes)
            crashes.subscribe(self.notify)
        self.membership = Membership(
            own,
            GrpcMembershipPorts(self, context.random),
        )

    @property
    def is_pulling(self):
        """Whether changes are being fetched from a peer."""
        return bool(self._pulling)

    def start(self):
        """Start the periodic gossip rounds."""
        self._timers.every(_GOSSIP_INTERVAL_MS, self.membership.run_round)

    def now_ms(self):
        """Return the time on this process's clock."""
        return self._timers.clock.now_ms()

    def probe(self, address, on_done, target=None):
        """Probe a peer and exchange gossip with it.

        Args:
          address: "IP:port".
          on_done: A function of a bool, whether the probe succeeded.
          target: The MemberRecord of an instance that the peer probes in turn,
            or None.
        """
        request = peer_pb2.ProbeRequest(
            gossip=self._make_gossip(address),
            target=target,
        )
        timeout_ms = (
            _PROBE_TIMEOUT_MS if target is None else _INDIRECT_PROBE_TIMEOUT_MS
        )

        def on_response(reply):
            if reply is None:
                on_done(False)
                return
            self._apply_gossip(reply.gossip, address)
            on_done(target is None or reply.reached)

        self.call(address, 'Probe', request, on_response, timeout_ms)

    def probe_through(self, helper, member, on_done):
        """Probe a member through another one; see MembershipPorts."""
        target = write_member(member)
        self.probe(helper.peer_address, on_done, target)

    def call(self, address, method, request, on_reply, timeout_ms):
        """Call a peer and count the messages; see PeerClient."""
        self._metrics.count('peer_messages', method)
        self._metrics.count('peer_bytes', amount=request.ByteSize())

        def on_response(reply):
            if reply is not None:
                self._metrics.count('peer_bytes', amount=reply.ByteSize())
            on_reply(reply)

        self._client.call(
            address,
            method,
            request,
            on_response,
            timeout_ms=timeout_ms,
        )

    def notify(self):
        """Gossip with a few peers immediately, to spread a change."""
        for peer in self.membership.choose_peers(_NOTIFY_FANOUT):
            self.probe(peer.peer_address, _ignore_answer)

    def seed(self, listed):
        """Add listed entry instances that are not members yet.

        Args:
          listed: ListedServer records of entry instances.
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
        """Answer a probe, after probing its target if it has one."""
        sender = self._apply_gossip(request.gossip, None)
        if not request.HasField('target'):
            gossip = self._make_gossip(sender)
            on_reply(peer_pb2.ProbeReply(gossip=gossip, reached=True))
            return
        target = read_member(request.target)

        def on_probed(reached):
            gossip = self._make_gossip(sender)
            on_reply(peer_pb2.ProbeReply(gossip=gossip, reached=reached))

        self.probe(target.peer_address, on_probed)

    def on_pull(self, request, on_reply):
        """Send a peer the changes that it is missing from a store."""
        holder = self._stores.get(request.store)
        changes = None
        if holder is not None:
            have = request.have
            changes = holder.list_missing_changes(have.in_force, have.seen)
        on_reply(write_changes(changes))

    def pull_if_behind(self, address, name, remote):
        """Fetch the changes of a store from a peer that has a newer revision.

        Args:
          address: The peer's "IP:port".
          name: The store's name.
          remote: The peer's revisions, with `in_force` and `seen`.
        """
        local = self._make_revisions(name)
        is_behind = remote.in_force > local.in_force or remote.seen > local.seen
        if not is_behind or name in self._pulling or not address:
            return
        self._pulling.add(name)
        request = peer_pb2.PullRequest(store=name, have=local)

        def on_response(reply):
            self._pulling.discard(name)
            if reply is None or not reply.revision:
                return
            if self._stores[name].offer(read_changes(reply)):
                self.pull_if_behind(address, name, remote)

        self.call(address, 'Pull', request, on_response, _PULL_TIMEOUT_MS)

    def _make_gossip(self, address):
        """Return the gossip for a receiver, given its address or None."""
        own = self.membership.own
        own.in_force = self._stores[_CONFIG].revision
        records = self.membership.collect_updates()
        gossip = make_gossip(
            [write_member(member) for member in records],
            self._make_revisions(_CONFIG),
            self._make_revisions(_INSTANCES),
        )
        if self._crash_gossip is not None:
            self._crash_gossip.add_to(gossip, address, self.now_ms())
        return gossip

    def _make_revisions(self, name):
        holder = self._stores[name]
        return peer_pb2.Revisions(
            in_force=holder.revision,
            seen=holder.seen_revision,
        )

    def _apply_gossip(self, gossip, address):
        """Apply received gossip and return the address of its sender."""
        self.membership.merge(
            [read_member(record) for record in gossip.members]
        )
        if address is None and gossip.members:
            address = gossip.members[0].peer_address
        self.pull_if_behind(address, _CONFIG, gossip.config)
        self.pull_if_behind(address, _INSTANCES, gossip.instances)
        if self._crash_gossip is not None:
            self._crash_gossip.merge_from(gossip, address, self.now_ms())
        return address


def _ignore_answer(_answered):
    """Ignore the outcome of a probe that only spreads changes."""
