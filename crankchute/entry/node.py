"""An entry instance, assembled on one event loop."""

import random
import secrets
import time

from crankchute.adapters.engine_http import HttpEngines
from crankchute.adapters.forward_journal import ForwardJournal
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.load_poller import LoadPoller
from crankchute.adapters.log import log_change
from crankchute.adapters.metrics import PrometheusMetrics
from crankchute.adapters.peers_grpc import PeerClient, PeerServer
from crankchute.adapters.platform_http import PlatformWatch
from crankchute.adapters.service_http import HttpServices
from crankchute.core.config_holder import ConfigHolder
from crankchute.core.dispatcher import Dispatcher, DispatcherPorts
from crankchute.core.fleet import LEAVING, Fleet
from crankchute.core.request_keys import Binding
from crankchute.core.account_limits import AccountLimits
from crankchute.core.membership import Member
from crankchute.core.service_router import ServiceRouter
from crankchute.entry.limit_lending import LimitLending
from crankchute.entry.caller_api import CallerApi
from crankchute.entry.state_dump import dump_node
from crankchute.entry.inventory import Inventory
from crankchute.entry.startup import Joiner
from crankchute.entry.engine_reconciler import EngineReconciler
from crankchute.entry.peering import Peering
from crankchute.entry.platform_reader import PlatformReader
from crankchute.entry.service_dispatcher import ServiceDispatcher

JOINING = 'joining'
SERVING = 'serving'
DRAINING = 'draining'
CLOSED = 'closed'
_DRAIN_CHECK_INTERVAL_MS = 50
_FLUSH_TIMEOUT_MS = 60_000
_MS_PER_SECOND = 1000


