"""An instance's part in the sharing among instances that forward requests."""

import time
from functools import partial

from crankchute.adapters.peer_records import read_briefing, write_briefing
from crankchute.adapters.peers_grpc import PeerClient, PeerServer
from crankchute.core.briefing import Briefing, Impression
from crankchute.core.limit_desk import LimitDesk
from crankchute.core.membership import Member
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.sharing import Sharing, SharingParts
from crankchute.core.suspicion import LEAST_FAILURES
from crankchute.entry.peering import Peering
from crankchute.entry.turn_lending import TurnLending

_MS_PER_SECOND = 1000
#: How often seeds are asked until another instance is known, at first: a
#: process that starts with all others finds them as they begin to listen.
_SEED_MS = 100
#: The same later, when there is probably nobody.
_LONELY_MS = 500
_EARLY_MS = 3000
#: Who does not answer for so many turns of the pace is taken for lost.
_LOST_PACES = 3
#: For how long impressions of servers are told as they are, in milliseconds:
#: gathering them looks at every server, and briefings go out by the hundred a
#: second.
_IMPRESSIONS_MS = 50
_CONFIG = 'config'
#: The store of Peering that lists instances elsewhere lists servers here.
_SERVERS = 'instances'


class ConfigExchange:
    """The configuration, in the form in which peers fetch it.

    Attributes:
      take: A function of the bytes of a configuration.
    """

    def __init__(self, holder, take):
        """Create the exchange.

        Args:
          holder: A ForwardConfigHolder.
          take: A function of the bytes of a configuration.
        """
        self._holder = holder
        self.take = take

    @property
    def revision(self):
        """The version in force, 0 before the first."""
        return self._holder.version

    @property
    def seen_revision(self):
        """The version in force; refused ones are not kept."""
        return self._holder.version

    def changes_for(self, in_force, _seen):
        """Return the configuration if another instance lacks it, or None."""
        version = self._holder.version
        if version <= in_force:
            return None
        entry = Entry(version, self._holder.source)
        return ChangeSet(0, version, {_CONFIG: entry})

    def offer(self, changes):
        """Take a configuration that a peer handed over.

        Args:
          changes: A ChangeSet.
        Returns:
          True if the version rose.
        """
        before = self._holder.version
        for entry in changes.entries.values():
            self.take(entry.payload)
        return self._holder.version > before


class Revisions:
    """What another instance has of a published store."""

    __slots__ = ('in_force', 'seen')

    def __init__(self, revision):
        """Create the record.

        Args:
          revision: The revision in force there, which is the newest seen.
        """
        self.in_force = revision
        self.seen = revision


class ServersExchange:
    """The backend servers' entries, in the form in which peers fetch them.

    Few instances read the store; all others get what changed in this way.
    """

    def __init__(self, servers, take):
        """Create the exchange.

        Args:
          servers: A ServerList.
          take: A function of a ChangeSet that tells whether it was new.
        """
        self._servers = servers
        self.offer = take

    @property
    def revision(self):
        """The revision of the list, 0 before the first."""
        return self._servers.revision

    @property
    def seen_revision(self):
        """The same as revision."""
        return self._servers.revision

    def changes_for(self, in_force, _seen):
        """Return what another instance lacks, or None."""
        return self._servers.changes_since(in_force)


