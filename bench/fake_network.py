"""A network of membership nodes in one process, without sockets."""

import random

from crankchute.adapters.peer_records import write_member
from crankchute.core.membership import Member, Membership
from crankchute.ports.peers import MembershipPorts

_ROUND_MS = 1000


class FakeNetwork:
    """Membership nodes that call one another directly.

    Attributes:
      nodes: A map from id to Membership.
      dead: Ids that answer nothing.
      cut: Two sets of ids that cannot reach each other, or None.
      messages, payload: How many messages and bytes were sent.
    """

    def __init__(self):
        """Create without nodes."""
        self.nodes = {}
        self.dead = set()
        self.cut = None
        self.now_ms = 0
        self.messages = 0
        self.payload = 0

    def exchange(self, sender, receiver):
        """Send a probe and its answer; return whether it came back."""
        updates = self.nodes[sender].collect_updates()
        self._count(updates)
        if receiver in self.dead or self._is_cut(sender, receiver):
            return False
        self.nodes[receiver].merge(updates)
        answers = self.nodes[receiver].collect_updates()
        self._count(answers)
        self.nodes[sender].merge(answers)
        return True

    def run_round(self):
        """Let every node that lives run a round."""
        self.now_ms += _ROUND_MS
        for name, node in self.nodes.items():
            if name not in self.dead:
                node.run_round()

    def _is_cut(self, sender, receiver):
        if self.cut is None:
            return False
        return not any({sender, receiver} <= side for side in self.cut)

    def _count(self, updates):
        self.messages += 1
        self.payload += sum(write_member(one).ByteSize() for one in updates)


class FakePorts(MembershipPorts):
    """The ports of one node of a FakeNetwork."""

    def __init__(self, network, name):
        """Create the ports.

        Args:
          network: The FakeNetwork.
          name: The node's id.
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
        reached = self._network.exchange(self._name, helper.identity)
        if reached:
            reached = self._network.exchange(helper.identity, member.identity)
        on_done(reached)


def build_network(size):
    """Return a FakeNetwork whose nodes all know one another."""
    network = FakeNetwork()
    members = [make_member(index) for index in range(size)]
    for own in members:
        ports = FakePorts(network, own.identity)
        node = Membership(own, ports)
        node.seed(members)
        network.nodes[own.identity] = node
    return network


def make_member(index):
    """Return the Member of a number, in one of nine data centres."""
    return Member(
        f'entry-{index:04}',
        f'boot-{index:016}',
        1_700_000_000_000,
        peer_address='127.0.0.1:20000',
        http_address='127.0.0.1:30000',
        data_centre=f'dc-{index % 9}',
    )
