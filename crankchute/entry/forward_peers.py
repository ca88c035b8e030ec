"""Communication between instances that forward requests."""

import time
from functools import partial

from crankchute.adapters.peer_records import read_message, write_message
from crankchute.adapters.peers_grpc import PeerClient, PeerServer
from crankchute.core.failure_estimator import MIN_SHARED_FAILURES
from crankchute.core.membership import Member
from crankchute.core.peer_exchange import PeerExchange, PeerExchangeParts
from crankchute.core.peer_message import PeerMessage, ServerHealth
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_rate_limits import ServerRateLimits
from crankchute.entry.evacuation_control import EvacuationControl
from crankchute.entry.peering import Peering
from crankchute.entry.permit_lending import PermitLending

_MS_PER_SECOND = 1000
#: How often the seeds are probed after the start, while no other instance is
#: known: instances that start together find each other quickly.
_SEED_INTERVAL_MS = 100
#: How often the seeds are probed later, when there is probably no other one.
_SLOW_SEED_INTERVAL_MS = 500
_STARTUP_MS = 3000
#: An instance that is silent for so many sharing intervals counts as lost.
_LOST_INTERVALS = 3
#: How long the list of suspicious servers is cached, in milliseconds:
#: collecting it visits every server, and it is sent with every briefing.
_IMPRESSIONS_CACHE_MS = 50
_CONFIG = 'config'
#: The instance list of Peering holds the backend servers here.
_SERVERS = 'instances'


class ConfigStore:
    """Replicates the configuration between instances; see Peering.

    Attributes:
      apply: A function that applies the bytes of a configuration.
    """

    def __init__(self, holder, apply):
        """Create the store.

        Args:
          holder: A ForwardConfigHolder.
          apply: A function that applies the bytes of a configuration.
        """
        self._holder = holder
        self.apply = apply

    @property
    def revision(self):
        """The version in force, 0 if there is none."""
        return self._holder.version

    @property
    def seen_revision(self):
        """The version in force; rejected versions are not kept."""
        return self._holder.version

    def list_missing_changes(self, in_force, _seen):
        """Return the configuration if it is newer than a version, or None."""
        version = self._holder.version
        if version <= in_force:
            return None
        entry = Entry(version, self._holder.source)
        return ChangeSet(0, version, {_CONFIG: entry})

    def offer(self, changes):
        """Apply a configuration received from a peer.

        Args:
          changes: A ChangeSet.
        Returns:
          True if the version increased.
        """
        before = self._holder.version
        for entry in changes.entries.values():
            self.apply(entry.payload)
        return self._holder.version > before


class Revisions:
    """The revisions of a store at another instance."""

    __slots__ = ('in_force', 'seen')

    def __init__(self, revision):
        """Create the record.

        Args:
          revision: The revision in force, which is also the newest seen.
        """
        self.in_force = revision
        self.seen = revision


class ServerStore:
    """Replicates the list of backend servers between instances; see Peering.

    Few instances watch the platform's store; the others get changes from them.
    """

    def __init__(self, servers, apply):
        """Create the store.

        Args:
          servers: A ServerList.
          apply: A function that applies a ChangeSet and returns whether
            anything changed.
        """
        self._servers = servers
        self.offer = apply

    @property
    def revision(self):
        """The revision of the list, 0 if there is none."""
        return self._servers.revision

    @property
    def seen_revision(self):
        """The revision of the list, which is always in force."""
        return self._servers.revision

    def list_missing_changes(self, in_force, _seen):
        """Return the changes after a revision, or None."""
        return self._servers.changes_since(in_force)


