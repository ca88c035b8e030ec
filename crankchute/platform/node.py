"""Connects a node of the core to the adapters of the platform."""

from crankchute.adapters.backpressure import Backpressure
from crankchute.adapters.early_listen import listen_in_range
from crankchute.adapters.early_requests import EarlyRequests
from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.log import log_change
from crankchute.adapters.operator_pages import OperatorPages
from crankchute.core.admission import make_key_admission
from crankchute.core.freshness_proof import choose_max_age_ms
from crankchute.core.retry_hints import RetryHints
from crankchute.core.server_notice import ServerNotices
from crankchute.entry.forward_node import ForwardNode
from crankchute.entry.forward_state import dump_forward_node
from crankchute.errors import RequestRefused
from crankchute.platform.answers import (
    ExchangeAnswer,
    IntakeRecorder,
    attach_flow,
    describe_sender,
)
from crankchute.platform.caller_servers import CallerServers
from crankchute.platform.directory import DirectoryHandler, ReadinessHandler
from crankchute.platform.instance_limits import (
    ADDRESS_TTL_MS,
    CallerLimits,
    read_identity,
    read_limits,
)
from crankchute.platform.published import PublishedConfig, PublishedServers
from crankchute.platform.published_evacuations import PublishedOperatorKeys
from crankchute.platform.relayed_requests import RelayedRequests
from crankchute.platform.requests import RequestReader
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.store import StoreWatch, WatchPolicy
from crankchute.platform.wiring import make_wiring
from crankchute.platform.wire import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    REQUEST_ID,
    SERVERS_PREFIX,
)

#: How long a watch call waits.  The proof that data is current is less than
#: twice as old, and a reader notices after this time that the store is lost.
_WATCH_WAIT_MS = 1200
#: How long a reader delays the next watch call after a change, since servers
#: register in batches.
_WATCH_BATCH_MS = 150
#: How often an instance checks whether its data is stale.
_STALE_CHECK_MS = 250
#: How long a new process does not watch, since it considers itself a reader
#: until it knows the other instances.
_STARTUP_MS = 1000
#: How many active instances read the store for all.  One is enough, so two of
#: them may be lost at once.
_READERS = 3
#: The second and the longest delay between failing calls of the store.  Other
#: instances get the data from the readers within a second and retry less often.
_READER_DELAYS_MS = (400, 800)
_RETRY_DELAYS_MS = (1500, 3000)
#: How long an early request may wait for the first responses of the store,
#: which usually take some ten milliseconds.
_FIRST_READ_WAIT_MS = 60
_IDLE_TIMEOUT_MS = 15_000


