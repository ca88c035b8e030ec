"""Runs instances of the platform and their simulated peers on loopback."""

import asyncio
import os
import signal
import subprocess  # noqa: S404
import sys
import time
from http import HTTPStatus
from pathlib import Path

import orjson

from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import READY_PATH

ROOT = Path(__file__).resolve().parent.parent.parent
GRACE_S = 8
_PORTS = {  # noqa: WPS407  (a table)
    'frontend': 21_001,
    'readiness': 21_002,
    'control': 21_003,
    'directory': 21_004,
}
_PEER_PORTS = (21_040, 21_055)
_METRICS_PORT = 21_005
_STORE_PORT = 21_010
_FIRST_SERVER_PORT = 21_100
_ZONES = ('z0', 'z1', 'z2')
_SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge", "directory", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r0"
internal-port-range = [{first}, {last}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = 1000
[zones]
z0 = "r0"
z1 = "r0"
z2 = "r0"
[listen]
{listen}
[limits]
cpu-share = 0.5
cpu-cores = 2
memory-mb = 300
max-fds = 4200
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = {grace_s}
loss-slack-ms = 200
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 100
recovery-s = 12
pass_ms = 120
stall_ms = 1500
max-hold-ms = 20000
free-ms = 4000
idle_max_ms = 9000
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history-s = 20
"""


class PeerHost:
    """A process of simulated servers or the store."""

    def __init__(self, name, out_dir):
        """Start the process.

        Args:
          name: The name of its files.
          out_dir: The directory of its record and log, a Path.
        """
        self.record_path = out_dir / f'{name}.jsonl'
        module = 'crankchute.platform.standin_host'
        with (out_dir / f'{name}.log').open('ab') as log:
            self.popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', module, str(self.record_path)],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def tell(self, command, **fields):
        """Send a command.

        Args:
          command: Its name.
          fields: Its arguments.
        """
        line = orjson.dumps({'do': command, **fields}) + b'\n'
        self.popen.stdin.write(line)
        self.popen.stdin.flush()


class Instance:
    """An instance under test; restarted with the same settings.

    Attributes:
      name: Its id.
      ip: Its IP address.
      stopped_at: When it was last told to stop, or None while it serves.
    """

    def __init__(self, name, ip, out_dir, code):
        """Create the instance; start() starts its process.

        Args:
          name: Its id.
          ip: Its IP address.
          out_dir: The directory of its settings and log, a Path.
          code: The directory of the code to run.
        """
        self.name = name
        self.ip = ip
        self.stopped_at = None
        self.settings_path = out_dir / f'{name}.toml'
        self._log_path = out_dir / f'{name}.log'
        self._code = code
        self.popen = None

    def start(self):
        """Start its process."""
        environ = {**os.environ, 'CRANKCHUTE_CONFIG': str(self.settings_path)}
        command = [
            sys.executable,
            '-m',
            'crankchute.platform',
            f'--metrics-port={_METRICS_PORT}',
        ]
        with self._log_path.open('ab') as log:
            self.popen = subprocess.Popen(  # noqa: S603
                command, stdout=log, stderr=log, cwd=self._code, env=environ
            )
        self.stopped_at = None

    @property
    def is_running(self):
        """Whether its process runs."""
        return self.popen.poll() is None

    def is_ready(self):
        """Return whether it says that it is ready, a coroutine."""
        return _fetch_ready(self.address('readiness'))

    def send(self, signo):
        """Send a signal if the process runs."""
        if self.is_running:
            os.kill(self.popen.pid, signo)

    def address(self, purpose):
        """Return the IP and port for a purpose in the settings' `listen`."""
        return self.ip, _PORTS[purpose]


class Fleet:
    """Instances, servers and the store of a run.

    Attributes:
      instances: A list of Instance.
      store: The PeerHost of the store.
      hosts: The PeerHosts of servers.
      servers: A map from the id of a server to its entry in the store.
      host_of: A map from the id of a server to its PeerHost.
      sends_late_answers: Whether some servers send answers twice, a bool.
    """

    def __init__(self, out_dir, code, sizes, random):
        """Start all processes.

        Args:
          out_dir: The directory of logs and records, a Path.
          code: The directory of the code to run.
          sizes: A pair: how many instances, how many servers in each pool.
          random: The random.Random of the run.
        """
        pid = os.getpid()
        self._network = f'127.{pid % 200 + 20}.{pid // 200 % 250}.'
        self._random = random
        self._started = 0
        self.sends_late_answers = True
        self._out_dir = out_dir
        self.servers = {}
        self.host_of = {}
        self.store = PeerHost('store', out_dir)
        self._store_ip = self._ip(2)
        self.store.tell('store', host=self._store_ip, port=_STORE_PORT)
        self.hosts = [PeerHost(f'servers-{num}', out_dir) for num in range(3)]
        count, self._pool_size = sizes
        self.instances = [
            Instance(f'i{num}', self._ip(10 + num), out_dir, code)
            for num in range(count)
        ]

    def start(self, config):
        """Publish the configuration and start servers and instances."""
        self.publish(config)
        for _ in range(self._pool_size):
            for pool in ('plain', 'spare', 'engines'):
                self.start_server(pool)
        for instance in self.instances:
            self.write_settings(instance)
            instance.start()

    def _ip(self, number):
        return f'{self._network}{number}'

    def write_settings(self, instance):
        """Write the settings file of an instance."""
        seeds = [
            f'"{other.ip}:{_PORTS["control"]}"' for other in self.instances[:3]
        ]
        listen = [
            f'{purpose} = "{instance.ip}:{port}"'
            for purpose, port in _PORTS.items()
        ]
        number = self.instances.index(instance)
        text = _SETTINGS.format(
            name=instance.name,
            ip=instance.ip,
            zone=_ZONES[number % len(_ZONES)],
            first=_PEER_PORTS[0],
            last=_PEER_PORTS[1],
            seeds=', '.join(seeds),
            listen='\n'.join(listen),
            grace_s=GRACE_S,
            store=f'{self._store_ip}:{_STORE_PORT}',
        )
        instance.settings_path.write_text(text)

    def publish(self, config):
        """Write the configuration to the store."""
        self.store.tell('put', key='op/config', document=config)

    def start_server(self, pool):
        """Start a server of a pool and list it."""
        number = self._started
        self._started += 1
        identity = f's-{self._random.randrange(1 << 32):08x}'
        host = self.hosts[number % len(self.hosts)]
        port = _FIRST_SERVER_PORT + number
        late_share = self._random.choice((0, 0.05, 0.3))
        slots = 12 if pool == 'engines' else self._random.choice((4, 6, 8))
        host.tell(
            'serve',
            id=identity,
            host=self._ip(3),
            port=port,
            seed=self._random.randrange(1 << 32),
            slots=slots,
            queue=3,
            idle_s=self._random.choice((2, 4, 8)),
            late_share=late_share if self.sends_late_answers else 0,
        )
        self.host_of[identity] = host
        self.servers[identity] = {
            'service': pool,
            'address': f'{self._ip(3)}:{port}',
            'zone': _ZONES[number % len(_ZONES)],
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': 0,
        }
        self.list_server(identity)

    def list_server(self, identity):
        """Write the entry of a server, or remove that of one that is gone."""
        self.store.tell(
            'put',
            key=f'servers/{identity}',
            document=self.servers.get(identity),
        )

    def stop(self):
        """Kill all processes."""
        peers = [self.store, *self.hosts, *self.instances]
        for process in peers:
            if process.popen is not None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()

    def read_records(self):
        """Return the events that the servers recorded, in order of time."""
        events = []
        for host in self.hosts:
            if host.record_path.exists():
                lines = host.record_path.read_bytes().splitlines()
                events.extend(orjson.loads(line) for line in lines)
        return sorted(events, key=lambda event: event['t'])


async def _fetch_ready(address):
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        line = f'GET {READY_PATH} HTTP/1.1'
        writer.write(format_message(line, [('host', address[0])], b''))
        message = await asyncio.wait_for(read_message(reader), 1)
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()
    return message is not None and message.status == HTTPStatus.OK


def now_s():
    """Return the time that all records share, in seconds."""
    return time.time()
