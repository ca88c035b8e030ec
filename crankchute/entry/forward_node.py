"""An instance that forwards requests, assembled on one event loop.

It is independent of the protocols of callers and backend servers: the host
passes in a ForwardPort, the configuration and the list of backend servers.
"""

import random
import secrets
from functools import partial

from crankchute.adapters.forward_journal import (
    ForwardJournal,
    write_fingerprint,
)
from crankchute.adapters.log import log_change
from crankchute.adapters.metrics import PrometheusMetrics
from crankchute.core.choosers import LEAST_BUSY, ChooserParts, choosers
from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_chooser import PREDICTED
from crankchute.core.engine_work import EngineWorkTracker
from crankchute.core.forward_config import ForwardConfigHolder
from crankchute.core.forward_fleet import ForwardFleet, is_evacuated
from crankchute.core.forwarder import Forwarder, ForwarderPorts
from crankchute.core.initial_load_poll import InitialLoadPoll
from crankchute.core.reservations import ReservationManager
from crankchute.core.retry_hints import RetryHints
from crankchute.core.server_list import ServerList
from crankchute.core.server_paths import ServerPaths
from crankchute.entry.engine_costs import EngineCosts
from crankchute.entry.cold_server_setup import (
    connect_cold_servers,
    reload_cold_bounds,
)
from crankchute.entry.forward_peers import ForwardPeers
from crankchute.entry.limit_prober import LimitProber
from crankchute.entry.path_checks import PathChecks
from crankchute.entry.shutdown import Shutdown

JOINING = 'joining'
SERVING = 'serving'
DRAINING = 'draining'
_INSTANCE_COUNT_INTERVAL_MS = 1000
_MS_PER_SECOND = 1000


class InstanceIdentity:
    """The identity and the addresses of an instance.

    Attributes:
      instance: The id of the instance.
      boot: The random id of this process.
      data_centre: The data centre that it runs in.
      peer_address: The address for other instances, a pair of IP and port.
      caller_address: The address for callers, a pair of IP and port.
      seeds: Addresses of other instances, pairs of IP and port.
      strength: The available CPU in thousandths of a core, 0 if unknown.
    """

    __slots__ = (
        'boot',
        'caller_address',
        'data_centre',
        'instance',
        'peer_address',
        'seeds',
        'strength',
    )

    def __init__(self, instance, data_centre, strength=0, **addresses):
        """Create the identity of a new process.

        Args:
          instance: See the class.
          data_centre: See the class.
          strength: See the class.
          addresses: A value for each other attribute but `boot`.
        """
        self.instance = instance
        self.boot = secrets.token_hex(4)
        self.data_centre = data_centre
        self.strength = strength
        self.peer_address = addresses['peer_address']
        self.caller_address = addresses['caller_address']
        self.seeds = addresses['seeds']


class ForwardLimits:
    """The configurable limits of an instance.

    Attributes:
      retries: The RetryLimits that apply to all instances together.
      address_ttl_ms: How long callers may cache an address response.
      grace_ms: How long a shutdown may take.
      unused_ms: How long reserved engine memory may stay unused.
      cold: The ColdBounds, or None if no server counts as cold.
    """

    __slots__ = ('address_ttl_ms', 'cold', 'grace_ms', 'retries', 'unused_ms')

    def __init__(
        self, *, retries, address_ttl_ms, grace_ms, unused_ms, cold=None
    ):
        """Create the limits.

        Args:
          retries: RetryLimits.
          address_ttl_ms: Milliseconds.
          grace_ms: Milliseconds.
          unused_ms: Milliseconds.
          cold: ColdBounds or None.
        """
        self.cold = cold
        self.retries = retries
        self.address_ttl_ms = address_ttl_ms
        self.grace_ms = grace_ms
        self.unused_ms = unused_ms


