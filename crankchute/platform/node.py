"""One instance on the platform: the product's node between its adapters."""

from crankchute.adapters.early_requests import EarlyRequests
from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.http_intake import IntakeLimits
from crankchute.adapters.operator_pages import OperatorPages
from crankchute.core.admission import make_key_admission
from crankchute.core.proof import choose_stale_ms
from crankchute.core.return_hints import ReturnHints
from crankchute.core.server_notice import ServerNotices
from crankchute.core.sliding_budget import RetryLimits
from crankchute.entry.forward_node import (
    ForwardLimits,
    ForwardNode,
    ForwardWiring,
    InstanceIdentity,
)
from crankchute.entry.forward_state import dump_forward_node
from crankchute.errors import RequestRefused
from crankchute.platform.answers import ExchangeAnswer
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.directory import DirectoryHandler, ReadinessHandler
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.engine_reports import EngineReports
from crankchute.platform.published import PublishedConfig, PublishedServers
from crankchute.platform.requests import RequestReader
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.store import StoreWatch, WatchPace
from crankchute.platform.wire import (
    CONFIG_KEY,
    REQUEST_ID,
    SERVERS_PREFIX,
)

#: How long callers may keep an address answer, in milliseconds: short, so
#: that they leave a lost instance soon; each question costs processor time.
ADDRESS_TTL_MS = 1000
#: How long a watch waits; the age of a proof stays under twice as long, and
#: a reader that is cut off from the store alone is noticed after it.
_WAIT_MS = 1200
#: How long a reader does without a watch after a change: servers register by
#: the dozen when a day begins.
_PAUSE_MS = 150
#: How often an instance looks whether it is told nothing new for too long.
_CHECK_MS = 250
#: How long a process that starts does not watch, since until it knows the
#: others it would take itself for a reader.
_SETTLE_MS = 1000
#: How many of the active instances read the store for all: one is enough,
#: and the loss of two at once leaves one.
_READERS = 3
#: The second and the longest pause between calls of the store that fail, at a
#: reader and at others.  What the readers get again the others are told within
#: a second, so they need not all call a store that turns everybody away.
_READER_RETRIES_MS = (400, 800)
_RETRIES_MS = (1500, 3000)
#: How long a request may wait for the first answers of the store, in
#: milliseconds; they take some ten.
_FIRST_ANSWERS_MS = 60
_IDLE_MS = 15_000
_BYTES_PER_MS = 4


