"""Checks of the paths to backend servers, with the help of other instances."""

from functools import partial

from crankchute.adapters.log import log_change
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.path_ports import PathPorts
from crankchute.core.relay import end_unanswered
from crankchute.proto import peer_pb2

#: How many other instances are asked at once.
_MAX_ASKED = 3
#: Longer than a connection attempt at the instance that is asked.
_ASK_TIMEOUT_MS = 700
#: How long connections are remembered, which others may accept as proof.
_MAX_PROOF_AGE_MS = 1000
_ACTIVATION_CHECK_MS = 1000


class PathChecks:
    """Connects the ServerPaths of an instance to servers and peers."""

    def __init__(self, node, relay_address):
        """Create the checks; start() begins the periodic ones.

        Args:
          node: The ForwardNode.
          relay_address: The address for requests that other instances relay, a
            pair of IP and port, or None.
        """
        self._node = node
        self._relay_address = relay_address
        self._port = None
        self._reached_ms = {}
        self._was_active = False

    def make_ports(self, port):
        """Return the PathPorts of this instance.

        Args:
          port: The ForwardPort.
        """
        self._port = port
        return PathPorts(
            timers=self._node.timers,
            random=self._node.random,
            journal=self._node.journal,
            pool_of=self._node.fleet.pool_of,
            list_servers=self._node.fleet.members_of,
            probe=self._probe,
            ask=self._ask,
            ask_crashed=self._ask_crashed,
            on_changed=self._on_changed,
        )

    def start(self):
        """Start to check the paths whenever this instance becomes active."""
        self._node.timers.every(_ACTIVATION_CHECK_MS, self._check_activation)

    def on_request(self, request, on_reply):
        """Answer an instance that asks which servers are reached from here.

        Args:
          request: A ReachRequest.
          on_reply: A function of the ReachReply.
        """
        backends = self._list_usable(request.servers)
        known = {}

        def on_known(backend, is_reached):
            known[backend.identity] = is_reached
            if len(known) == len(backends):
                on_reply(self._make_reply(known))

        if not backends:
            on_reply(self._make_reply(known))
        for backend in backends:
            self._prove(
                backend, request.max_proof_age_ms, partial(on_known, backend)
            )

    def _list_usable(self, servers):
        """Return the Backends that requests can be relayed to from here."""
        node = self._node
        if self._relay_address is None or not node.is_accepting:
            return []
        known = (node.fleet.get(server) for server in servers)
        return [
            backend
            for backend in known
            if backend is not None
            and not node.desk.paths.is_lost(node.fleet.pool_of(backend))
        ]

    def _make_reply(self, known):
        """Return the ReachReply for a map from server to result of a probe."""
        address = self._relay_address
        reached = [one for one, is_reached in known.items() if is_reached]
        return peer_pb2.ReachReply(
            reached=reached,
            refused=[one for one in known if known[one] is False],
            relay_address='{0}:{1}'.format(*address) if reached else '',
        )

    def _prove(self, backend, max_age_ms, on_known):
        """Connect to a server, unless that was done recently."""
        now_ms = self._node.now_ms()
        proved_ms = self._reached_ms.get(backend.identity, float('-inf'))
        if now_ms - proved_ms < min(max_age_ms, _MAX_PROOF_AGE_MS):
            on_known(True)
        else:
            self._probe(backend, on_known)

    def _probe(self, backend, on_known):
        def on_result(is_reached):
            if is_reached:
                self._record_reached(backend.identity)
            on_known(is_reached)

        self._port.probe(backend, on_result)

    def _record_reached(self, server):
        now_ms = self._node.now_ms()
        self._reached_ms = {
            identity: at_ms
            for identity, at_ms in self._reached_ms.items()
            if now_ms - at_ms < _MAX_PROOF_AGE_MS
        }
        self._reached_ms[server] = now_ms

    def _ask(self, backends, max_proof_age_ms, on_proxy, on_done):
        """Ask other instances about servers; see PathPorts."""
        members = self._choose_asked(self._node.fleet.pool_of(backends[0]))

        def on_answer(member, reply):
            if reply is not None and reply.reached:
                on_proxy(_make_proxy(member, reply.relay_address))

        self._ask_members(
            members,
            peer_pb2.ReachRequest(
                servers=[backend.identity for backend in backends],
                max_proof_age_ms=max_proof_age_ms,
            ),
            on_answer,
            on_done,
        )

    def _ask_crashed(self, backend, on_known):
        """Ask other instances about a crash; see PathPorts.

        An earlier connection may be from before the crash.
        """
        members = self._choose_asked(self._node.fleet.pool_of(backend))
        answers = _CrashAnswers(
            backend.identity,
            len(members),
            on_known,
            is_alone=len(self._node.peers.membership.live_members()) == 1,
        )
        request = peer_pb2.ReachRequest(servers=[backend.identity])
        self._ask_members(members, request, answers.add, answers.conclude)

    def _ask_members(self, members, request, on_answer, on_done):
        """Ask instances which servers they reach.

        Args:
          members: Their Members.
          request: A ReachRequest.
          on_answer: A function of each Member and of its ReachReply, or of None
            if it did not answer.
          on_done: A function called after the last answer.
        """
        pending = list(members)

        def on_reply(member, reply):
            pending.remove(member)
            on_answer(member, reply)
            if not pending:
                on_done()

        if not members:
            on_done()
        for member in members:
            self._node.peers.call(
                member.identity,
                'Reach',
                request,
                partial(on_reply, member),
                _ASK_TIMEOUT_MS,
            )

    def _choose_asked(self, pool):
        """Return the Members to ask: active ones first, then any others."""
        own = self._node.identity.instance
        sharing = self._node.peers.sharing
        active = [
            member
            for member in sharing.instances.others
            if self._may_help(member, pool)
        ]
        chosen = self._node.random.sample(active, min(len(active), _MAX_ASKED))
        if len(chosen) == _MAX_ASKED:
            return chosen
        others = [
            member
            for member in self._node.peers.membership.live_members()
            if member.identity != own
            and member not in active
            and self._may_help(member, pool)
        ]
        count = min(len(others), _MAX_ASKED - len(chosen))
        return chosen + self._node.random.sample(others, count)

    def _may_help(self, member, pool):
        view = self._node.peers.sharing.instances.view(member.identity)
        return not member.draining and pool not in view.lost_pools

    def _on_changed(self, pool):
        """Tell the peers, and end what waits on connections that may be dead."""
        node = self._node
        for backend in node.fleet.members_of(pool):
            self._port.forget(backend)
        if node.desk.paths.is_lost(pool):
            end_unanswered(node.desk.flows, pool)
        node.peers.sharing.send_now()

    def _check_activation(self):
        """Check all paths after this instance has become active.

        Callers are now directed here, and perhaps no request has shown yet
        whether this instance reaches the servers.
        """
        peers = self._node.peers
        has_peers = len(peers.membership.live_members()) > 1
        is_active = has_peers and peers.sharing.instances.is_own_active
        if is_active and not self._was_active and self._node.holder.config:
            self._node.desk.paths.verify(self._node.holder.config.pools)
        self._was_active = is_active


