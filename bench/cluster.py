"""Runs the system and its stand-ins as processes on loopback.

The system itself starts no processes; this is for the demonstration, the
measurements and the tests of failures.  Only processes started here are ever
signalled, by their ids.
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
_CENTRES = ('dc-1', 'dc-2', 'dc-3')
#: How many engines an entry instance asks for their load.
_ENGINES_ASKED = 24


def fetch(port, method, path, document=None, timeout_s=10):
    """Make one request to a process on loopback.

    Args:
      port: The port.
      method: The HTTP method.
      path: The path.
      document: Bytes, or a JSON document, or None.
      timeout_s: Seconds to wait.
    Returns:
      A pair of the status and the JSON document of the answer.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = orjson.dumps(document)
    with closing(HTTPConnection(LOOPBACK, port, timeout=timeout_s)) as conn:
        conn.request(method, path, body=body)
        res = conn.getresponse()
        return res.status, orjson.loads(res.read())


def wait_for(question, timeout_s=30, pause_s=0.05):
    """Ask a question until its answer is true.

    Args:
      question: A function without arguments; an OSError counts as no.
      timeout_s: Seconds after which to give up.
      pause_s: Seconds between two questions.
    Returns:
      The answer.
    Raises:
      TimeoutError: If it stays untrue.
    """
    give_up = time.monotonic() + timeout_s
    while time.monotonic() < give_up:
        try:
            answer = question()
        except (OSError, HTTPException):
            answer = None
        if answer:
            return answer
        time.sleep(pause_s)
    raise TimeoutError(f'{question} stayed untrue')


class Proc:
    """A process started here."""

    def __init__(self, name, port, arguments, log_dir):
        """Start `crankchute` with arguments.

        Args:
          name: A name for people.
          port: The port of its HTTP interface.
          arguments: The words after `crankchute`.
          log_dir: Where its output goes.
        """
        self.name = name
        self.port = port
        self._arguments = arguments
        self._log = Path(log_dir) / f'{name}.log'
        self.start()

    @property
    def pid(self):
        """The process's id."""
        return self._popen.pid

    @property
    def exit_code(self):
        """The exit code, or None while it runs."""
        return self._popen.poll()

    def start(self):
        """Start the process, also again after its end."""
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
        """Send the process a signal if it still runs."""
        if self.exit_code is None:
            os.kill(self.pid, signo)

    def kill(self):
        """End the process at once and wait."""
        self.send(signal.SIGKILL)
        self._popen.wait()

    def wait(self, timeout_s):
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout_s)

    def fetch(self, method, path, document=None):
        """Make one request to the process; see fetch."""
        return fetch(self.port, method, path, document)


class Shape:
    """How many processes of each kind there are, and their options."""

    def __init__(self, **fields):
        """Create a shape.

        Args:
          fields: Attributes that differ from their defaults.
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
    """The processes of one run.

    Attributes:
      platform, entries, engines, services: The Procs.
    """

    def __init__(self, shape, log_dir):
        """Start everything and wait until it serves.

        Args:
          shape: A Shape.
          log_dir: A folder for the processes' output.
        """
        self.shape = shape
        self._log_dir = log_dir
        self.entries = []
        self.engines = []
        self.services = []
        count = 1 + 2 * shape.entries + shape.engines + shape.services
        self._ports = pick_ports(count)
        self._start_platform()
        self._start_backends()
        self.publish_folder(shape.config)
        self._start_entries()

    def __enter__(self):
        """Return the cluster, serving."""
        try:
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc):
        """End every process that was started."""
        self.stop()

    def stop(self):
        """End every process that was started."""
        backends = self.engines + self.services
        for proc in (*self.entries, *backends, self.platform):
            proc.kill()

    @property
    def seeds(self):
        """The HTTP addresses of the entry instances, a list of pairs."""
        return [(LOOPBACK, proc.port) for proc in self.entries]

    def publish_folder(self, folder):
        """Publish the documents of a folder, as an operator does."""
        for key, document in read_folder(str(folder)).items():
            self.publish(key, document)

    def publish(self, key, document):
        """Publish one document and return its revision."""
        path = f'/admin/config/{key}'
        return self.platform.fetch('PUT', path, document)[1]['revision']

    def list_instance(self, record):
        """Put one record into the instance list."""
        document = {'instances': [record]}
        self.platform.fetch('PUT', '/admin/instances', document)

    def engine_record(self, index, state='live'):
        """Return the listed record of an engine."""
        return self._backend_record(
            'engine',
            self.engines[index],
            index,
            state,
            self.shape.engine_labels,
        )

    def state(self, entry):
        """Return the dump of an entry instance."""
        return entry.fetch('GET', '/v1/state')[1]

    def wait_ready(self):
        """Wait until every entry instance serves and knows every backend."""
        for entry in self.entries:
            wait_for(partial(self._is_ready, entry))

    def _is_ready(self, entry):
        for proc in (entry, *self.engines, *self.services):
            if proc.exit_code is not None:
                raise RuntimeError(f'{proc.name} ended')
        state = self.state(entry)
        members = [
            one
            for one in state['members']
            if one['status'] == 'alive' and not one['draining']
        ]
        loaded = [
            one
            for one in state['backends']
            if one['models'] or one['kind'] == 'service'
        ]
        asked = min(self.shape.engines, _ENGINES_ASKED)
        backends = asked + self.shape.services
        has_all = len(members) >= self.shape.entries
        return has_all and len(loaded) >= backends

    def _start_platform(self):
        port = self._ports.pop()
        self.platform = Proc(
            'platform',
            port,
            ['standin', 'platform', _flag('bind', port)],
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
            _flag('bind', port),
            _flag('weights', self.platform.port),
            '--models=small',
            *self.shape.engine_flags,
        ]
        engine = Proc(f'engine-{index}', port, arguments, self._log_dir)
        self.engines.append(engine)
        self.list_instance(self.engine_record(index))

    def _start_service(self, index):
        port = self._ports.pop()
        arguments = ['standin', 'service', _flag('bind', port)]
        service = Proc(f'service-{index}', port, arguments, self._log_dir)
        self.services.append(service)
        labels = self.shape.service_labels
        record = self._backend_record('service', service, index, 'live', labels)
        self.list_instance(record)

    def _start_entries(self):
        for index in range(self.shape.entries):
            http_port, peer_port = self._ports.pop(), self._ports.pop()
            centre = _CENTRES[index % len(_CENTRES)]
            arguments = [
                'entry',
                f'--instance=entry-{index}',
                f'--data-centre={centre}',
                _flag('http', http_port),
                _flag('peer', peer_port),
                _flag('platform', self.platform.port),
                *self.shape.entry_flags,
            ]
            entry = Proc(f'entry-{index}', http_port, arguments, self._log_dir)
            self.entries.append(entry)
            self.list_instance(
                {
                    'id': f'entry-{index}',
                    'kind': 'entry',
                    'address': _at(http_port),
                    'data_centre': centre,
                    'labels': {'peer': _at(peer_port)},
                    'state': 'live',
                }
            )

    def _backend_record(self, kind, proc, index, state, labels):
        return {
            'id': f'{kind}-{index}',
            'kind': kind,
            'address': _at(proc.port),
            'data_centre': _CENTRES[index % len(_CENTRES)],
            'labels': labels,
            'state': state,
        }


def _at(port):
    return f'{LOOPBACK}:{port}'


def _flag(name, port):
    return f'--{name}={_at(port)}'
