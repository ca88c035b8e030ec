"""Runs Crankchute and its stand-ins as local processes on loopback.

Used by the demonstration, the benchmarks and the fault-injection tests.  Only
processes started here are signalled, by process id.
"""

import os
import signal
import subprocess  # noqa: S404
import sys
import time
from contextlib import closing
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import orjson

from crankchute.commands.check import read_folder
from crankchute.standins.ports import LOOPBACK, pick_ports

ROOT = Path(__file__).resolve().parent.parent
_DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')
#: The most engines whose load an entry instance polls.
_MAX_POLLED_ENGINES = 24


def fetch(port, method, path, document=None, timeout_s=10):
    """Send an HTTP request to a process on loopback.

    Args:
      port: The port.
      method: The HTTP method.
      path: The path.
      document: The body: bytes, a value to encode as JSON, or None.
      timeout_s: The socket timeout in seconds.
    Returns:
      A tuple of the status code and the decoded JSON body.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = orjson.dumps(document)
    with closing(HTTPConnection(LOOPBACK, port, timeout=timeout_s)) as conn:
        conn.request(method, path, body=body)
        res = conn.getresponse()
        return res.status, orjson.loads(res.read())


def wait_for(condition, timeout_s=30, pause_s=0.05):
    """Poll a condition until it is true.

    Args:
      condition: A function without arguments; connection and HTTP errors count
        as false.
      timeout_s: The timeout in seconds.
      pause_s: The polling interval in seconds.
    Returns:
      The true value that the condition returned.
    Raises:
      TimeoutError: If the condition is still false after the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            answer = condition()
        except (OSError, HTTPException):
            answer = None
        if answer:
            return answer
        time.sleep(pause_s)
    raise TimeoutError(f'{condition} was still false after the timeout')


class ServerProcess:
    """A `crankchute` process.

    Attributes:
      name: The name used in messages and for the log file.
      port: The port of its HTTP interface.
    """

    def __init__(self, name, port, arguments, log_dir):
        """Start the process.

        Args:
          name: The name used in messages and for the log file.
          port: The port of its HTTP interface.
          arguments: The command-line arguments of `crankchute`.
          log_dir: The directory of the log file.
        """
        self.name = name
        self.port = port
        self._arguments = arguments
        self._log = Path(log_dir) / f'{name}.log'
        self.start()

    @property
    def pid(self):
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self):
        """The exit code, or None while it runs."""
        return self._popen.poll()

    def start(self):
        """Start the process, or restart it after it has exited."""
        command = [sys.executable, '-m', 'crankchute', *self._arguments]
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(  # noqa: S603
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
            )

    def send(self, signo):
        """Send a signal to the process if it is running."""
        if self.exit_code is None:
            os.kill(self.pid, signo)

    def kill(self):
        """Kill the process with SIGKILL and wait for its exit."""
        self.send(signal.SIGKILL)
        self._popen.wait()

    def wait(self, timeout_s):
        """Wait for the exit of the process and return its exit code."""
        return self._popen.wait(timeout_s)

    def fetch(self, method, path, document=None):
        """Send an HTTP request to the process; see fetch."""
        return fetch(self.port, method, path, document)


class Shape:
    """The number of processes of each kind, and their options.

    Attributes:
      entries, engines, services: The number of processes.
      config: The directory of the configuration to publish.
      engine_flags, entry_flags: Additional command-line options.
      engine_labels, service_labels: Labels in the instance list.
    """

    def __init__(self, **fields):
        """Create the description of a cluster.

        Args:
          fields: Values of attributes; the others get defaults.
        """
        self.entries = fields.get('entries', 6)
        self.engines = fields.get('engines', 6)
        self.services = fields.get('services', 1)
        self.config = fields.get('config', ROOT / 'examples' / 'ticketing')
        self.engine_flags = fields.get('engine_flags', [])
        self.entry_flags = fields.get('entry_flags', ['--address-ttl-ms=1000'])
        self.engine_labels = fields.get('engine_labels', {'tier': 'text'})
        self.service_labels = fields.get('service_labels', {'app': 'booking'})


