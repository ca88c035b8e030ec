"""One instance that forwards requests: the parts, wired on one loop.

It knows nothing of how requests and backend servers are spoken to: a
ForwardPort, and whoever hands it configurations and entries of backend
servers, are given to it.
"""

import random
import secrets

from crankchute.adapters.forward_journal import (
    ForwardJournal,
    write_fingerprint,
)
from crankchute.adapters.log import log_change
from crankchute.adapters.metrics import PrometheusMetrics
from crankchute.core.choosers import LEAST_BUSY, ChooserParts, choosers
from crankchute.core.crash_ledger import CrashLedger
from crankchute.core.engine_board import EngineBoard
from crankchute.core.engine_chooser import PREDICTED
from crankchute.core.forward_config import ForwardConfigHolder
from crankchute.core.forward_desk import ForwardDesk, ForwardPorts
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.load_survey import LoadSurvey
from crankchute.core.reservations import ReservationDesk
from crankchute.core.return_hints import ReturnHints
from crankchute.core.server_list import ServerList
from crankchute.entry.forward_peers import ForwardPeers
from crankchute.entry.limited_servers import LimitProber

JOINING = 'joining'
SERVING = 'serving'
DRAINING = 'draining'
#: Some callers keep an address answer for three times its time to live.
_TTL_FACTOR = 3
#: What is kept free of the time to stop, for the last answers to arrive.
_STOP_MARGIN_MS = 800
_STOP_CHECK_MS = 100
_COUNT_MS = 1000
_MS_PER_SECOND = 1000


