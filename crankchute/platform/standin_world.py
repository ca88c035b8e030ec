"""Instances and simulated servers on one event loop, for tests.

Instances and servers talk over loopback connections.  There is no store; tests
pass configurations and servers to the instances directly.

On a simulated clock, instances call each other without sockets: the outcome then
does not depend on how fast the machine is.
"""

from functools import partial
from types import MappingProxyType

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_client import HttpClient
from crankchute.core.evacuations import Evacuations
from crankchute.core.cold_bounds import ColdBounds
from crankchute.core.fleet import ListedServer
from crankchute.core.forward_config import ForwardConfig, PoolConfig
from crankchute.core.forward_fakes import (
    POOL,
    FakeSink,
    make_figures,
    make_job,
)
from crankchute.core.forward_job import PromptSize, RetryMode
from crankchute.core.hashing import make_fingerprint
from crankchute.core.server_notice import ServerNotices
from crankchute.core.sliding_budget import RetryLimits
from crankchute.entry.forward_node import (
    ForwardLimits,
    ForwardNode,
    ForwardWiring,
    InstanceIdentity,
)
from crankchute.platform.backend_calls import BackendCalls
from crankchute.platform.engine_orders import EngineOrders
from crankchute.platform.engine_reports import EngineReports
from crankchute.platform.relay_calls import RelayCalls
from crankchute.platform.relayed_requests import RelayedRequests
from crankchute.platform.requests import RequestPayload
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.standin_paths import PathFault, PathFaults
from crankchute.platform.standin_peers import make_calls
from crankchute.platform.standin_engine import HEALTH_PATH, StandinEngine
from crankchute.platform.wire import DEADLINE_MS, LAST_EVENT, REQUEST_ID
from crankchute.standins.ports import LOOPBACK, pick_ports

#: The possible final events of a successful request.
ANSWERED = frozenset(('end', 'answer'))
#: The body of an ordinary request, which crashes no server.
SOUND = b'sound'
_TICK_S = 0.001
#: Much longer than a round trip on the loopback interface.
_ROUND_TRIP_MS = 200
#: Enough concurrent requests to reach every server of a small pool.
_BATCH = 24
_MEMORY = 100_000
_DEADLINE_MS = 60_000
_CONNECTIONS = 64
_PROMPT = PromptSize(prompt=2000, answer=100)  # noqa: WPS432
#: Exceeds the memory of one engine, so that memory is reserved at others.
HUGE = PromptSize(prompt=150_000, answer=100)  # noqa: WPS432
_MS_PER_SECOND = 1000
#: Goals so long that no request is rejected because of load.
PATIENT = MappingProxyType(
    {'goal_ms': _DEADLINE_MS, 'gap_ms': _DEADLINE_MS},
)
_UNUSED_MS = 9000
#: How many of the newest instances are seeds of the next.
_SEEDS = 3
#: The bound on requests to cold servers.
COLD_BOUNDS = ColdBounds(overage=1.5, slack=5)  # noqa: WPS432
_RETRIES = RetryLimits(ratio=0, slack=100, window_ms=1000)
_open_worlds = []