class ForwardNode:
    """One instance that forwards requests.

    Attributes:
      identity: The InstanceIdentity.
      phase: "joining", "serving", or "draining" (no longer in address
        responses, but still serving callers that have cached one).
      journal: The ForwardJournal.
      servers: The ServerList published by the platform.
      crashes: The CrashHistory.
      shutdown: The Shutdown.
      on_serving: Called when the instance begins to serve.
      on_stopped: Called when the shutdown is complete.
    """

    def __init__(self, loop, identity, limits, wiring):
        """Assemble the components and start to discover other instances.

        Args:
          loop: The Loop.
          identity: An InstanceIdentity.
          limits: ForwardLimits.
          wiring: A ForwardWiring.
        Raises:
          OSError: If an address cannot be listened on.
        """
        self.timers = loop.timers
        self.identity = identity
        self.metrics = PrometheusMetrics()
        self.random = random.Random(identity.boot)
        self.phase = JOINING
        self.on_serving = None
        self.on_stopped = None
        self.holder = ForwardConfigHolder()
        self.fleet = ForwardFleet(
            loop.timers, wiring.pool_label, wiring.evacuations
        )
        self.servers = ServerList()
        self.work_tracker = EngineWorkTracker(
            self.now_ms,
            EngineCosts(self.fleet, self.holder).estimate_slot_ms,
        )
        self.crashes = CrashHistory(self.now_ms, self._on_quarantined)
        self._hints = RetryHints(self.random)
        self._limits = limits
        self._is_connected = wiring.port.is_connected
        self._choosers = {}
        self._has_server_list = False
        self.shutdown = Shutdown(self)
        self.journal = ForwardJournal(self.holder, self.timers.clock)
        self._reservations = ReservationManager(
            wiring.reservations,
            self.timers,
            self.metrics,
            self.journal,
            f'{identity.instance}-{identity.boot}',
        )
        self._reservations.change_limits(limits.unused_ms)
        ports = ForwarderPorts(
            forward=wiring.port,
            timers=self.timers,
            metrics=self.metrics,
            journal=self.journal,
            reservations=self._reservations,
            hints=self._hints,
            crashes=self.crashes,
            record_moved=self._on_server_moved,
            find_chooser=lambda pool: self._choosers.get(pool),
        )
        path_checks = PathChecks(self, wiring.relay_address)
        self.desk = Forwarder(ports, limits.retries)
        self.desk.paths = ServerPaths(path_checks.make_ports(wiring.port))
        self._load_survey = InitialLoadPoll(
            wiring.reports,
            self.random,
            self._on_load_report,
        )
        self._forget_connections = wiring.port.forget
        self.fleet.subscribe_restarted(self._on_server_restarted)
        self.peers = ForwardPeers(loop, self, wiring)
        self.peers.evacuations.on_known = self._check_ready
        self.desk.lending = self.peers.lending
        self.peers.answer_reach = path_checks.on_request
        path_checks.start()
        limit_prober = LimitProber(self, wiring.reports)
        self.peers.limits.start(
            self.peers.list_active,
            self.peers.is_lost,
            limit_prober.probe,
        )
        self.holder.subscribe(self._on_config)
        if limits.cold is not None:
            connect_cold_servers(self, limits.cold)
        self._add_gauges()
        self.timers.every(
            _INSTANCE_COUNT_INTERVAL_MS, self._update_instance_count
        )

    @property
    def is_accepting(self):
        """Whether callers may be directed to this instance, a bool."""
        return self.phase == SERVING

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def reload(self, limits, seeds):
        """Apply changed limits and seeds.

        Args:
          limits: ForwardLimits.
          seeds: Pairs of IP and port.
        """
        self._limits = limits
        self.desk.budgets.change_limits(limits.retries)
        self._reservations.change_limits(limits.unused_ms)
        reload_cold_bounds(self, limits.cold)
        self.peers.replace_seeds(seeds)

    def stop(self, sent_after_ms=None):
        """Shut down gracefully: requests in progress are completed.

        Args:
          sent_after_ms: A time at which the signal to stop had not been sent
            yet, or None if it was sent just now.
        """
        if self.phase == DRAINING:
            return
        self._enter_phase(DRAINING)
        self.peers.announce(is_serving=False)
        self.shutdown.start(self._limits, sent_after_ms)

    def record_listed(self):
        """Record that the list of backend servers is known, even if empty."""
        self._has_server_list = True
        self.peers.evacuations.check_names()
        self._check_ready()

    def record_refused(self, request_id, refusal, relayed_by=None):
        """Count and log a request that was rejected before it became a job.

        Args:
          request_id: The id that the caller assigned, or None.
          refusal: A RequestRefused.
          relayed_by: The id of the instance that relayed it, or None.
        """
        self.metrics.count('bad_requests', refusal.code)
        self.journal.log_refused(request_id, refusal, relayed_by)

    def choose_addresses(self, data_centre):
        """Return the addresses that a caller should use.

        Args:
          data_centre: The data centre of the caller.
        Returns:
          A list of "IP:port".
        """
        members = self.peers.sharing.choose_instances(data_centre)
        return [member.http_address for member in members]

    def describe_pools(self):
        """Return the state of the decisions about each pool, a dict."""
        return {
            name: chooser.describe_state()
            for name, chooser in self._choosers.items()
        }

    def _check_ready(self):
        """Start to serve once configuration, servers and evacuations are known."""
        is_ready = self._has_server_list and self.holder.version
        is_ready = is_ready and self.fleet.evacuations.is_ready
        if self.phase != JOINING or not is_ready:
            return
        self._enter_phase(SERVING)
        self.peers.announce(is_serving=True)
        if self.on_serving is not None:
            self.on_serving()

    def _add_gauges(self):
        gauges = (
            (
                'forwards_in_progress',
                'Forwarded requests that have not ended.',
                lambda: self.desk.in_progress,
            ),
            (
                'config_version',
                'The version of the configuration in force.',
                lambda: self.holder.version,
            ),
            (
                'config_proof_age_seconds',
                'Since when the configuration is not proved the newest.',
                self._proof_age_s,
            ),
            (
                'evacuated_data_centres',
                'Data centres whose servers get no requests by evacuation.',
                lambda: len(self.fleet.evacuations.evacuated),
            ),
            (
                'pools_without_path',
                'Pools whose servers only other instances reach.',
                lambda: len(self.desk.paths.lost_pools),
            ),
            (
                'members',
                'Entry instances not believed dead.',
                lambda: len(self.peers.membership.live_members()),
            ),
            (
                'accounts_tracked',
                'Client accounts with recent engine time.',
                lambda: self.work_tracker.account_shares.count_accounts(
                    self.now_ms()
                ),
            ),
        )
        for name, help_text, function in gauges:
            self.metrics.add_gauge(name, help_text, function)

    def _proof_age_s(self):
        age_ms = self.holder.proof_age_ms(self.now_ms())
        return float('inf') if age_ms is None else age_ms / _MS_PER_SECOND

    def _on_work(self, change, work):
        """Share a change of engine work; the first one also queries loads."""
        self.peers.sharing.report_work(change, work)
        self._load_survey.run(lambda: self._list_siblings(work.engine))

    def _list_siblings(self, engine):
        """Return the servers of an engine's pool that may be queried."""
        backend = self.fleet.get(engine)
        if backend is None:
            return []
        limit_of = self.peers.limits.in_force.limit_of
        now_ms = self.now_ms()
        return [
            sibling
            for sibling in self.fleet.members_of(self.fleet.pool_of(backend))
            if limit_of(sibling.identity) is None
            and now_ms >= sibling.paused_until_ms
        ]

    def _on_load_report(self, backend, load):
        reporting_backend = self.fleet.resolve_reporter(backend, load.born)
        if reporting_backend is None:
            return
        chooser = self._choosers.get(self.fleet.pool_of(reporting_backend))
        if chooser is not None:
            chooser.record_polled_load(reporting_backend, load)

    def _on_server_moved(self, backend):
        self.journal.log_moved(backend)
        self.fleet.record_removed(backend.identity, is_seen=True)

    def _on_quarantined(self, suspects, servers):
        """Count and log what is no longer sent because servers crashed."""
        self.metrics.count('requests_held')
        log_change(
            'request_held',
            failed=True,
            fingerprints=[write_fingerprint(one) for one in sorted(suspects)],
            servers=servers,
        )

    def _on_server_restarted(self, backend):
        """Discard the state of the previous process of a server."""
        log_change('server_restarted', server=backend.identity)
        self.desk.record_restarted(backend)
        self.work_tracker.forget(backend.identity)
        self._forget_connections(backend)

    def _on_config(self, config):
        self._choosers = {
            name: self._make_chooser(pool)
            for name, pool in config.pools.items()
        }
        log_change('config_in_force', version=config.version)
        self._check_ready()

    def _make_chooser(self, pool):
        name = LEAST_BUSY if pool.engine_figures is None else PREDICTED
        parts = ChooserParts(
            pool=pool,
            members=lambda: self.fleet.members_of(pool.name),
            timers=self.timers,
            random=self.random,
            work_tracker=self.work_tracker,
            hints=self._hints,
            announce_work=self._on_work,
            create_ticket_id=self._reservations.create_ticket_id,
            last_peer_message_age_ms=self.peers.sharing.last_peer_message_age_ms,
            data_centre=self.identity.data_centre,
            is_connected=self._is_connected,
            permits=self.peers.limits.permits,
            count_active=lambda: len(self.peers.sharing.active),
            is_evacuated=partial(is_evacuated, self.fleet, pool.name),
        )
        return choosers[name](parts)

    def _update_instance_count(self):
        self.desk.record_instances(len(self.peers.membership))

    def _enter_phase(self, phase):
        self.phase = phase
        log_change('phase', phase=phase)


class ForwardWiring:
    """The adapters and callbacks that the host passes to a ForwardNode.

    Attributes:
      port: A ForwardPort.
      reservations: A ReservationPort.
      reports: A ReportPort.
      take_config: A function that applies the bytes of a configuration.
      take_servers: A function that applies a ChangeSet of server entries
        and returns whether anything changed.
      pool_label: The label that holds the pool name of a backend server.
      evacuations: The Evacuations, or None if there are none; optional.
      data_centres: The names of data centres in the settings; optional.
      relay_address: The address for requests that other instances relay, a
        pair of IP and port, or None if there is none; optional.
    """

    __slots__ = (
        'data_centres',
        'evacuations',
        'pool_label',
        'port',
        'relay_address',
        'reports',
        'reservations',
        'take_config',
        'take_servers',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute.
        """
        fields = {
            'evacuations': None,
            'data_centres': (),
            'relay_address': None,
            **fields,
        }
        for name in self.__slots__:
            setattr(self, name, fields[name])
