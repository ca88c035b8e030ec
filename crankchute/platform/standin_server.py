"""A simulated backend server that fails in the ways the platform states.

It rejects requests when it is full, sends an answer once more when the next
one is due, answers before it has read a request, falls silent, closes idle
connections, leaves and crashes.  It records which requests it ran.
"""

import asyncio
import random
import time

from crankchute.platform.standin_early import EARLY_ANSWER, answer_early
from crankchute.platform.standin_exchange import Exchange
from crankchute.platform.standin_http import read_body, read_head

_STEP_S = 0.02
_IDLE_COPY_S = 0.05
#: How many answers are sent once more to one that is sent while its connection
#: is idle, instead of with the next answer.
_COPIES_PER_IDLE = 4


class SimulatedServer:
    """One incarnation of a server.

    Attributes:
      identity: Its id.
      fields: What it was created with.
      random: Its random.Random.
      is_leaving: Whether its answers close their connections, a bool.
      has_crashed: Whether it crashed, a bool.
      running, waiting: How many requests run and wait.
      runs: How many requests it ran.
    """

    def __init__(self, fields, record):
        """Create the server; listen() starts it.

        Args:
          fields: A map: its `id`, `host`, `port`, `slots`, and a `seed`;
            `queue`, how many requests may wait; `idle_s`, for how long it keeps
            idle connections; `late_share`, the share of answers sent twice.
          record: A function that stores an event and its details.
        """
        self.identity = fields['id']
        self.fields = fields
        self.record = record
        self.random = random.Random(fields['seed'])
        self.is_leaving = False
        self.has_crashed = False
        self.running = 0
        self.waiting = 0
        self.runs = 0
        self._writers = set()
        self._silent_until = 0
        self._full_until = 0
        self._listener = None

    @property
    def is_full(self):
        """Whether it rejects requests now."""
        if time.monotonic() < self._full_until:
            return True
        return not self.has_slot and self.waiting >= self.fields['queue']

    @property
    def has_slot(self):
        """Whether a request may run now."""
        return self.running < self.fields['slots']

    async def listen(self):
        """Accept connections."""
        host, port = self.fields['host'], self.fields['port']
        self._listener = await asyncio.start_server(self._serve, host, port)

    async def wait_awake(self):
        """Wait until it isn't silent."""
        while time.monotonic() < self._silent_until:
            await asyncio.sleep(_STEP_S)

    def fall_silent(self, seconds):
        """Neither read nor write for some seconds."""
        until = time.monotonic() + seconds
        self._silent_until = max(self._silent_until, until)

    def fill(self, seconds):
        """Reject all requests for some seconds."""
        self._full_until = time.monotonic() + seconds

    def leave(self):
        """Close each connection with the next answer."""
        self.is_leaving = True

    def crash(self):
        """Stop listening and reset all connections."""
        self.has_crashed = True
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_all(reader, writer)
        except (ConnectionError, ValueError, asyncio.TimeoutError) as exc:
            reason = type(exc).__name__
            self.record('closed', server=self.identity, why=reason)
        self._writers.discard(writer)
        writer.close()

    async def _serve_all(self, reader, writer):
        is_kept, copy = True, None
        while is_kept and not self.has_crashed:
            await self.wait_awake()
            reading = _read_request(reader)
            request = await asyncio.wait_for(reading, self.fields['idle_s'])
            if request is None:
                return
            if EARLY_ANSWER in request.headers:
                await answer_early(self, (reader, writer), request)
                return
            exchange = Exchange(self, (reader, writer), request)
            copy = await exchange.process(copy)
            is_kept = exchange.is_kept
            if copy is not None and not self.random.randrange(_COPIES_PER_IDLE):
                await asyncio.sleep(_IDLE_COPY_S)
                copy = exchange.write_copy(copy)


async def _read_request(reader):
    """Read a request; only the head of one that is answered early."""
    request = await read_head(reader)
    if request is not None and EARLY_ANSWER not in request.headers:
        await read_body(reader, request)
    return request
