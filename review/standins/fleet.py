"""Starts instances of the project with the command of its deploy file."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

import http11

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge","directory","control_plane"]
ip = "{host}"
zone = "{zone}"
region = "ncr"
internal-port-range = [{peer_port},{last_peer_port}]
seeds = [{seeds}]
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
cubao = "ncr"
pasay = "ncr"
sampaloc = "ncr"
[listen]
frontend = "{host}:{front}"
readiness = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-timeout-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
skew-bound-ms = 5000
strict-revocation = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 100
recovery-s = 12
pass_ms = 120
again_s = 0
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
value_bytes = 1048576
ttl_min_ms = 1000
"""
ZONES = ('cubao', 'pasay', 'sampaloc')


class Instance:
    """One process of the project.

    Attributes:
      name: Its name.
      host: Its loopback address.
      process: The running Popen.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.zone = ZONES[number % len(ZONES)]
        self.name = f'edge-{self.zone}-{number // len(ZONES) + 1}'
        self.host = f'{fleet.network}.{number + 11}'
        self.store = fleet.store_address
        self.process = None
        self._settings = fleet.folder / f'{self.name}.toml'
        self._log = fleet.folder / f'{self.name}.log'

    @property
    def front(self):
        """The address for requests."""
        return self.host, self.fleet.ports['front']

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the process."""
        fleet = self.fleet
        seeds = ','.join(
            f'"{one.host}:{fleet.ports["control"]}"' for one in fleet.seeds
        )
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                seeds=seeds,
                store='{0}:{1}'.format(*self.store),
                peer_port=fleet.ports['peers'],
                last_peer_port=fleet.ports['peers'] + 15,
                **{
                    key: fleet.ports[key]
                    for key in ('front', 'ready', 'control', 'directory')
                },
            )
        )
        environ = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'CRANKCHUTE_CONFIG': str(self._settings),
        }
        with open(self._log, 'ab') as log:
            self.process = subprocess.Popen(
                fleet.command,
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signo):
        """Send a signal to the process."""
        self.process.send_signal(signo)

    def log_lines(self, *kinds):
        """Return the lines of the log that hold one of some words."""
        text = self._log.read_text(errors='replace')
        return [
            line
            for line in text.splitlines()
            if any(kind in line for kind in kinds)
        ]

    async def is_ready(self):
        """Return whether the instance says that it is ready."""
        address = self.host, self.fleet.ports['ready']
        answer = await http11.call(
            address, 'GET', '/api/readyz', [('Host', self.host)], timeout_s=1
        )
        return answer.status == 200

    async def resolve(self, zone):
        """Return the addresses that the instance names to clients."""
        address = self.host, self.fleet.ports['directory']
        answer = await http11.call(
            address,
            'GET',
            f'/api/resolve?name=x.example&region=ncr&zone={zone}',
            [('Host', self.host)],
            timeout_s=1,
        )
        if answer.status != 200:
            return []
        return json.loads(answer.body)['addresses']

    async def request(self, method, target, headers, body=b'', timeout_s=10):
        """Send a request of a client to the instance."""
        return await http11.call(
            self.front, method, target, headers, body, timeout_s
        )


class Fleet:
    """Some instances on loopback addresses of their own."""

    def __init__(self, count, store_address):
        # The command serves metrics at a fixed port, so each process has an
        # address of its own.
        self.network = (
            f'127.{random.randrange(20, 220)}.{random.randrange(250)}'
        )
        self.store_address = store_address
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as deploy_file:
            role = tomllib.load(deploy_file)['roles']['entry']
        self.command = role['run'].split(' ')
        self.ports = self._find_ports(count)
        self.instances = [Instance(self, number) for number in range(count)]
        self.seeds = self.instances[:3]

    async def start(self, timeout_s=20):
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            instance.start()
        await self.wait_ready(self.instances, timeout_s)

    async def wait_ready(self, instances, timeout_s=20):
        """Wait until instances are ready."""
        until = time.time() + timeout_s
        for instance in instances:
            while not await instance.is_ready():
                if time.time() > until:
                    raise RuntimeError(f'{instance.name} is not ready')
                await asyncio.sleep(0.05)

    def stop(self):
        """End all processes that were started, and remove their files."""
        for instance in self.instances:
            if instance.is_running:
                instance.send_signal(signal.SIGCONT)
                instance.send_signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder)

    def _find_ports(self, count):
        """Return ports that are free at all addresses."""
        names = ('front', 'ready', 'control', 'directory')
        while True:
            base = random.randrange(20_000, 30_000)
            ports = {name: base + step for step, name in enumerate(names)}
            ports['peers'] = base + 10
            if all(
                self._is_free(number, port)
                for number in range(count)
                for port in (*ports.values(), base + 25)
            ):
                return ports

    def _is_free(self, number, port):
        with socket.socket() as probe:
            try:
                probe.bind((f'{self.network}.{number + 11}', port))
            except OSError:
                return False
        return True