class PlatformNode:
    """One instance on the platform.

    Attributes:
      node: The ForwardNode.
      settings: InstanceSettings.
      timers: The TimerService.
      http_client: The HttpClient of all outgoing calls.
    """

    def __init__(self, loop, settings, sockets):
        """Create the adapters and start to read the store.

        Args:
          loop: The Loop.
          settings: InstanceSettings.
          sockets: A map from address to its listening socket.
        Raises:
          OSError: If an address cannot be bound.
        """
        self.timers = loop.timers
        self.settings = settings
        self._sockets = sockets
        self._start_ms = loop.timers.clock.now_ms()
        self.http_client = HttpClient(timers=loop.timers).register(loop)
        host, _port = settings.listeners.callers
        self._relay_sock = listen_in_range(host, settings.peer_ports)
        calls = ServerCalls(self.http_client, loop.timers.clock)
        wiring = make_wiring(self, calls, self._relay_sock)
        wiring.take_config = self._apply_config
        wiring.take_servers = self._apply_servers
        self.node = ForwardNode(
            loop,
            read_identity(settings),
            read_limits(settings.bounds),
            wiring,
        )
        calls.listener = ServerNotices(
            self.node.fleet,
            self.node.journal,
            self.node.peers.limits,
        )
        self._config_listener = PublishedConfig(self.node.holder)
        self._servers_listener = PublishedServers(
            self.node,
            self.timers.clock,
        )
        self._reader = RequestReader(
            self.node.holder,
            loop.timers.clock,
            make_key_admission(settings.bounds),
            RetryHints(self.node.random),
        )
        self._backpressure = self._make_backpressure()
        self._listen_all(loop)
        caller_limits = CallerLimits(
            self._caller_servers.servers,
            loop.timers,
            settings.bounds.config_apply_ms,
        )
        self.node.holder.subscribe(caller_limits.apply)
        self.node.shutdown.host = self._caller_servers
        self.node.on_serving = self._early_requests.record_informed
        self._watch_store()

    def reload(self, settings):
        """Apply changed settings; listening addresses do not change.

        Args:
          settings: InstanceSettings.
        """
        self.settings = settings
        self._reader.admission = make_key_admission(settings.bounds)
        if self._backpressure is not None and settings.memory_bytes is not None:
            self._backpressure.change_memory(settings.memory_bytes)
        self.node.reload(read_limits(settings.bounds), settings.seeds)

    def _make_backpressure(self):
        """Return a Backpressure, or None without a memory limit."""
        if self.settings.memory_bytes is None:
            return None
        metrics = self.node.metrics
        backpressure = Backpressure(
            self.settings.memory_bytes, self.timers, metrics
        )
        backpressure.watch_servers(self.http_client)
        # Callers that are refused together should not return together.
        hints = RetryHints(self.node.random)
        backpressure.gate.choose_retry_ms = hints.choose_at_least_ms
        metrics.add_gauge(
            'unsent_bytes',
            'Bytes of answers in memory.',
            lambda: backpressure.buffers.total,
        )
        memory = backpressure.gate.memory
        metrics.add_gauge(
            'request_bytes',
            'Bytes that requests have reserved.',
            lambda: memory.used,
        )
        metrics.add_gauge(
            'requests_waiting',
            'Requests that wait unread for memory.',
            lambda: len(memory.waiting),
        )
        return backpressure

    def _listen_all(self, loop):
        listeners = self.settings.listeners
        self._early_requests = EarlyRequests(
            loop.timers,
            self._on_request,
            _FIRST_READ_WAIT_MS,
        )
        self._server = self._listen(
            loop,
            listeners.callers,
            self._early_requests.take,
        )
        self._caller_servers = CallerServers(
            [self._server, *self._listen_for_relays(loop)],
            self._early_requests,
        )
        for server in self._caller_servers.servers:
            server.describe_sender = describe_sender
            server.on_rejected = IntakeRecorder(self.node.metrics).record
            if self._backpressure is not None:
                self._backpressure.watch_callers(server)
        readiness = ReadinessHandler(lambda: self.node.is_accepting)
        self._listen(loop, listeners.readiness, readiness.respond)
        pages = OperatorPages(
            self.node.metrics,
            lambda: dump_forward_node(self.node, self._backpressure),
        )
        self._listen(loop, listeners.metrics, pages.answer)
        if listeners.directory is not None:
            choose_addresses = self.node.choose_addresses
            directory = DirectoryHandler(choose_addresses, ADDRESS_TTL_MS)
            self._listen(loop, listeners.directory, directory.respond)

    def _listen_for_relays(self, loop):
        """Return the ForwardServer of relayed requests in a list, if any."""
        if self._relay_sock is None:
            log_change('relays_off', failed=True, reason='no free port')
            return []
        relayed = RelayedRequests(self.node, self._reader.read)
        server = ForwardServer(
            self._relay_sock,
            relayed.take,
            self.timers,
            channel='server-relays',
            idle_ms=_IDLE_TIMEOUT_MS,
        )
        relayed.attach(server)
        return [server.register(loop)]

    def _watch_store(self):
        servers_watch = self._make_watch(
            SERVERS_PREFIX,
            self._servers_listener,
            self.node.servers.proof_age_ms,
        )
        config_watch = self._make_config_watch()
        # The connection of the other watch may be lost, too.
        config_watch.on_recovered = servers_watch.refresh
        self._servers_listener.watches = (servers_watch, config_watch)
        servers_watch.start()
        config_watch.start()
        self.timers.every(_STALE_CHECK_MS, self._resume_watches)

    def _make_config_watch(self):
        """Return the watch of the configuration, and of evacuations if read."""
        prefix, listener = CONFIG_KEY, self._config_listener
        if self.node.fleet.evacuations.is_enabled:
            prefix = OPERATOR_PREFIX
            listener = PublishedOperatorKeys(
                self.node.peers.evacuations, listener
            )
        return self._make_watch(prefix, listener, self.node.holder.proof_age_ms)

    def _make_watch(self, prefix, listener, proof_age_ms):
        """Return a watch that is idle while other instances provide its data."""

        def is_needed():
            now_ms = self.timers.clock.now_ms()
            if now_ms - self._start_ms < _STARTUP_MS:
                return False
            age_ms = proof_age_ms(now_ms)
            if age_ms is None:
                age_ms = now_ms - self._start_ms
            return self._is_reader() or age_ms > self._stale_ms()

        def is_fresh():
            age_ms = proof_age_ms(self.timers.clock.now_ms())
            return age_ms is not None and age_ms <= self._stale_ms()

        policy = WatchPolicy(
            wait_ms=_WATCH_WAIT_MS,
            is_needed=is_needed,
            batch_ms=_WATCH_BATCH_MS,
            is_fresh=is_fresh,
            choose_retry_delays=self._choose_retry_delays,
        )
        return StoreWatch(self, prefix, listener, policy)

    def _stale_ms(self):
        bounds = self.settings.bounds
        in_force_ms = bounds.config_apply_ms
        if bounds.evacuate_ms is not None:
            in_force_ms = min(in_force_ms, bounds.evacuate_ms)
        return choose_max_age_ms(in_force_ms)

    def _is_reader(self):
        return self.node.peers.sharing.is_top_ranked(_READERS)

    def _choose_retry_delays(self):
        return _READER_DELAYS_MS if self._is_reader() else _RETRY_DELAYS_MS

    def _resume_watches(self):
        """Call the store if the data is stale."""
        servers_watch, config_watch = self._servers_listener.watches
        servers_watch.resume(self.node.servers.revision)
        config_watch.resume(0)

    def _listen(self, loop, address, on_request):
        return ForwardServer(
            self._sockets[address],
            on_request,
            self.timers,
            channel=f'server-{address[1]}',
            idle_ms=_IDLE_TIMEOUT_MS,
        ).register(loop)

    def _on_request(self, exchange):
        try:
            job = self._reader.read(exchange)
        except RequestRefused as refusal:
            self.node.record_refused(exchange.header(REQUEST_ID), refusal)
            raise
        flow = self.node.desk.submit(job, ExchangeAnswer(exchange))
        attach_flow(exchange, flow)

    def _apply_config(self, payload):
        self._config_listener.apply(payload)

    def _apply_servers(self, changes):
        return self._servers_listener.apply(changes)