class ForwardPeers:
    """Gossip, shared knowledge and fetched configurations.

    Attributes:
      sharing: The Sharing.
      membership: The Membership.
      limits: The LimitDesk.
      lending: The TurnLending.
    """

    def __init__(self, loop, node, wiring):
        """Start to talk to other instances.

        Args:
          loop: The Loop.
          node: The ForwardNode that this is a part of.
          wiring: A ForwardWiring.
        """
        self._node = node
        self._timers = loop.timers
        self._client = PeerClient(loop)
        identity = node.identity
        self._server = PeerServer(loop, identity.peer_address, self)
        exchange = ConfigExchange(node.holder, wiring.take_config)
        servers = ServersExchange(node.servers, wiring.take_servers)
        # Peering finds the parts that it works with on one object.
        self.timers = loop.timers
        self.peer_client = self._client
        self.random = node.random
        self.metrics = node.metrics
        own = Member(
            identity.instance,
            identity.boot,
            int(time.time() * _MS_PER_SECOND),
            peer_address=_write_address(identity.peer_address),
            http_address=_write_address(identity.caller_address),
            data_centre=identity.data_centre,
            draining=True,
            strength=identity.strength,
        )
        self._peering = Peering(
            self,
            own,
            {_CONFIG: exchange, _SERVERS: servers},
        )
        self.membership = self._peering.membership
        self.limits = LimitDesk(
            loop.timers,
            identity.instance,
            identity.boot,
        )
        self.lending = TurnLending(node, self)
        self.sharing = Sharing(self._make_parts(node), identity.instance)
        self.limits.words.subscribe(self.sharing.tell_soon)
        self._seeds = []
        self._impressions = []
        self._impressed_ms = float('-inf')
        self._start_ms = self._now_ms()
        self._asked_seeds_ms = float('-inf')
        self.change_seeds(identity.seeds)
        self._peering.start()
        self.sharing.start()
        self._ask_seeds()
        self._timers.every(_SEED_MS, self._ask_seeds)

    def on_probe(self, request, on_reply):
        """See PeerServicer."""
        self._peering.on_probe(request, on_reply)

    def on_pull(self, request, on_reply):
        """See PeerServicer."""
        self._peering.on_pull(request, on_reply)

    def on_share(self, request, on_reply):
        """See PeerServicer."""
        now_ms = self._now_ms()
        reply = self.sharing.answer(read_briefing(request, now_ms))
        on_reply(write_briefing(reply, now_ms))

    def on_turn(self, request, on_reply):
        """See PeerServicer."""
        self.lending.on_request(request, on_reply)

    def call(self, instance, method, request, on_reply, timeout_ms):
        """Call another instance; see PeerClient.

        Args:
          instance: Its id.
          method: The name of a call in peer.proto.
          request: The method's message.
          on_reply: A function of the reply, or of None on any failure.
          timeout_ms: Milliseconds to wait.
        """
        member = self.membership.get(instance)
        if member is None:
            self._timers.after(0, partial(on_reply, None))
            return
        address = member.peer_address
        self._peering.call(address, method, request, on_reply, timeout_ms)

    def change_seeds(self, seeds):
        """Take other addresses at which instances may be found.

        Args:
          seeds: Pairs of IP and port.
        """
        self._seeds = [_write_address(one) for one in seeds]

    def list_active(self):
        """Return the ids of the instances that callers are sent to, a list."""
        return [one.identity for one in self.sharing.active]

    def is_lost(self, instance):
        """Tell whether an instance does not answer, and did not say why.

        Args:
          instance: Its id.
        """
        member = self.membership.get(instance)
        if member is None:
            return True
        instances = self.sharing.instances
        silent_ms = instances.pace_ms() * _LOST_PACES
        view = instances.view(instance)
        return not member.draining and view.is_silent(self._now_ms(), silent_ms)

    def announce(self, *, is_serving):
        """Tell the others whether callers may be sent here.

        Args:
          is_serving: A bool.
        """
        self.membership.announce(draining=not is_serving)
        self._peering.notify()
        self.sharing.tell_now()

    def stop(self):
        """Stop to listen."""
        self._server.stop()
        self._client.close()

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _make_parts(self, node):
        return SharingParts(
            timers=self._timers,
            random=node.random,
            members=self.membership.believed_alive,
            get=self.membership.get,
            version=lambda: self.membership.version,
            board=node.board,
            crashes=node.crashes,
            is_serving=lambda: node.is_accepting,
            proof_age_ms=lambda: node.holder.proof_age_ms(self._now_ms()),
            make_briefing=self._make_briefing,
            take=self._take,
            send=self._send,
        )

    def _send(self, member, briefing, on_reply, timeout_ms):
        request = write_briefing(briefing, self._now_ms())

        def take(reply):
            if reply is None:
                on_reply(None)
            else:
                on_reply(read_briefing(reply, self._now_ms()))

        self._peering.call(
            member.peer_address,
            'Share',
            request,
            take,
            timeout_ms,
        )

    def _make_briefing(self, **told):
        node = self._node
        return Briefing(
            instance=node.identity.instance,
            boot=node.identity.boot,
            is_serving=node.is_accepting,
            version=node.holder.version,
            proof_age_ms=node.holder.proof_age_ms(self._now_ms()),
            servers_revision=node.servers.revision,
            servers_age_ms=node.servers.proof_age_ms(self._now_ms()),
            drained=node.fleet.drained(),
            gone=node.fleet.gone(),
            impressions=self._list_impressions(),
            limits=self.limits.words.tell(),
            **told,
        )

    def _take(self, briefing, asked_ms):
        node = self._node
        self.membership.merge(briefing.active)
        self._take_servers(briefing)
        self._take_impressions(briefing)
        self.limits.words.hear(briefing.limits)
        self._fetch(briefing, _CONFIG, briefing.version)
        self._fetch(briefing, _SERVERS, briefing.servers_revision)
        if asked_ms is None:
            return
        # What was asked for at a moment proves no more than that.
        if briefing.proof_age_ms is not None:
            proved_ms = asked_ms - briefing.proof_age_ms
            node.holder.prove(briefing.version, proved_ms)
        if briefing.servers_age_ms is not None:
            proved_ms = asked_ms - briefing.servers_age_ms
            node.servers.prove(briefing.servers_revision, proved_ms)

    def _list_impressions(self):
        now_ms = self._now_ms()
        if now_ms - self._impressed_ms > _IMPRESSIONS_MS:
            self._impressed_ms = now_ms
            self._impressions = list_impressions(self._node, now_ms)
        return self._impressions

    def _take_servers(self, briefing):
        fleet = self._node.fleet
        for identity in briefing.drained:
            fleet.note_drained(identity)
        for identity in briefing.gone:
            fleet.note_gone(identity)

    def _take_impressions(self, briefing):
        for one in briefing.impressions:
            backend = self._node.fleet.get(one.server)
            if backend is not None:
                backend.suspicion.hear(briefing.instance, one.signs)

    def _fetch(self, briefing, store, revision):
        """Fetch what the teller has of a published store, if it is newer."""
        teller = self.membership.get(briefing.instance)
        if teller is not None:
            self._peering.pull_if_behind(
                teller.peer_address,
                store,
                Revisions(revision),
            )

    def _ask_seeds(self):
        """Ask the seeds while nobody else is known to be alive."""
        if len(self.membership.believed_alive()) > 1:
            return
        now_ms = self._now_ms()
        is_early = now_ms - self._start_ms < _EARLY_MS
        if not is_early and now_ms - self._asked_seeds_ms < _LONELY_MS:
            return
        self._asked_seeds_ms = now_ms
        own = self.membership.own.peer_address
        for address in self._seeds:
            if address != own:
                self._peering.probe(address, _ignore)


def list_impressions(node, now_ms):
    """Return what an instance thinks of servers that seem unsound to it.

    Args:
      node: The ForwardNode.
      now_ms: The time.
    Returns:
      A list of Impression, by this instance's own requests only.
    """
    impressions = []
    for backend in node.fleet:
        signs = backend.suspicion.own_signs(now_ms)
        if signs.failures > LEAST_FAILURES:
            impressions.append(Impression(backend.identity, signs))
    return impressions


def _write_address(address):
    host, port = address
    return f'{host}:{port}'


def _ignore(_answered):
    """Take the end of a probe that only looks for others."""
