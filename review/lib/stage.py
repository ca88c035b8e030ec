"""Runs instances of the system as separate processes on loopback addresses.

The store, the replicas and the clients are stand-ins in this process.  They
need the standard library only.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'review.example'
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
_READY_S = 20
#: A script may run for 120 seconds.
_LONGEST_S = 110

_SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge", "directory", "control_plane"]
ip = "{ip}"
zone = "z0"
region = "r0"
internal-port-range = [{first_port}, {last_port}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]
[zones]
z0 = "r0"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
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
"""

LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
}


class Record:
    """Writes what was sent, answered and run, a JSON object a line."""

    def __init__(self, path):
        """Create or empty the file."""
        self._file = open(path, 'w')
        self._start = time.monotonic()

    def note(self, event, **details):
        """Write one line.

        Args:
          event: A short name.
          details: JSON values.
        """
        line = {'t': round(time.monotonic() - self._start, 3), 'event': event}
        self._file.write(json.dumps({**line, **details}) + '\n')
        self._file.flush()


class Store:
    """The platform's store: a map of keys with one counter of revisions."""

    def __init__(self, record):
        """Create an empty store."""
        self._record = record
        self._items = {}
        self._gone = {}
        self._revision = 100
        self._changed = asyncio.Event()
        self._watching = set()
        self._server = None
        self.address = None
        self.acknowledged = {}

    async def start(self, host):
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, key, document):
        """Write a key; None removes it.  The write is acknowledged at once."""
        self._revision += 1
        if document is None:
            self._items.pop(key, None)
            self._gone[key] = self._revision
        else:
            payload = json.dumps(document).encode()
            self._items[key] = (self._revision, payload)
            self._gone.pop(key, None)
        self._record.note('store_wrote', key=key, revision=self._revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def cut_watches(self):
        """Close the connection of each watch that is waiting."""
        self._record.note('store_cut_watches', watches=len(self._watching))
        for writer in self._watching:
            writer.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                self._watching.add(writer)
                try:
                    status, document = await self._answer(target)
                finally:
                    self._watching.discard(writer)
                body = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(body)) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The loop ends while a watch is waiting.
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        if parts.path == '/api/kv-key':
            key = query['tls-key']
            if key not in self._items:
                return 404, {}
            return 200, {**self._item(key), 'at': self._revision}
        prefix = query['path-prefix']
        if parts.path == '/api/kv-range':
            items = [
                self._item(key)
                for key in sorted(self._items)
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            return 200, {'items': items, 'more': False, 'at': self._revision}
        return 200, await self._watch(prefix, query)

    async def _watch(self, prefix, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            events = self._events(prefix, after)
            left = until - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'at': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _events(self, prefix, after):
        events = [
            self._item(key)
            for key, (revision, _payload) in self._items.items()
            if key.startswith(prefix) and revision > after
        ]
        events.extend(
            {'tls-key': key, 'revision': revision, 'gone': True}
            for key, revision in self._gone.items()
            if key.startswith(prefix) and revision > after
        )
        return sorted(events, key=lambda event: event['revision'])

    def _item(self, key):
        revision, payload = self._items[key]
        return {
            'tls-key': key,
            'value': base64.b64encode(payload).decode(),
            'revision': revision,
            'made': revision,
            'lease': 0,
        }


class Instance:
    """One instance of the system, started with the command of the deploy file."""

    def __init__(self, stage, number):
        """Choose addresses and ports; start() runs the process."""
        self._stage = stage
        self.name = f'edge-{number}'
        self.ip = f'{stage.network}.{10 + number}'
        self.popen = None
        self._path = stage.folder / f'{self.name}.toml'
        self.log_path = stage.folder / f'{self.name}.log'

    def write_settings(self, seeds, store):
        """Write the settings file."""
        ports = self._stage.ports
        self._path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                seeds=json.dumps(seeds),
                store=store,
                first_port=ports['peers'],
                last_port=ports['peers'] + 15,
                **{
                    key: ports[key]
                    for key in ('frontend', 'readiness', 'control', 'directory')
                },
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['entry']['run'])
        # The port of the metrics must be free on this machine.
        words[words.index('--metrics-port') + 1] = str(
            self._stage.ports['metrics']
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CRANKCHUTE_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        self.popen = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdout=open(self.log_path, 'ab'),
            stderr=subprocess.STDOUT,
        )
        self._stage.record.note('started', instance=self.name)

    def send(self, signo):
        """Send a signal to the process."""
        self._stage.record.note(
            'signal', instance=self.name, signal=signal.Signals(signo).name
        )
        self.popen.send_signal(signo)

    async def wait_ready(self):
        """Wait until the readiness check is answered with 200."""
        until = time.monotonic() + _READY_S
        while time.monotonic() < until:
            if self.popen.poll() is not None:
                break
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} did not become ready')

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self._stage.ports['readiness']
            )
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Stage:
    """Everything that a case runs; a context manager that ends all processes."""

    def __init__(self, folder):
        """Choose a loopback network and free ports.

        Args:
          folder: The folder of the case, which gets record.txt.
        """
        self.record = Record(Path(folder) / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.network = f'127.{random.randint(60, 250)}.{random.randint(1, 250)}'
        self.ports = self._choose_ports()
        self.store = Store(self.record)
        self.instances = []
        self.processes = []
        self.has_trouble = os.environ.get('TROUBLE') != '0'

    def __enter__(self):
        """Return the stage."""
        return self

    def __exit__(self, *_exc):
        """End all processes that this stage started."""
        started = [one.popen for one in self.instances if one.popen]
        for popen in (*started, *self.processes):
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
            popen.wait()
        if os.environ.get('KEEP') == '1':
            print('logs:', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self, count, config, servers):
        """Start the store and instances, and wait until they are ready.

        Args:
          count: The number of instances.
          config: The configuration document.
          servers: A map from id to entry.
        """
        await self.store.start(f'{self.network}.2')
        self.store.put('op/config', config)
        for identity, entry in servers.items():
            self.store.put(f'servers/{identity}', entry)
        self.instances = [Instance(self, number) for number in range(count)]
        control = self.ports['control']
        seeds = [f'{one.ip}:{control}' for one in self.instances[:3]]
        for instance in self.instances:
            instance.write_settings(seeds, self.store.address)
            instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    def _choose_ports(self):
        names = ('frontend', 'readiness', 'control', 'directory', 'metrics')
        ports = {}
        for name in names:
            with socket.socket() as sock:
                sock.bind((f'{self.network}.9', 0))
                ports[name] = sock.getsockname()[1]
        ports['peers'] = random.randint(20_000, 30_000)
        return ports


def make_entry(service, address, state='ready', slots=8):
    """Return the entry of a replica in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'z0',
        'version': 'v1',
        'slots': slots,
        'state': state,
        'cold-remaining-ms': 0,
        'stage': 'both',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        'sequence': 1,
    }


def make_route(prefix, service, kind, **fields):
    """Return a route of a configuration."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 10_000,
        'target-latency-ms': 1000,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'allow-anonymous': False,
        'session-affinity': False,
        **fields,
    }