class InstanceIdentity:
    """Who an instance is, and where others find it.

    Attributes:
      instance: Its id.
      boot: The random id of this process.
      data_centre: Where it runs.
      peer_address: Where other instances reach it, a pair of IP and port.
      caller_address: Where callers reach it, a pair of IP and port.
      seeds: Where other instances may be found, pairs of IP and port.
      strength: The processor that it has, in thousandths of a core, or 0
        where that is not known.
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
    """What an instance is held to.

    Attributes:
      retries: RetryLimits of all instances together.
      address_ttl_ms: How long callers may keep an address answer.
      grace_ms: How long stopping may take.
      unused_ms: How long an engine's memory may be set aside unused.
    """

    __slots__ = ('address_ttl_ms', 'grace_ms', 'retries', 'unused_ms')

    def __init__(self, *, retries, address_ttl_ms, grace_ms, unused_ms):
        """Create the limits.

        Args:
          retries: RetryLimits.
          address_ttl_ms: Milliseconds.
          grace_ms: Milliseconds.
          unused_ms: Milliseconds.
        """
        self.retries = retries
        self.address_ttl_ms = address_ttl_ms
        self.grace_ms = grace_ms
        self.unused_ms = unused_ms


class ForwardNode:
    """One instance that forwards requests.

    Attributes:
      identity: The InstanceIdentity.
      phase: "joining", "serving", or "draining" (out of address answers,
        still serving callers that hold old ones).
      journal: The ForwardJournal.
      servers: The ServerList, as the platform publishes it.
      crashes: The CrashLedger.
      on_serving: Called when the instance begins to serve.
      on_draining: Called when stopping begins.
      on_stopped: Called when nothing is left to do.
    """

    def __init__(self, loop, identity, limits, wiring):
        """Wire the parts and begin to look for other instances.

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
        self.on_draining = None
        self.on_serving = None
        self.on_stopped = None
        self.holder = ForwardConfigHolder()
        self.fleet = ForwardFleet(loop.timers, wiring.pool_label)
        self.servers = ServerList()
        self.board = EngineBoard(self.now_ms)
        self.crashes = CrashLedger(self.now_ms, self._on_held)
        self._hints = ReturnHints(self.random)
        self._limits = limits
        self._is_connected = wiring.port.is_connected
        self._choosers = {}
        self._has_listed = False
        self._stop_ms = None
        self.journal = ForwardJournal(self.holder, self.timers.clock)
        self._reservations = ReservationDesk(
            wiring.reservations,
            self.timers,
            self.metrics,
            self.journal,
            f'{identity.instance}-{identity.boot}',
        )
        self._reservations.change_limits(limits.unused_ms)
        ports = ForwardPorts(
            forward=wiring.port,
            timers=self.timers,
            metrics=self.metrics,
            journal=self.journal,
            reservations=self._reservations,
            hints=self._hints,
            crashes=self.crashes,
            note_moved=self._on_moved,
            chooser_of=self._chooser_of,
        )
        self.desk = ForwardDesk(ports, limits.retries)
        self._survey = LoadSurvey(
            wiring.reports,
            self.random,
            self._note_report,
        )
        self._forget_connections = wiring.port.forget
        self.fleet.subscribe_restarted(self._on_restarted)
        self.peers = ForwardPeers(loop, self, wiring)
        self.desk.lending = self.peers.lending
        limit_prober = LimitProber(self, wiring.reports)
        self.peers.limits.start(
            self.peers.list_active,
            self.peers.is_lost,
            limit_prober.probe,
        )
        self.holder.subscribe(self._on_config)
        self._add_gauges()
        self.timers.every(_COUNT_MS, self._count_instances)

    @property
    def is_accepting(self):
        """Whether callers may be sent here, a bool."""
        return self.phase == SERVING

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def reload(self, limits, seeds):
        """Take changed limits and seeds.

        Args:
          limits: ForwardLimits.
          seeds: Pairs of IP and port.
        """
        self._limits = limits
        self.desk.change_limits(limits.retries)
        self._reservations.change_limits(limits.unused_ms)
        self.peers.replace_seeds(seeds)

    def stop(self):
        """Stop as planned: nothing in progress is cut off."""
        if self.phase == DRAINING:
            return
        self._enter(DRAINING)
        self.peers.announce(is_serving=False)
        self._stop_ms = self.now_ms()
        self.timers.every(_STOP_CHECK_MS, self._check_stopped)
        if self.on_draining is not None:
            self.on_draining()

    def note_listed(self):
        """Note that the backend servers are known, be they many or none."""
        self._has_listed = True
        self._check_informed()

    def note_refused(self, request_id, refusal):
        """Count and log a request that was refused before it was a job.

        Args:
          request_id: The caller's id of it, or None.
          refusal: A RequestRefused.
        """
        self.metrics.count('bad_requests', refusal.code)
        self.journal.log_refused(request_id, refusal)

    def choose_addresses(self, data_centre):
        """Return the addresses that a caller should use.

        Args:
          data_centre: Where the caller is.
        Returns:
          A list of "IP:port".
        """
        members = self.peers.sharing.choose_addresses(data_centre)
        return [member.http_address for member in members]

    def _check_informed(self):
        """Serve once the configuration and backend servers are known."""
        is_informed = self._has_listed and self.holder.version
        if self.phase != JOINING or not is_informed:
            return
        self._enter(SERVING)
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
                'members',
                'Entry instances not believed dead.',
                lambda: len(self.peers.membership.believed_alive()),
            ),
        )
        for name, text, function in gauges:
            self.metrics.add_gauge(name, text, function)

    def _proof_age_s(self):
        age_ms = self.holder.proof_age_ms(self.now_ms())
        return float('inf') if age_ms is None else age_ms / _MS_PER_SECOND

    def _chooser_of(self, pool):
        return self._choosers.get(pool)

    def _note_work(self, change, work):
        """Tell the others of work, and learn what engines have at the first."""
        self.peers.sharing.note(change, work)
        self._survey.run(lambda: self._list_siblings(work.engine))

    def _list_siblings(self, engine):
        """Return the servers of an engine's pool that take limit_prober."""
        backend = self.fleet.get(engine)
        if backend is None:
            return []
        limit_of = self.peers.limits.words.limit_of
        now_ms = self.now_ms()
        return [
            one
            for one in self.fleet.members_of(self.fleet.pool_of(backend))
            if limit_of(one.identity) is None and now_ms >= one.refused_until_ms
        ]

    def _note_report(self, backend, load):
        reporting = self.fleet.find_reporting(backend, load.born)
        if reporting is None:
            return
        chooser = self._chooser_of(self.fleet.pool_of(reporting))
        if chooser is not None:
            chooser.note_report(reporting, load)

    def _on_moved(self, backend):
        log_change('server_moved', server=backend.identity)
        self.fleet.note_gone(backend.identity, is_seen=True)

    def _on_held(self, fingerprint, servers):
        """Tell operators that a request is not sent any more."""
        self.metrics.count('requests_held')
        log_change(
            'request_held',
            failed=True,
            fingerprint=write_fingerprint(fingerprint),
            servers=servers,
        )

    def _on_restarted(self, backend):
        """Drop what goes by the earlier start of a server."""
        log_change('server_restarted', server=backend.identity)
        self.desk.note_restarted(backend)
        self.board.forget(backend.identity)
        self._forget_connections(backend)

    def _on_config(self, config):
        self._choosers = {
            name: self._make_chooser(pool)
            for name, pool in config.pools.items()
        }
        log_change('config_in_force', version=config.version)
        self._check_informed()

    def _make_chooser(self, pool):
        name = LEAST_BUSY if pool.figures is None else PREDICTED
        parts = ChooserParts(
            pool=pool,
            members=lambda: self.fleet.members_of(pool.name),
            timers=self.timers,
            random=self.random,
            board=self.board,
            hints=self._hints,
            news=self._note_work,
            new_ticket=self._reservations.new_ticket,
            heard_ms_ago=self.peers.sharing.heard_ms_ago,
            data_centre=self.identity.data_centre,
            is_connected=self._is_connected,
            turns=self.peers.limits.turns,
        )
        return choosers[name](parts)

    def _count_instances(self):
        self.desk.note_instances(len(self.peers.membership))

    def _check_stopped(self):
        waited_ms = self.now_ms() - self._stop_ms
        grace_ms = self._limits.grace_ms - _STOP_MARGIN_MS
        old_answers_ms = self._limits.address_ttl_ms * _TTL_FACTOR
        if waited_ms < min(old_answers_ms, grace_ms):
            return
        if waited_ms < grace_ms and self.desk.in_progress:
            return
        log_change('stopped', in_progress=self.desk.in_progress)
        self.peers.stop()
        if self.on_stopped is not None:
            self.on_stopped()

    def _enter(self, phase):
        self.phase = phase
        log_change('phase', phase=phase)


class ForwardWiring:
    """What a host gives an instance that forwards requests.

    Attributes:
      port: A ForwardPort.
      reservations: A ReservationPort.
      reports: A ReportPort.
      take_config: A function of the bytes of a configuration.
      take_servers: A function of a ChangeSet of the servers' entries that
        tells whether anything was new.
      pool_label: The label of a backend server that names its pool.
    """

    __slots__ = (
        'pool_label',
        'port',
        'reports',
        'reservations',
        'take_config',
        'take_servers',
    )

    def __init__(self, **fields):
        """Gather the parts.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])
