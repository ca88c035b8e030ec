"""Processes of a soak: instances, and hosts of simulated peers."""

import asyncio
import os
import subprocess  # noqa: S404
import sys
from contextlib import closing, suppress
from http import HTTPStatus
from mmap import PAGESIZE
from pathlib import Path

import orjson

from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import READY_PATH

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = {  # noqa: WPS407  (a table)
    'frontend': 21_001,
    'readiness': 21_002,
    'control': 21_003,
    'directory': 21_004,
}
_METRICS_PORT = 21_005
_READY_TIMEOUT_S = 1
_BYTES_PER_KB = 1024


class PeerHost:
    """A process of simulated servers, or of the store.

    Attributes:
      popen: The Popen.
      record_path: The Path of its record.
    """

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
        self.popen.stdin.write(orjson.dumps({'do': command, **fields}))
        self.popen.stdin.write(b'\n')
        self.popen.stdin.flush()

    def read_record(self):
        """Return the events that it recorded, a list of maps."""
        if not self.record_path.exists():
            return []
        lines = self.record_path.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines]


class Instance:
    """An instance under test.

    Attributes:
      name: Its id.
      ip: Its IP address.
      settings_path: The Path of its settings file.
      popen: The Popen, or None before the first start.
      highest_kb: The highest memory that was seen, in kB.
      stopped_at: When it was last told to stop, or None after a start.
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
        self.highest_kb = 0
        self.ip = ip
        self.stopped_at = None
        self.settings_path = out_dir / f'{name}.toml'
        self.popen = None
        self._log_path = out_dir / f'{name}.log'
        self._code = code

    @property
    def is_running(self):
        """Whether its process runs."""
        return self.popen.poll() is None

    @property
    def is_serving(self):
        """Whether its process runs and was not told to stop."""
        return self.is_running and self.stopped_at is None

    def start(self):
        """Start its process, or start it again with the same settings."""
        command = [sys.executable, '-m', 'crankchute.platform']
        command.append(f'--metrics-port={_METRICS_PORT}')
        with self._log_path.open('ab') as log:
            self.popen = subprocess.Popen(  # noqa: S603
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self._code,
                env={
                    **os.environ,
                    'CRANKCHUTE_CONFIG': str(self.settings_path),
                },
            )
        self.stopped_at = None

    def record_memory(self):
        """Record the memory that its process has in use."""
        with suppress(OSError):
            pages = Path(f'/proc/{self.popen.pid}/statm').read_text().split()
            used_kb = int(pages[1]) * PAGESIZE // _BYTES_PER_KB
            self.highest_kb = max(self.highest_kb, used_kb)

    def send(self, signo):
        """Send a signal if its process runs."""
        if self.is_running:
            os.kill(self.popen.pid, signo)

    def address(self, purpose):
        """Return the IP and port for a purpose, one of PORTS."""
        return self.ip, PORTS[purpose]

    async def is_ready(self):
        """Return whether it answers that it is ready."""
        try:
            message = await asyncio.wait_for(
                self.fetch('readiness', READY_PATH), _READY_TIMEOUT_S
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and message.status == HTTPStatus.OK

    async def fetch(self, purpose, target):
        """Send a request without a body on a new connection.

        Args:
          purpose: One of PORTS.
          target: The path and query.
        Returns:
          The Message of the answer, or None if there was none.
        """
        reader, writer = await asyncio.open_connection(*self.address(purpose))
        with closing(writer):
            line = f'GET {target} HTTP/1.1'
            writer.write(format_message(line, [('host', self.ip)], b''))
            return await read_message(reader)