def make_service(name):
    """Return a plain service of a configuration."""
    return {
        'name': name,
        'health-path': '/healthz',
        'max-connections': 96,
        'protocol': 'h1',
        'tls': False,
    }


_ids = itertools.count(1)


def make_request_id():
    """Return a request id that no other request of this run has."""
    return f'{random.getrandbits(40):010x}{next(_ids):06x}'


def reset(sock):
    """Close a connection so that its peer gets a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


class Answer:
    """What a client saw of an answer.

    Attributes:
      status: The status, or None without a complete head.
      headers: A map of lower-case names.
      body: Bytes.
      complete: Whether the answer ended as its framing says.
    """

    def __init__(self):
        """Create an answer of which nothing has arrived."""
        self.status = None
        self.headers = {}
        self.body = b''
        self.complete = False


async def ask(
    address,
    method,
    path,
    *,
    key=None,
    body=b'',
    headers=(),
    timeout=15,
    request_id=None,
    deadline_ms=10_000,
):
    """Send one request on a new connection, and return the Answer."""
    request_id = request_id or make_request_id()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Crankchute-Request-Id: {request_id}',
        f'X-Crankchute-Deadline-Ms: {deadline_ms}',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    if key is not None:
        lines.append(f'Authorization: Bearer {key}')
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write('\r\n'.join([*lines, '\r\n']).encode() + body)
        await asyncio.wait_for(read_answer(reader, answer), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    """Read an answer into an Answer.

    Args:
      reader: A StreamReader.
      answer: The Answer, which shows what has arrived if this is cut off.
    """
    lines = (
        (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    )
    answer.status = int(lines[0].split(' ')[1])
    for line in lines[1:]:
        name, _colon, text = line.partition(':')
        if name:
            answer.headers[name.lower()] = text.strip()
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int(await reader.readline(), 16)
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:-2]
            if size == 0:
                answer.complete = True
                return
    size = int(answer.headers['content-length'])
    while len(answer.body) < size:
        chunk = await reader.read(65_536)
        if not chunk:
            return
        answer.body += chunk
    answer.complete = True


def read_memory(pid, field='VmHWM'):
    """Return a figure of a process's memory in kB, or None if it has ended.

    Args:
      pid: The id of a process that this stage started.
      field: The name of the figure: VmHWM (the highest), VmRSS or RssAnon.
    """
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return None
    for line in lines:
        if line.startswith(f'{field}:'):
            return int(line.split()[1])
    return None


def _end_late(_signo, _frame):
    raise RuntimeError('the case takes too long')


def exit_with(main):
    """End the program with the exit code of a case.

    Args:
      main: A function that returns the exit code.
    """
    signal.signal(signal.SIGALRM, _end_late)
    signal.alarm(_LONGEST_S)
    try:
        code = main()
    except (OSError, RuntimeError) as exc:
        print(f'{type(exc).__name__}: {exc}')
        code = NOT_RUN
    raise SystemExit(code)