class StandinWorld:
    """Instances that are peers of one another, and servers of one pool.

    Attributes:
      loop: The Loop.
      engines: The StandinEngines, a list.
      nodes: The ForwardNodes, a list.
    """

    def __init__(
        self,
        instances=3,
        engines=12,
        *,
        is_plain=False,
        evacuates=False,
        cold_per_second=0,
        peer_delay_ms=None,
    ):
        """Start all, and wait until the instances know each other.

        Args:
          instances: The number of instances.
          engines: The number of servers.
          is_plain: Whether the servers are plain ones instead of engines.
          evacuates: Whether instances heed evacuations, which a test must pass
            to them before they serve.
          cold_per_second: The rate of cold servers; 0 if none counts as cold.
          peer_delay_ms: How long a message between instances takes on a
            simulated clock, or None for the real clock and real messages.
        """
        self._evacuates = evacuates
        self._cold_per_second = cold_per_second
        self._peer_calls = make_calls(peer_delay_ms)
        self.loop = self._peer_calls.loop
        self._by_address = {}
        figures = make_figures(memory_tokens=_MEMORY)
        self._figures = None if is_plain else figures
        self.engines = []
        self.nodes = []
        self._reports = {}
        self._paths = {}
        self._relayed = {}
        self._relay_servers = {}
        self._submitted = {}
        self._peer_ports = []
        _open_worlds.append(self)
        for _ in range(instances):
            self.start_instance()
        for _ in range(engines):
            self.start_engine()
        self.loop.run_until(self._know_each_other, _TICK_S)

    def start_instance(self):
        """Start an instance that knows the servers and its seeds."""
        identity = self._make_identity()
        limits = ForwardLimits(
            retries=_RETRIES,
            address_ttl_ms=1000,
            grace_ms=_DEADLINE_MS,
            unused_ms=_UNUSED_MS,
            cold=COLD_BOUNDS if self._cold_per_second else None,
        )
        client = HttpClient(
            f'hub-{identity.instance}',
            timers=self.loop.timers,
        )
        calls = ServerCalls(
            client.register(self.loop),
            self.loop.timers.clock,
        )
        reports = EngineReports(calls)
        node = ForwardNode(
            self.loop,
            identity,
            limits,
            self._make_wiring(client, calls, reports),
        )
        self._peer_calls.connect(node)
        self._relayed[client.channel] = RelayedRequests(
            node, self._read_relayed
        )
        self._reports[node] = reports
        self._paths[node] = PathFaults(client, self.loop.timers)
        calls.listener = ServerNotices(
            node.fleet,
            node.journal,
            node.peers.limits,
        )
        self.nodes.append(node)
        pool = PoolConfig(
            POOL,
            _CONNECTIONS,
            self._figures,
            HEALTH_PATH,
            cold_start_ms=_DEADLINE_MS,
            cold_per_second=self._cold_per_second,
        )
        node.holder.offer(ForwardConfig(1, [], [pool]), b'')
        for engine in self.engines:
            if engine.is_up:
                node.fleet.put(list_engine(engine))
        node.record_listed()
        return node

    def start_engine(self):
        """Start a server and add it to all instances."""
        engine = StandinEngine(
            self.loop,
            f'i-{len(self.engines)}',
            self._by_address,
            _MEMORY,
        )
        self.engines.append(engine)
        for node in self.nodes:
            node.fleet.put(list_engine(engine))
        return engine

    def wait(self, delay_ms):
        """Run the loop for some milliseconds."""
        elapsed = []
        self.loop.timers.after(delay_ms, lambda: elapsed.append(True))
        self.loop.run_until(lambda: bool(elapsed), _TICK_S)

    def submit(self, node, body, **fields):
        """Submit a request.

        Args:
          node: The ForwardNode that receives it.
          body: Bytes.
          fields: See make_job.
        Returns:
          Its FakeSink, and a function that waits for the request to end and
          returns its final event.
        """
        now_ms = node.now_ms()
        request_id = f'r-{len(self._submitted)}'
        headers = [('X-Crankchute-Request-Id', request_id)]
        kind = {'repeat': RetryMode.AGAIN, 'size': None}
        if self._figures is not None:
            headers.append(('X-Crankchute-Token-Usage', '2000,100'))
            kind = {
                'repeat': RetryMode.RESUME,
                'is_stream': True,
                'size': _PROMPT,
            }
        fields = {
            'request_id': request_id,
            'fingerprint': make_fingerprint(body),
            'deadline_ms': now_ms + _DEADLINE_MS,
            **kind,
            **fields,
        }
        self._submitted[request_id] = fields
        job = make_job(
            arrived_ms=now_ms,
            payload=RequestPayload('POST', '/p/', headers, body),
            **fields,
        )
        sink = FakeSink()
        flow = node.desk.submit(job, sink)

        def finish():
            self.loop.run_until(lambda: flow.ended, _TICK_S)
            return sink.events[-1]

        return sink, finish

    def ask(self, node, body, **fields):
        """Submit a request, and return its final event."""
        _sink, finish = self.submit(node, body, **fields)
        return finish()

    def send_load(self, nodes, per_second, for_ms):
        """Submit requests at a constant rate, and wait until all have ended.

        Args:
          nodes: A list of ForwardNode that receive them in turn; it may change
            meanwhile.
          per_second: The rate.
          for_ms: The duration in milliseconds.
        Returns:
          The names of their final events, a list of strings.
        """
        waiting = []

        def submit():
            node = nodes[len(waiting) % len(nodes)]
            waiting.append(self.submit(node, SOUND, **PATIENT)[1])

        pace = self.loop.timers.every(_MS_PER_SECOND / per_second, submit)
        self.wait(for_ms)
        pace.cancel()
        return [finish()[0] for finish in waiting]

    def cut_off(self, node):
        """Disconnect an instance from its peers, but not from servers.

        Args:
          node: Its ForwardNode.
        """
        node.peers.stop()
        self._peer_calls.disconnect(node)

        def drop_call(_address, _method, _request, on_reply, *, timeout_ms):
            self.loop.timers.after(timeout_ms, partial(on_reply, None))

        node.peers.peer_client.call = drop_call

    def lose_paths(self, node, fault, engines=None):
        """Lose the paths from an instance to servers.

        Args:
          node: Its ForwardNode.
          fault: A PathFault.
          engines: The StandinEngines, or None for all.
        """
        addresses = {
            list_engine(engine).address for engine in engines or self.engines
        }
        self._paths[node].lose(addresses, fault)

    def restore_paths(self, node):
        """Restore the paths from an instance to all servers."""
        self._paths[node].restore()

    def stop_relays(self, node):
        """Close the connections on which requests are relayed to an instance.

        Args:
          node: Its ForwardNode.
        """
        self._relay_servers[f'hub-{node.identity.instance}'].close()

    def kill(self, node):
        """End all connections of an instance, as if its process were gone.

        Args:
          node: Its ForwardNode.
        """
        self.cut_off(node)
        self.lose_paths(node, PathFault.RESET)
        self.stop_relays(node)

    def close(self):
        """Stop listening, and close the connections between instances."""
        for node in self.nodes:
            node.peers.stop()
        for server in self._relay_servers.values():
            server.close()
        for engine in self.engines:
            engine.crash()

    def reports(self, node):
        """Return the EngineReports of an instance.

        Args:
          node: Its ForwardNode.
        """
        return self._reports[node]

    def _make_identity(self):
        number = len(self._peer_ports)
        # Picked late, so that no other process takes the port meanwhile.
        self._peer_ports.extend(pick_ports(1))
        seeds = self._peer_ports[-_SEEDS:]
        return InstanceIdentity(
            f'entry-{number}',
            'here',
            peer_address=(LOOPBACK, self._peer_ports[number]),
            caller_address=(LOOPBACK, 1),
            seeds=[(LOOPBACK, port) for port in seeds],
        )

    def _listen_for_relays(self, name):
        """Return the address for requests that are relayed to an instance."""
        server = ForwardServer(
            (LOOPBACK, 0),
            lambda exchange: self._relayed[name].take(exchange),
            self.loop.timers,
            channel=f'relays-{name}',
            idle_ms=_DEADLINE_MS,
        )
        self._relay_servers[name] = server.register(self.loop)
        return LOOPBACK, server.port

    def _read_relayed(self, exchange):
        """Return the job of a relayed request, with the fields of its caller."""
        request_id = exchange.header(REQUEST_ID)
        headers = [
            (name, text)
            for name, text in exchange.headers
            if name in {'X-Crankchute-Request-Id', 'X-Crankchute-Token-Usage'}
        ]
        last_event = exchange.header(LAST_EVENT)
        now_ms = self.loop.timers.clock.now_ms()
        fields = {
            **self._submitted[request_id],
            'deadline_ms': now_ms + float(exchange.header(DEADLINE_MS)),
            'resume_after': None if last_event is None else int(last_event),
        }
        return make_job(
            arrived_ms=now_ms,
            payload=RequestPayload(
                exchange.method, exchange.target, headers, exchange.body
            ),
            **fields,
        )

    def _make_wiring(self, client, calls, reports):
        relays = RelayCalls(client, client.channel)
        return ForwardWiring(
            port=BackendCalls(client, calls, relays),
            relay_address=self._listen_for_relays(client.channel),
            reservations=EngineOrders(calls, self.loop.timers),
            reports=reports,
            take_config=lambda _payload: None,
            take_servers=lambda _changes: False,
            pool_label='pool',
            evacuations=Evacuations(is_enabled=self._evacuates),
        )

    def _know_each_other(self):
        count = len(self.nodes)
        return all(len(node.peers.membership) == count for node in self.nodes)


