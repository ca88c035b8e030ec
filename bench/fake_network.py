"""An in-process network of membership nodes, without sockets."""

import random

from crankchute.adapters.peer_records import write_member
from crankchute.core.membership import Member, Membership
from crankchute.ports.peers import MembershipPorts

_ROUND_MS = 1000


class FakeNetwork:
    """Membership nodes that call each other directly.

    Attributes:
      nodes: A dict from node id to Membership.
      dead: The ids of nodes that do not respond, a set.
      cut: The two sides of a network partition, sets of ids, or None.
      now_ms: The current time.
      messages: The number of messages sent.
      payload_bytes: The number of bytes sent.
    """

    def __init__(self):
        """Create a network without nodes."""
        self.nodes = {}
        self.dead = set()
        self.cut = None
        self.now_ms = 0
        self.messages = 0
        self.payload_bytes = 0

    def exchange(self, sender, receiver):
        """Send a probe and its reply; return whether the reply arrived."""
        updates = self.nodes[sender].collect_updates()
        self._count(updates)
        if receiver in self.dead or self._is_partitioned(sender, receiver):
            return False
        self.nodes[receiver].merge(updates)
        replies = self.nodes[receiver].collect_updates()
        self._count(replies)
        self.nodes[sender].merge(replies)
        return True

    def run_round(self):
        """Advance the time by a round and run it on every live node."""
        self.now_ms += _ROUND_MS
        for name, node in self.nodes.items():
            if name not in self.dead:
                node.run_round()

    def _is_partitioned(self, sender, receiver):
        if self.cut is None:
            return False
        return not any({sender, receiver} <= side for side in self.cut)

    def _count(self, updates):
        self.messages += 1
        self.payload_bytes += sum(
            write_member(update).ByteSize() for update in updates
        )


class FakeMembershipPorts(MembershipPorts):
    """The membership ports of a node of a FakeNetwork."""

    def __init__(self, network, name):
        """Create the ports.

        Args:
          network: The FakeNetwork.
          name: The node id.
        """
        self._network = network
        self._name = name
        self.random = random.Random(name)

    def now_ms(self):
        """See MembershipPorts."""
        return self._network.now_ms

    def probe(self, member, on_done):
        """See MembershipPorts."""
        on_done(self._network.exchange(self._name, member.identity))

    def probe_through(self, helper, member, on_done):
        """See MembershipPorts."""
        is_reached = self._network.exchange(self._name, helper.identity)
        if is_reached:
            is_reached = self._network.exchange(
                helper.identity, member.identity
            )
        on_done(is_reached)


def build_network(size):
    """Return a FakeNetwork of a given size whose nodes all know each other."""
    network = FakeNetwork()
    members = [make_member(index) for index in range(size)]
    for member in members:
        ports = FakeMembershipPorts(network, member.identity)
        node = Membership(member, ports)
        node.seed(members)
        network.nodes[member.identity] = node
    return network


def make_member(index):
    """Return the Member with a given index, in one of nine data centres."""
    return Member(
        f'entry-{index:04}',
        f'boot-{index:016}',
        1_700_000_000_000,
        peer_address='127.0.0.1:20000',
        http_address='127.0.0.1:30000',
        data_centre=f'dc-{index % 9}',
    )