class EntryNode:
    """One entry instance.

    Attributes:
      phase: "joining", "serving", "draining" (no longer in address responses,
        but still serving callers that have cached one), or "closed"
        (completing requests in progress only).
      on_stopped: Called when the shutdown is complete.
    """

    def __init__(self, loop, settings):
        """Assemble the components and start to join.

        Args:
          loop: The Loop.
          settings: Settings, see daemons/entry.py.
        Raises:
          OSError: If an address cannot be listened on.
        """
        self.timers = loop.timers
        self.settings = settings
        self.metrics = PrometheusMetrics()
        self.binding = Binding(settings.instance, secrets.token_hex(8))
        self.random = random.Random(self.binding.boot)
        self.config = ConfigHolder()
        self.inventory = Inventory()
        self.fleet = Fleet()
        self.limits = AccountLimits(loop.clock)
        self.phase = JOINING
        self.on_stopped = None
        self._create_network(loop)
        self._create_core()
        self._create_coordination()
        self._register_callbacks()

    @property
    def is_serving(self):
        """Whether requests are accepted, also from callers with old addresses."""
        return self.phase in {SERVING, DRAINING}

    @property
    def is_accepting(self):
        """Whether callers may be directed to this instance."""
        return self.phase == SERVING

    def now_ms(self):
        """Return the time on this process's clock."""
        return self.timers.clock.now_ms()

    def dump(self):
        """Return the state of this instance for operators, a dict."""
        return dump_node(self)

    def stop(self):
        """Shut down gracefully: requests in progress are completed."""
        if self.phase in {DRAINING, CLOSED}:
            return
        self._enter_phase(DRAINING)
        self.peering.membership.update_own(draining=True)
        self.peering.notify()
        self.timers.after(self.settings.address_ttl_ms, self._close)

    def on_probe(self, request, on_reply):
        """See PeerServicer."""
        self.peering.on_probe(request, on_reply)

    def on_pull(self, request, on_reply):
        """See PeerServicer."""
        self.peering.on_pull(request, on_reply)

    def on_forward(self, request, on_reply):
        """See PeerServicer."""
        self.service_dispatcher.on_forward(request, on_reply)

    def on_borrow(self, request, on_reply):
        """See PeerServicer."""
        self.limit_lending.on_borrow(request, on_reply)

    def _create_network(self, loop):
        settings = self.settings
        self.http_client = HttpClient().register(loop)
        self.peer_client = PeerClient(loop)
        self.peer_server = PeerServer(loop, settings.peer_address, self)
        self.caller_api = CallerApi(self)
        self.http_server = HttpServer(
            settings.http_address,
            self.caller_api.handle_request,
            loop.timers,
        ).register(loop)

    def _create_core(self):
        settings = self.settings
        ports = DispatcherPorts(
            engines=HttpEngines(self.http_client),
            timers=self.timers,
            random=self.random,
            metrics=self.metrics,
        )
        self.dispatcher = Dispatcher(
            ports,
            self.fleet,
            self.limits,
            settings.data_centre,
        )
        services = HttpServices(self.http_client)
        self.service_router = ServiceRouter(
            ports,
            self.fleet,
            services,
            ForwardJournal(self.config, self.timers.clock),
        )
        self.peering = Peering(
            self,
            self._make_own_member(),
            {'config': self.config, 'instances': self.inventory},
            ports.crashes,
        )

    def _create_coordination(self):
        self.service_dispatcher = ServiceDispatcher(
            self,
            self.service_router,
            self.peering,
            self.binding,
        )
        self.reconciler = EngineReconciler(
            self, self.peering, self.config, self.fleet
        )
        self.limit_lending = LimitLending(
            self,
            self.peering,
            self.limits,
            self.config,
        )
        self.poller = LoadPoller(
            self.http_client,
            self.timers,
            self.fleet,
            self.peering.membership.own,
        )
        self.watches = [
            self._create_watch('config'),
            self._create_watch('instances'),
        ]
        self.reader = PlatformReader(
            self,
            self.peering,
            list(zip(self.watches, (self.config, self.inventory))),
        )
        seeds = [f'{host}:{port}' for host, port in self.settings.seeds]
        self.joiner = Joiner(
            self,
            self.peering,
            self.config,
            seeds,
            self._on_joined,
        )
        self.peering.start()

    def _create_watch(self, store):
        address = self.settings.platform
        return PlatformWatch(self.http_client, self.timers, address, store)

    def _make_own_member(self):
        settings = self.settings
        return Member(
            settings.instance,
            self.binding.boot,
            int(time.time() * _MS_PER_SECOND),
            peer_address=settings.peer_address_text,
            http_address=settings.http_address_text,
            data_centre=settings.data_centre,
            draining=True,
        )

    def _register_callbacks(self):
        self.config.subscribe(self._on_config)
        self.inventory.subscribe(self._on_inventory)
        self.poller.on_report = self.dispatcher.pump
        self.metrics.add_gauge(
            'requests_in_progress',
            'Completions admitted and not ended.',
            lambda: self.dispatcher.in_progress,
        )
        self.metrics.add_gauge(
            'config_revision',
            'The revision of the configuration in force.',
            lambda: self.config.revision,
        )
        self.metrics.add_gauge(
            'members',
            'Entry instances not believed dead.',
            lambda: len(self.peering.membership.live_members()),
        )

    def _on_joined(self):
        self.reader.finish_join()
        if self.phase == JOINING:
            self._enter_phase(SERVING)
            self.peering.membership.update_own(draining=False)
            self.peering.notify()

    def _on_config(self, config):
        self.dispatcher.config = config
        self.service_router.config = config
        log_change('config_in_force', revision=config.revision)
        self.peering.notify()
        self.dispatcher.pump()

    def _on_inventory(self, records):
        self.fleet.replace(records)
        self.peering.seed(self.inventory.entry_instances())
        self.peering.notify()
        for record in records:
            is_own = record.identity == self.settings.instance
            if is_own and record.state == LEAVING:
                self.stop()
        self.dispatcher.pump()

    def _close(self):
        self._enter_phase(CLOSED)
        self._closed_ms = self.now_ms()
        self._drain_timer = self.timers.every(
            _DRAIN_CHECK_INTERVAL_MS, self._check_drained
        )

    def _check_drained(self):
        active_calls = (
            self.dispatcher.in_progress + self.service_dispatcher.in_progress
        )
        if active_calls or self.http_server.open_exchanges:
            return
        elapsed_ms = self.now_ms() - self._closed_ms
        if (
            self.http_server.server.has_unsent
            and elapsed_ms < _FLUSH_TIMEOUT_MS
        ):
            return
        self._drain_timer.cancel()
        log_change('stopped')
        self.peer_server.stop()
        self.peer_client.close()
        if self.on_stopped is not None:
            self.on_stopped()

    def _enter_phase(self, phase):
        self.phase = phase
        log_change('phase', phase=phase)