def close_worlds():
    """Close all worlds that were started since the last call."""
    while _open_worlds:
        _open_worlds.pop().close()


def list_engine(engine, data_centre='here'):
    """Return the ListedServer record of a StandinEngine."""
    return ListedServer(
        {
            'id': engine.identity,
            'kind': 'backend',
            'address': engine.address,
            'data_centre': data_centre,
            'labels': {'pool': POOL},
            'born': engine.born,
            'cold_remaining_ms': 0,
        }
    )


def ask_often(world, node, count=_BATCH):
    """Submit concurrent requests, and return the names of their final events."""
    waiting = [world.submit(node, SOUND, **PATIENT)[1] for _ in range(count)]
    return [finish()[0] for finish in waiting]


def ask_for_work(world, engine):
    """Submit requests until an engine has received one."""
    while not engine.arrivals:
        ask_often(world, world.nodes[0])


def ask_for_memory(world, engine):
    """Submit a request that needs memory of several engines."""
    world.ask(world.nodes[0], SOUND, size=HUGE, goal_ms=_DEADLINE_MS)


def ask_for_report(world, engine):
    """Query the report of an engine."""
    node = world.nodes[0]
    backend = node.fleet.get(list_engine(engine).identity)
    world.reports(node).request_load(backend, lambda _load: None)
    world.loop.run_until(lambda: engine.probes, _TICK_S)
    world.wait(_ROUND_TRIP_MS)
