"""Tests of a request under which servers end, wherever it comes.

A request ended the process of each engine that began to run it.  Every instance
took each of its submissions for a new request: the end was put to the engine's
account alone, and the request went to the next one, again and again.  In the
log of one instance, 165 ms apart, before the caller was told to try again:

    attempt_end server=i-73a5313c7e cause=the connection was closed first_ms=None
    attempt_end server=i-7dd1240e8c cause=the connection was closed first_ms=None

Two more engines ended at the instance to which the caller came next, and so on
for half a minute: 20 ends of engines by the first such request and 29 by the
second, with the answers of thirteen other prompts broken off within 1.2 s.

Whole instances run here on one loop, with engines that speak the wire.
"""

import pytest

from bench.ports import LOOPBACK, pick_ports
from crankchute.adapters.http_client import HttpClient
from crankchute.adapters.loop import Loop
from crankchute.core.fleet import Listed
from crankchute.core.forward_config import ForwardConfig, PoolConfig
from crankchute.core.forward_fakes import (
    POOL,
    FakeSink,
    make_figures,
    make_job,
)
from crankchute.core.forward_job import PromptSize, Repeat
from crankchute.core.hashing import make_fingerprint
from crankchute.core.outcomes import Outcome
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
from crankchute.platform.requests import RequestPayload
from crankchute.platform.server_calls import ServerCalls
from crankchute.platform.standin_engine import StandinEngine

_TICK_S = 0.001
_MEMORY = 100_000
_DEADLINE_MS = 60_000
#: Within this time all instances know what one of them learnt (the users' rule).
_CONTACT_MS = 3000
#: So many more servers such a request may reach after that (the same rule).
_MOST_AFTER = 3
_ENDS = b'ends what runs it'
_SOUND = b'sound'


class World:
    """Instances that share what they learn, and engines, on one loop."""

    def __init__(self, instances=3, engines=12):
        self.loop = Loop()
        self._by_address = {}
        self.engines = []
        self.nodes = []
        self._peer_ports = pick_ports(instances + 1)
        for _ in range(instances):
            self.start_instance()
        for _ in range(engines):
            self.start_engine()
        self.loop.run_until(self._know_each_other, _TICK_S)

    @property
    def ended(self):
        """How many engines have ended."""
        return sum(not one.is_up for one in self.engines)

    def start_instance(self):
        """Start one more instance, which knows nothing."""
        number = len(self.nodes)
        client = HttpClient(f'hub-{number}', timers=self.loop.timers)
        client.register(self.loop)
        calls = ServerCalls(client)
        wiring = ForwardWiring(
            port=BackendCalls(client, calls),
            reservations=EngineOrders(calls, self.loop.timers),
            reports=EngineReports(calls),
            take_config=lambda _payload: None,
            take_servers=lambda _changes: False,
            pool_label='pool',
        )
        limits = ForwardLimits(
            retries=RetryLimits(ratio=0, slack=100, window_ms=1000),
            address_ttl_ms=1000,
            grace_ms=_DEADLINE_MS,
            unused_ms=9000,
        )
        identity = InstanceIdentity(
            f'entry-{number}',
            'here',
            peer_address=(LOOPBACK, self._peer_ports[number]),
            caller_address=(LOOPBACK, 1),
            seeds=[(LOOPBACK, self._peer_ports[0])],
        )
        node = ForwardNode(self.loop, identity, limits, wiring)
        self.nodes.append(node)
        pools = [PoolConfig(POOL, 64, make_figures(memory_tokens=_MEMORY))]
        node.holder.offer(ForwardConfig(1, [], pools), b'')
        for engine in self.engines:
            if engine.is_up:
                node.fleet.put(_list(engine))
        node.note_listed()
        return node

    def start_engine(self):
        """Start an engine, of which all instances are told."""
        number = len(self.engines)
        engine = StandinEngine(
            self.loop,
            f'i-{number}',
            self._by_address,
            _MEMORY,
        )
        engine.ends_on.add(_ENDS)
        self.engines.append(engine)
        for node in self.nodes:
            node.fleet.put(_list(engine))

    def wait(self, delay_ms):
        """Let the loop run for a while."""
        over = []
        self.loop.timers.after(delay_ms, lambda: over.append(True))
        self.loop.run_until(lambda: bool(over), _TICK_S)

    def submit(self, node, body, **fields):
        """Return the sink of a request, and a function that waits for its end."""
        now_ms = node.now_ms()
        headers = [
            ('X-Crankchute-Request-Id', f'r-{now_ms}'),
            ('X-Crankchute-Token-Usage', '2000,100'),
        ]
        job = make_job(
            request_id=headers[0][1],
            fingerprint=make_fingerprint(body),
            size=PromptSize(2000, 100),
            arrived_ms=now_ms,
            deadline_ms=now_ms + _DEADLINE_MS,
            payload=RequestPayload('POST', '/p/', headers, body),
            **{'repeat': Repeat.RESUME, 'is_stream': True, **fields},
        )
        sink = FakeSink()
        flow = node.desk.submit(job, sink)

        def finish():
            self.loop.run_until(lambda: flow.ended, _TICK_S)
            return sink.seen[-1]

        return sink, finish

    def ask(self, node, body, **fields):
        """Return the end of a request, as its caller sees it."""
        _sink, finish = self.submit(node, body, **fields)
        return finish()

    def end_three(self, **fields):
        """Submit the request until three engines have ended; tell others."""
        turn = 0
        while self.ended < 3:
            self.ask(self.nodes[turn % 2], _ENDS, **fields)
            turn += 1
        self.wait(_CONTACT_MS)

    def _know_each_other(self):
        count = len(self.nodes)
        return all(len(one.peers.membership) == count for one in self.nodes)


def _list(engine):
    return Listed(
        {
            'id': engine.identity,
            'kind': 'backend',
            'address': engine.address,
            'data_centre': 'here',
            'labels': {'pool': POOL},
            'born': engine.born,
        }
    )


@pytest.mark.parametrize(
    'fields',
    [
        {'repeat': Repeat.RESUME},
        {'repeat': Repeat.AGAIN, 'is_stream': False},
        {'repeat': Repeat.ONCE},
    ],
)
def test_request_that_ended_three_servers_is_held_everywhere(fields):
    """Also at an instance that has just started, and at the one asked least."""
    world = World()
    world.end_three(**fields)
    before = world.ended
    late = world.start_instance()
    world.wait(_CONTACT_MS)
    for node in (*world.nodes, late):
        for _ in range(2):
            world.ask(node, _ENDS, **fields)
    assert world.ended - before <= _MOST_AFTER
    assert world.ask(world.nodes[2], _ENDS, **fields) == (
        'refused',
        Outcome.NOT_RUN,
    )
    assert world.ask(world.nodes[2], _SOUND) == ('end', None)