class ForwardPeers:
    """Gossip, sharing of load data, and replication between instances.

    Attributes:
      sharing: The PeerExchange.
      membership: The Membership.
      limits: The ServerRateLimits.
      lending: The PermitLending.
      evacuations: The EvacuationControl.
    """

    def __init__(self, loop, node, wiring):
        """Start to communicate with other instances.

        Args:
          loop: The Loop.
          node: The ForwardNode that owns this object.
          wiring: A ForwardWiring.
        """
        self._node = node
        self._timers = loop.timers
        self._client = PeerClient(loop)
        identity = node.identity
        self._server = PeerServer(loop, identity.peer_address, self)
        config_store = ConfigStore(node.holder, wiring.take_config)
        server_store = ServerStore(node.servers, wiring.take_servers)
        # Peering reads these attributes.
        self.timers = loop.timers
        self.peer_client = self._client
        self.random = node.random
        self.metrics = node.metrics
        own = Member(
            identity.instance,
            identity.boot,
            int(time.time() * _MS_PER_SECOND),
            peer_address=_format_address(identity.peer_address),
            http_address=_format_address(identity.caller_address),
            data_centre=identity.data_centre,
            draining=True,
            strength=identity.strength,
        )
        self._peering = Peering(
            self,
            own,
            {_CONFIG: config_store, _SERVERS: server_store},
        )
        self.membership = self._peering.membership
        self.limits = ServerRateLimits(
            loop.timers,
            identity.instance,
            identity.boot,
        )
        self.lending = PermitLending(node, self)
        self.sharing = PeerExchange(self._make_parts(node), identity.instance)
        self.limits.advertised.subscribe(self.sharing.schedule_send)
        self.evacuations = EvacuationControl(node, wiring.data_centres)
        self.evacuations.subscribe(self.sharing.schedule_send)
        self._seeds = []
        self._server_health = []
        self.answer_reach = None
        self._impressions_ms = float('-inf')
        self._start_ms = self._now_ms()
        self._seeds_probed_ms = float('-inf')
        self.replace_seeds(identity.seeds)
        self._peering.start()
        self.sharing.start()
        self._probe_seeds()
        self._timers.every(_SEED_INTERVAL_MS, self._probe_seeds)

    def on_probe(self, request, on_reply):
        """See PeerServicer."""
        self._peering.on_probe(request, on_reply)

    def on_pull(self, request, on_reply):
        """See PeerServicer."""
        self._peering.on_pull(request, on_reply)

    def on_share(self, request, on_reply):
        """See PeerServicer."""
        now_ms = self._now_ms()
        reply = self.sharing.handle_request(read_message(request, now_ms))
        on_reply(write_message(reply, now_ms))

    def on_turn(self, request, on_reply):
        """See PeerServicer."""
        self.lending.on_request(request, on_reply)

    def on_reach(self, request, on_reply):
        """See PeerServicer."""
        self.answer_reach(request, on_reply)

    def call(self, instance, method, request, on_reply, timeout_ms):
        """Call a method of another instance; see PeerClient.

        Args:
          instance: The instance's id.
          method: The name of a method in peer.proto.
          request: The request message.
          on_reply: A function of the reply, or of None on any failure.
          timeout_ms: The timeout in milliseconds.
        """
        member = self.membership.get(instance)
        if member is None:
            self._timers.after(0, partial(on_reply, None))
            return
        address = member.peer_address
        self._peering.call(address, method, request, on_reply, timeout_ms)

    def replace_seeds(self, seeds):
        """Replace the seed addresses.

        Args:
          seeds: Pairs of IP and port.
        """
        self._seeds = [_format_address(address) for address in seeds]

    def list_active(self):
        """Return the ids of the instances that callers are directed to."""
        return [member.identity for member in self.sharing.active]

    def is_lost(self, instance):
        """Return whether an instance is silent without announcing a shutdown.

        Args:
          instance: The instance's id.
        """
        member = self.membership.get(instance)
        if member is None:
            return True
        instances = self.sharing.instances
        silent_ms = instances.exchange_interval_ms() * _LOST_INTERVALS
        view = instances.view(instance)
        return not member.draining and view.is_silent(
            instances.awake.now_ms(), silent_ms
        )

    def announce(self, *, is_serving):
        """Announce whether this instance accepts callers.

        Args:
          is_serving: Whether it accepts callers, a bool.
        """
        self.membership.update_own(draining=not is_serving)
        self._peering.notify()
        self.sharing.send_now()

    def stop(self):
        """Stop listening and close all connections."""
        self._server.stop()
        self._client.close()

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _make_parts(self, node):
        return PeerExchangeParts(
            timers=self._timers,
            random=node.random,
            members=self.membership.live_members,
            get=self.membership.get,
            version=lambda: self.membership.version,
            work_tracker=node.work_tracker,
            crashes=node.crashes,
            is_serving=lambda: node.is_accepting,
            proof_age_ms=lambda: node.holder.proof_age_ms(self._now_ms()),
            lost_pools=lambda: node.desk.paths.lost_pools,
            make_message=self._make_message,
            on_lost_pools=self._apply_lost_pools,
            on_message=self._apply_briefing,
            send=self._send,
        )

    def _send(self, member, message, on_reply, timeout_ms):
        request = write_message(message, self._now_ms())

        def on_response(reply):
            if reply is None:
                on_reply(None)
            else:
                on_reply(read_message(reply, self._now_ms()))

        self._peering.call(
            member.peer_address,
            'Share',
            request,
            on_response,
            timeout_ms,
        )

    def _make_message(self, **sharing_fields):
        node = self._node
        return PeerMessage(
            instance=node.identity.instance,
            boot=node.identity.boot,
            is_serving=node.is_accepting,
            version=node.holder.version,
            proof_age_ms=node.holder.proof_age_ms(self._now_ms()),
            servers_revision=node.servers.revision,
            servers_age_ms=node.servers.proof_age_ms(self._now_ms()),
            draining_servers=node.fleet.list_recently_drained(),
            removed_servers=node.fleet.list_recently_removed(),
            server_health=self._list_server_health(),
            limits=self.limits.advertised.list_updates(),
            evacuations=node.fleet.evacuations.records,
            knows_evacuations=node.fleet.evacuations.is_known,
            lost_pools=node.desk.paths.lost_pools,
            **sharing_fields,
        )

    def _apply_briefing(self, message, requested_ms):
        node = self._node
        self.membership.merge(message.active)
        self._apply_server_states(message)
        self._apply_impressions(message)
        self.limits.advertised.merge_updates(message.limits)
        # Before the proof, which must not be newer than the evacuations.
        self.evacuations.receive(message)
        self._fetch_if_newer(message, _CONFIG, message.version)
        self._fetch_if_newer(message, _SERVERS, message.servers_revision)
        if requested_ms is None:
            return
        # An answer proves the state at the time of the request, not later.
        has_proof = message.proof_age_ms is not None
        if has_proof and self.evacuations.accepts_proof(message):
            proved_ms = requested_ms - message.proof_age_ms
            node.holder.confirm(message.version, proved_ms)
        if message.servers_age_ms is not None:
            proved_ms = requested_ms - message.servers_age_ms
            node.servers.confirm(message.servers_revision, proved_ms)

    def _list_server_health(self):
        now_ms = self._now_ms()
        if now_ms - self._impressions_ms > _IMPRESSIONS_CACHE_MS:
            self._impressions_ms = now_ms
            self._server_health = list_server_health(self._node, now_ms)
        return self._server_health

    def _apply_server_states(self, message):
        fleet = self._node.fleet
        for identity in message.draining_servers:
            fleet.record_drained(identity)
        for identity in message.removed_servers:
            fleet.record_removed(identity)

    def _apply_impressions(self, message):
        for impression in message.server_health:
            backend = self._node.fleet.get(impression.server)
            if backend is not None:
                backend.failure_estimator.merge_remote(
                    message.instance, impression.signs
                )

    def _apply_lost_pools(self, message):
        """Relay nothing to a sender with lost paths, nor believe its reports."""
        self._node.desk.paths.drop_proxy(message.instance, message.lost_pools)
        for pool in message.lost_pools:
            for backend in self._node.fleet.members_of(pool):
                backend.failure_estimator.forget_remote(message.instance)

    def _fetch_if_newer(self, message, store, revision):
        """Fetch a store from the sender of a briefing if it is newer there."""
        sender = self.membership.get(message.instance)
        if sender is not None:
            self._peering.pull_if_behind(
                sender.peer_address,
                store,
                Revisions(revision),
            )

    def _probe_seeds(self):
        """Probe the seeds while no other instance is known to be alive."""
        if len(self.membership.live_members()) > 1:
            return
        now_ms = self._now_ms()
        is_startup = now_ms - self._start_ms < _STARTUP_MS
        if (
            not is_startup
            and now_ms - self._seeds_probed_ms < _SLOW_SEED_INTERVAL_MS
        ):
            return
        self._seeds_probed_ms = now_ms
        own = self.membership.own.peer_address
        for address in self._seeds:
            if address != own:
                self._peering.probe(address, _ignore_answer)


def list_server_health(node, now_ms):
    """Return the impressions of servers that an instance suspects.

    Args:
      node: The ForwardNode.
      now_ms: The current time.
    Returns:
      A list of ServerHealth, based on this instance's own requests only.
    """
    server_health = []
    for backend in node.fleet:
        signs = backend.failure_estimator.local_counts(now_ms)
        is_suspected = signs.failures > MIN_SHARED_FAILURES
        if is_suspected and node.desk.paths.is_reached(
            node.fleet.pool_of(backend)
        ):
            server_health.append(ServerHealth(backend.identity, signs))
    return server_health


def _format_address(address):
    host, port = address
    return f'{host}:{port}'


def _ignore_answer(_answered):
    """Ignore the outcome of a probe to a seed."""