class Cluster:
    """A running cluster; a context manager that stops it on exit.

    Attributes:
      shape: The Shape.
      platform: The ServerProcess of the platform stand-in.
      entries, engines, services: Lists of ServerProcesses.
    """

    def __init__(self, shape, log_dir):
        """Start the processes; entering the context waits until they are ready.

        Args:
          shape: A Shape.
          log_dir: The directory of the log files.
        """
        self.shape = shape
        self._log_dir = log_dir
        self.entries = []
        self.engines = []
        self.services = []
        port_count = 1 + 2 * shape.entries + shape.engines + shape.services
        self._ports = pick_ports(port_count)
        self._start_platform()
        self._start_backends()
        self.publish_directory(shape.config)
        self._start_entries()

    def __enter__(self):
        """Wait until the cluster is ready and return it."""
        try:
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc):
        """Kill all processes."""
        self.stop()

    def stop(self):
        """Kill all processes."""
        backends = self.engines + self.services
        for proc in (*self.entries, *backends, self.platform):
            proc.kill()

    @property
    def seeds(self):
        """The HTTP addresses of the entry instances, a list of (host, port)."""
        return [(LOOPBACK, proc.port) for proc in self.entries]

    def publish_directory(self, directory):
        """Publish all configuration documents of a directory."""
        for key, document in read_folder(str(directory)).items():
            self.publish(key, document)

    def publish(self, key, document):
        """Publish a configuration document and return its revision."""
        path = f'/admin/config/{key}'
        return self.platform.fetch('PUT', path, document)[1]['revision']

    def list_instance(self, record):
        """Add a record to the instance list of the platform, or replace it."""
        document = {'instances': [record]}
        self.platform.fetch('PUT', '/admin/instances', document)

    def engine_record(self, index, state='live'):
        """Return the record of an engine for the instance list."""
        return self._backend_record(
            'engine',
            self.engines[index],
            index,
            state,
            self.shape.engine_labels,
        )

    def state(self, entry):
        """Return the state dump of an entry instance."""
        return entry.fetch('GET', '/v1/state')[1]

    def wait_ready(self):
        """Wait until each entry instance knows all members and backends."""
        for entry in self.entries:
            wait_for(partial(self._is_ready, entry))

    def _is_ready(self, entry):
        for proc in (entry, *self.engines, *self.services):
            if proc.exit_code is not None:
                raise RuntimeError(f'{proc.name} exited')
        state = self.state(entry)
        alive_members = [
            record
            for record in state['members']
            if record['status'] == 'alive' and not record['draining']
        ]
        known_backends = [
            record
            for record in state['backends']
            if record['models'] or record['kind'] == 'service'
        ]
        polled = min(self.shape.engines, _MAX_POLLED_ENGINES)
        expected_backends = polled + self.shape.services
        has_all_members = len(alive_members) >= self.shape.entries
        return has_all_members and len(known_backends) >= expected_backends

    def _start_platform(self):
        port = self._ports.pop()
        self.platform = ServerProcess(
            'platform',
            port,
            ['standin', 'platform', _format_option('bind', port)],
            self._log_dir,
        )
        wait_for(lambda: self.platform.fetch('GET', '/admin/counts'))

    def _start_backends(self):
        for index in range(self.shape.engines):
            self._start_engine(index)
        for index in range(self.shape.services):
            self._start_service(index)

    def _start_engine(self, index):
        port = self._ports.pop()
        arguments = [
            'standin',
            'engine',
            _format_option('bind', port),
            _format_option('weights', self.platform.port),
            '--models=small',
            *self.shape.engine_flags,
        ]
        engine = ServerProcess(
            f'engine-{index}', port, arguments, self._log_dir
        )
        self.engines.append(engine)
        self.list_instance(self.engine_record(index))

    def _start_service(self, index):
        port = self._ports.pop()
        arguments = ['standin', 'service', _format_option('bind', port)]
        service = ServerProcess(
            f'service-{index}', port, arguments, self._log_dir
        )
        self.services.append(service)
        labels = self.shape.service_labels
        record = self._backend_record('service', service, index, 'live', labels)
        self.list_instance(record)

    def _start_entries(self):
        for index in range(self.shape.entries):
            http_port, peer_port = self._ports.pop(), self._ports.pop()
            data_centre = _DATA_CENTRES[index % len(_DATA_CENTRES)]
            arguments = [
                'entry',
                f'--instance=entry-{index}',
                f'--data-centre={data_centre}',
                _format_option('http', http_port),
                _format_option('peer', peer_port),
                _format_option('platform', self.platform.port),
                *self.shape.entry_flags,
            ]
            entry = ServerProcess(
                f'entry-{index}', http_port, arguments, self._log_dir
            )
            self.entries.append(entry)
            self.list_instance(
                {
                    'id': f'entry-{index}',
                    'kind': 'entry',
                    'address': _format_address(http_port),
                    'data_centre': data_centre,
                    'labels': {'peer': _format_address(peer_port)},
                    'state': 'live',
                }
            )

    def _backend_record(self, kind, proc, index, state, labels):
        return {
            'id': f'{kind}-{index}',
            'kind': kind,
            'address': _format_address(proc.port),
            'data_centre': _DATA_CENTRES[index % len(_DATA_CENTRES)],
            'labels': labels,
            'state': state,
        }


def _format_address(port):
    return f'{LOOPBACK}:{port}'


def _format_option(name, port):
    return f'--{name}={_format_address(port)}'