class PlatformNode:
    """One entry instance on the platform.

    Attributes:
      node: The ForwardNode.
      settings: InstanceSettings.
      timers: The TimerService.
      http_client: The HttpClient of all outgoing calls.
    """

    def __init__(self, loop, settings, sockets):
        """Wire the adapters and begin to read the store.

        Args:
          loop: The Loop.
          settings: InstanceSettings.
          sockets: A map from address to the socket that listens on it.
        Raises:
          OSError: If an address cannot be listened on.
        """
        self.timers = loop.timers
        self.settings = settings
        self._sockets = sockets
        self._start_ms = loop.timers.clock.now_ms()
        self.http_client = HttpClient(timers=loop.timers).register(loop)
        calls = ServerCalls(self.http_client, loop.timers.clock)
        wiring = ForwardWiring(
            port=BackendCalls(self.http_client, calls),
            reservations=EngineOrders(calls, loop.timers),
            reports=EngineReports(calls),
            take_config=self._take_config,
            take_servers=self._take_servers,
            pool_label=POOL_LABEL,
        )
        self.node = ForwardNode(
            loop,
            _read_identity(settings),
            _read_limits(settings.bounds),
            wiring,
        )
        calls.listener = ServerNotices(
            self.node.fleet,
            self.node.journal,
            self.node.peers.limits,
        )
        self._published = PublishedConfig(self.node.holder)
        self._published_servers = PublishedServers(
            self.node,
            self.timers.clock,
        )
        self._reader = RequestReader(
            self.node.holder,
            loop.timers.clock,
            make_key_admission(settings.bounds),
            ReturnHints(self.node.random),
        )
        self._listen_all(loop)
        self.node.holder.subscribe(self._on_config)
        self.node.on_draining = self._on_draining
        self.node.on_serving = self._early.note_informed
        self._watch_store()

    def reload(self, settings):
        """Take changed settings; addresses are those of the start.

        Args:
          settings: InstanceSettings.
        """
        self.settings = settings
        self._reader.admission = make_key_admission(settings.bounds)
        self.node.reload(_read_limits(settings.bounds), settings.seeds)

    def _listen_all(self, loop):
        listeners = self.settings.listeners
        self._early = EarlyRequests(
            loop.timers,
            self._on_request,
            _FIRST_ANSWERS_MS,
        )
        self._server = self._listen(
            loop,
            listeners.callers,
            self._early.take,
        )
        readiness = ReadinessHandler(lambda: self.node.is_accepting)
        self._listen(loop, listeners.readiness, readiness.respond)
        pages = OperatorPages(
            self.node.metrics,
            lambda: dump_forward_node(self.node),
        )
        self._listen(loop, listeners.metrics, pages.answer)
        if listeners.directory is not None:
            choose_addresses = self.node.choose_addresses
            directory = DirectoryHandler(choose_addresses, ADDRESS_TTL_MS)
            self._listen(loop, listeners.directory, directory.respond)

    def _watch_store(self):
        servers_watch = self._make_watch(
            SERVERS_PREFIX,
            self._published_servers,
            self.node.servers.proof_age_ms,
        )
        config_watch = self._make_watch(
            CONFIG_KEY,
            self._published,
            self.node.holder.proof_age_ms,
        )
        # What cut one watch off may have cut off the other unnoticed.
        config_watch.on_regained = servers_watch.refresh
        self._published_servers.watches = (servers_watch, config_watch)
        servers_watch.start()
        config_watch.start()
        self.timers.every(_CHECK_MS, self._check_watches)

    def _make_watch(self, prefix, listener, proof_age_ms):
        """Return a watch that rests while others tell what it would."""

        def is_needed():
            now_ms = self.timers.clock.now_ms()
            if now_ms - self._start_ms < _SETTLE_MS:
                return False
            age_ms = proof_age_ms(now_ms)
            if age_ms is None:
                age_ms = now_ms - self._start_ms
            return self._is_reader() or age_ms > self._stale_ms()

        def is_told():
            age_ms = proof_age_ms(self.timers.clock.now_ms())
            return age_ms is not None and age_ms <= self._stale_ms()

        pace = WatchPace(
            wait_ms=_WAIT_MS,
            is_needed=is_needed,
            pause_ms=_PAUSE_MS,
            is_told=is_told,
            choose_retries=self._choose_retries,
        )
        return StoreWatch(self, prefix, listener, pace)

    def _stale_ms(self):
        return choose_stale_ms(self.settings.bounds.config_apply_ms)

    def _is_reader(self):
        return self.node.peers.sharing.is_among_first(_READERS)

    def _choose_retries(self):
        return _READER_RETRIES_MS if self._is_reader() else _RETRIES_MS

    def _check_watches(self):
        """Ask the store when neither it nor another instance told lately."""
        servers_watch, config_watch = self._published_servers.watches
        servers_watch.resume(self.node.servers.revision)
        config_watch.resume(0)

    def _listen(self, loop, address, on_request):
        _host, port = address
        server = ForwardServer(
            self._sockets[address],
            on_request,
            self.timers,
            channel=f'server-{port}',
            idle_ms=_IDLE_MS,
        )
        return server.register(loop)

    def _on_request(self, exchange):
        try:
            job = self._reader.read(exchange)
        except RequestRefused as refusal:
            self.node.note_refused(exchange.header(REQUEST_ID), refusal)
            raise
        flow = self.node.desk.submit(job, ExchangeAnswer(exchange))
        if not flow.ended:
            exchange.on_gone = flow.cancel

    def _take_config(self, payload):
        self._published.take(payload)

    def _take_servers(self, changes):
        return self._published_servers.take(changes)

    def _on_config(self, config):
        intake = config.intake
        if intake is not None:
            self._server.idle_ms = intake.idle_ms
            self._server.limits = IntakeLimits(
                head_bytes=intake.head_bytes,
                body_bytes=intake.body_bytes,
                head_ms=intake.head_ms,
                body_rate=_BYTES_PER_MS,
            )

    def _on_draining(self):
        self._server.is_closing = True


def _read_identity(settings):
    return InstanceIdentity(
        settings.instance,
        settings.data_centre,
        peer_address=settings.listeners.peers,
        caller_address=settings.listeners.callers,
        seeds=settings.seeds,
        strength=settings.millicores,
    )


def _read_limits(bounds):
    retries = RetryLimits(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_ms=bounds.retry_window_ms,
    )
    return ForwardLimits(
        retries=retries,
        address_ttl_ms=ADDRESS_TTL_MS,
        grace_ms=bounds.grace_ms,
        unused_ms=bounds.unused_ms,
    )