class _CrashAnswers:
    """What other instances know of a server that refuses connections."""

    def __init__(self, server, asked, on_known, *, is_alone):
        """Create the record without answers.

        Args:
          server: The server's id.
          asked: How many instances are asked.
          on_known: See PathPorts.ask_crashed.
          is_alone: Whether there is no other instance.  Others that cannot be
            asked, as they lost their paths or stop, know nothing.
        """
        self._server = server
        self._asked = asked
        self._on_known = on_known
        self._is_alone = is_alone
        self._reached_by = []
        self._refused_by = []

    def add(self, member, reply):
        """Add the ReachReply of a Member, or None."""
        if reply is not None and reply.reached:
            self._reached_by.append(member.identity)
            self.conclude()
        elif reply is not None and reply.refused:
            self._refused_by.append(member.identity)

    def conclude(self):
        """Report what is known, once."""
        on_known = self._on_known
        if on_known is None:
            return
        self._on_known = None
        has_crashed = True if self._refused_by or self._is_alone else None
        if self._reached_by:
            has_crashed = False
        log_change(
            'crash_checked',
            server=self._server,
            has_crashed=has_crashed,
            asked=self._asked,
            reached_by=self._reached_by,
            refused_by=self._refused_by,
        )
        on_known(has_crashed)


def _make_proxy(member, address):
    """Return the Backend for requests that are relayed to an instance."""
    return Backend(
        ListedServer(
            {
                'id': member.identity,
                'kind': 'entry',
                'address': address,
                'data_centre': member.data_centre,
            }
        )
    )
