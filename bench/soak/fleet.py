"""Runs instances of the platform and their simulated peers on loopback."""

import asyncio
import os
import signal
import time
from functools import partial

from bench.soak.processes import PORTS, Instance, PeerHost
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

GRACE_S = 8
_PEER_PORTS = (21_040, 21_055)
_STORE_PORT = 21_010
_FIRST_SERVER_PORT = 21_100
_STORE_HOST = 2
_SERVERS_HOST = 3
_FIRST_INSTANCE_HOST = 10
_SERVER_PROCESSES = 3
_SEEDS = 3
_ZONES = ('z0', 'z1', 'z2')
_SEED_BITS = 32
_ENGINE_SLOTS = (12,)
_PLAIN_SLOTS = (4, 6, 8)
_QUEUE = 3
_MEMORY_MB = 300
_KB_PER_MB = 1024
_MEMORY_POLL_S = 0.05
_IDLE_S = (2, 4, 8)
_LATE_SHARES = (0, 0.05, 0.3)
_SETTINGS = """
node-name = "{name}"
zone = "{zone}"
internal-port-range = {peer_ports}
seeds = {seeds}
zones = {{ z0 = "r0", z1 = "r0", z2 = "r0" }}
[listen]
{listen}
[limits]
cpu-share = 0.5
cpu-cores = 2
memory-mb = {memory_mb}
[bounds]
grace-s = {grace_s}
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 100
[platform]
address = "{store}"
"""


class Fleet:
    """Instances, servers and the store; a context manager that stops them.

    Attributes:
      instances: A list of Instance.
      store: The PeerHost of the store.
      hosts: The PeerHosts of servers.
      servers: A map from the id of a server to its entry in the store, without
        those that left or crashed.
    """

    def __init__(self, out_dir, options, random):
        """Start the hosts of servers and the store.

        Args:
          out_dir: The directory of logs and records, a Path.
          options: An object with `code`, the directory of the code to run;
            `instances`, their number; `servers`, their number in each pool;
            `without`, with `late_answers` if no server sends answers twice.
          random: The random.Random of the run.
        """
        pid = os.getpid()
        # Runs at the same time use different networks.
        self._network = f'127.{20 + pid % 200}.{pid // 200 % 250}'
        self._random = random
        self._started = 0
        self._options = options
        self._host_of = {}
        self.servers = {}
        make_host = partial(PeerHost, out_dir=out_dir)
        self.store = make_host('store')
        self.hosts = [
            make_host(f'servers-{number}')
            for number in range(_SERVER_PROCESSES)
        ]
        self.instances = [
            Instance(
                f'i{number}',
                self._ip(_FIRST_INSTANCE_HOST + number),
                out_dir,
                options.code,
            )
            for number in range(options.instances)
        ]

    def __enter__(self):
        """Return the fleet."""
        return self

    def __exit__(self, *_exc):
        """Kill all processes."""
        for process in (self.store, *self.hosts, *self.instances):
            if process.popen is not None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()

    def start(self, config):
        """Publish a Config, and start servers and instances."""
        host = self._ip(_STORE_HOST)
        self.store.tell('store', host=host, port=_STORE_PORT)
        self.publish(config.document)
        for pool in config.document['services'] * self._options.servers:
            self._start_server(pool['name'])
        for instance in self.instances:
            self.write_settings(instance)
            instance.start()

    async def watch_memory(self):
        """Record the highest memory of each instance until cancelled."""
        while True:
            for instance in self.instances:
                instance.record_memory()
            await asyncio.sleep(_MEMORY_POLL_S)

    def list_over_memory(self):
        """Return a text for each instance that exceeded its memory."""
        return [
            f'MEMORY: {one.name} took {one.highest_kb} kB'
            for one in self.instances
            if one.highest_kb > _MEMORY_MB * _KB_PER_MB
        ]

    def list_pool(self, pool):
        """Return the ids of the servers of a pool."""
        return [
            identity
            for identity, entry in self.servers.items()
            if entry['service'] == pool
        ]

    def write_settings(self, instance):
        """Write the settings file of an instance."""
        seeds = [
            f'{seed.ip}:{PORTS["control"]}' for seed in self.instances[:_SEEDS]
        ]
        listen = [
            f'{purpose} = "{instance.ip}:{port}"'
            for purpose, port in PORTS.items()
        ]
        number = self.instances.index(instance)
        text = _SETTINGS.format(
            name=instance.name,
            zone=_ZONES[number % len(_ZONES)],
            peer_ports=list(_PEER_PORTS),
            seeds=seeds,
            listen='\n'.join(listen),
            grace_s=GRACE_S,
            memory_mb=_MEMORY_MB,
            store=f'{self._ip(_STORE_HOST)}:{_STORE_PORT}',
        )
        instance.settings_path.write_text(text)

    def publish(self, document):
        """Write a configuration to the store."""
        self.store.tell('put', key=CONFIG_KEY, document=document)

    def list_server(self, identity, entry):
        """Write the entry of a server; None removes it."""
        self.store.tell(
            'put', key=f'{SERVERS_PREFIX}{identity}', document=entry
        )

    def replace_server(self, identity):
        """Start another server of the pool of one that ends.

        Args:
          identity: The id of the server that ends.
        Returns:
          The entry of that server; it stays in the store.
        """
        entry = self.servers.pop(identity)
        self._start_server(entry['service'])
        return entry

    def tell_server(self, identity, method, **arguments):
        """Call a method of a SimulatedServer."""
        self._host_of[identity].tell(method, server=identity, **arguments)

    def read_records(self):
        """Return what the servers and the store recorded, in order of time."""
        hosts = (*self.hosts, self.store)
        events = [event for host in hosts for event in host.read_record()]
        return sorted(events, key=lambda event: event['t'])

    def _ip(self, number):
        return f'{self._network}.{number}'

    def _start_server(self, pool):
        number = self._started
        self._started += 1
        identity = f's-{self._random.getrandbits(_SEED_BITS):08x}'
        host = self.hosts[number % len(self.hosts)]
        ip, port = self._ip(_SERVERS_HOST), _FIRST_SERVER_PORT + number
        is_engine = pool == 'engines'
        slots = self._random.choice(
            _ENGINE_SLOTS if is_engine else _PLAIN_SLOTS
        )
        late_share = self._random.choice(_LATE_SHARES)
        if 'late_answers' in self._options.without:
            late_share = 0
        host.tell(
            'serve',
            id=identity,
            host=ip,
            port=port,
            seed=self._random.getrandbits(_SEED_BITS),
            slots=slots,
            queue=_QUEUE,
            idle_s=self._random.choice(_IDLE_S),
            late_share=late_share,
        )
        self._host_of[identity] = host
        self.servers[identity] = {
            'service': pool,
            'address': f'{ip}:{port}',
            'zone': _ZONES[number % len(_ZONES)],
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 0,
        }
        self.list_server(identity, self.servers[identity])


def now_s():
    """Return the time that all records share, in seconds."""
    return time.time()
