"""A simulated backend server that fails in the ways the platform states.

It rejects requests when it is full, sends an answer once more when the next
one is due, falls silent, closes idle connections, leaves and crashes.  It
records the requests that it runs.
"""

import asyncio
import random
import time

import orjson

from crankchute.platform.standin_http import (
    format_chunk,
    format_message,
    read_message,
)
from crankchute.platform.wire import (
    DEADLINE_MS,
    LAST_EVENT,
    NOT_RUN,
    ORDER_PATH,
    OWN_INCARNATION,
    REPORT_PATH,
    REQUEST_ID,
    SIGNATURE,
    TARGET_INCARNATION,
)

HEALTH_PATH = '/healthz'
_MS_PER_SECOND = 1000
_STEP_S = 0.02
_MEMORY_TOKENS = 200_000
_IDLE_COPY_S = 0.05


class RequestEnded(Exception):
    """The request was ended early; the text says by what."""


class SimulatedServer:
    """One incarnation of a server.

    Attributes:
      identity: Its id.
      is_leaving: Whether its answers close their connections, a bool.
    """

    def __init__(self, fields, record):
        """Create the server; listen() starts it.

        Args:
          fields: A map with its `id`, `seed`, `slots`, `queue`, `idle_s`,
            and `late_share`, the share of answers sent twice.
          record: A function that stores an event and its details.
        """
        self.identity = fields['id']
        self.is_leaving = False
        self._fields = fields
        self._record = record
        self._random = random.Random(fields['seed'])
        self._writers = set()
        self._running = 0
        self._waiting = 0
        self._runs = 0
        self._silent_until = 0
        self._full_until = 0
        self._crashed = False
        self._listener = None

    async def listen(self):
        """Accept connections."""
        self._listener = await asyncio.start_server(
            self._serve, self._fields['host'], self._fields['port']
        )

    def fall_silent(self, seconds):
        """Neither read nor write for some seconds."""
        until = time.monotonic() + seconds
        self._silent_until = max(self._silent_until, until)

    def fill(self, seconds):
        """Reject all requests for some seconds."""
        self._full_until = time.monotonic() + seconds

    def crash(self):
        """Stop listening and reset all connections."""
        self._crashed = True
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _awake(self):
        while time.monotonic() < self._silent_until:
            await asyncio.sleep(_STEP_S)

    async def _serve(self, reader, writer):
        if self._crashed:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._serve_all(reader, writer)
        except (ConnectionError, ValueError, asyncio.TimeoutError):
            self._record('closed', server=self.identity)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_all(self, reader, writer):
        copy = None
        while True:
            await self._awake()
            message = await asyncio.wait_for(
                read_message(reader), self._fields['idle_s']
            )
            if message is None:
                return
            exchange = Exchange(self, reader, writer, message)
            copy = await exchange.process(copy)
            if exchange.is_last:
                return
            if copy is not None and self._random.random() < 0.1:
                await asyncio.sleep(_IDLE_COPY_S)
                exchange.write_copy(copy, 'idle')
                copy = None


class Exchange:
    """A request and its answer on one connection of a server."""

    def __init__(self, server, reader, writer, message):
        """Create the exchange.

        Args:
          server: The SimulatedServer.
          reader: The StreamReader of the connection.
          writer: Its StreamWriter.
          message: The Message of the request.
        """
        self.is_last = False
        self._server = server
        self._reader = reader
        self._writer = writer
        self._message = message
        self._request_id = message.headers.get(REQUEST_ID, '')
        deadline_ms = float(message.headers.get(DEADLINE_MS, 60_000))
        self._deadline = time.monotonic() + deadline_ms / _MS_PER_SECOND
        self._sent = None

    async def process(self, copy):
        """Answer the request.

        Args:
          copy: The answer before to send once more, a tuple of the request's
            id and bytes, or None.
        Returns:
          The copy of this answer that is to be sent with the next one, or None.
        """
        server = self._server
        path = self._message.target
        if path in (REPORT_PATH, ORDER_PATH, HEALTH_PATH):
            self._reply('200 OK', orjson.dumps(self._report()))
            return copy
        is_early = server._random.random() < 0.7
        if copy is not None and is_early:
            self.write_copy(copy, 'before')
            copy = None
        await self._answer(copy)
        if (
            self._sent
            and server._random.random() < server._fields['late_share']
        ):
            return self._request_id, self._sent
        return None

    def write_copy(self, copy, when):
        """Send an answer once more."""
        copied_id, payload = copy
        status = payload.split(b' ', 2)[1].decode()
        self._record('copy', of=copied_id, when=when, status=status)
        self._writer.write(payload)

    def _record(self, event, **details):
        self._server._record(
            event,
            id=self._request_id,
            server=self._server.identity,
            **details,
        )

    def _report(self):
        server = self._server
        return {
            'stage': 'both',
            'models': [],
            'busy': False,
            'sequence': 0,
            'waiting': server._waiting,
            'running': server._running,
            'kv-used': 0,
            'kv-total': _MEMORY_TOKENS,
            'free': _MEMORY_TOKENS,
            'handles': 0,
        }

    def _reply(self, status, body, *headers):
        server = self._server
        fields = [(OWN_INCARNATION, server.identity), *headers]
        idle_s = int(server._fields['idle_s'])
        if self._request_id:
            fields.append((REQUEST_ID, self._request_id))
        if server.is_leaving or server._random.random() < 0.01:
            self.is_last = True
            fields.append(('connection', 'close'))
        else:
            fields.append(('keep-alive', f'timeout={idle_s}'))
        payload = format_message(f'HTTP/1.1 {status}', fields, body)
        self._writer.write(payload)
        self._sent = None if body is None else payload

    def _reject(self, status):
        self._record('reject', status=status)
        self._reply(status, b'', (NOT_RUN, 'true'))

    async def _answer(self, copy):
        server = self._server
        target = self._message.headers.get(TARGET_INCARNATION)
        if target not in {None, server.identity}:
            self._reject('421 Misdirected Request')
            return
        if not await self._take_slot():
            self._reject('503 Service Unavailable')
            return
        server._running += 1
        server._runs += 1
        self._record('run')
        try:
            await self._run(copy)
        except RequestEnded as exc:
            self._record('end', why=str(exc))
            self.is_last = True
            self._writer.transport.abort()
        finally:
            server._running -= 1

    async def _take_slot(self):
        server = self._server
        slots = server._fields['slots']
        if time.monotonic() < server._full_until:
            return False
        if server._running < slots:
            return True
        if server._waiting >= server._fields['queue']:
            return False
        server._waiting += 1
        try:
            while server._running >= slots:
                if time.monotonic() > self._deadline:
                    return False
                await self._pause(_STEP_S)
        except RequestEnded as exc:
            raise ConnectionError('closed while queued') from exc
        finally:
            server._waiting -= 1
        return True

    async def _pause(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(min(_STEP_S, seconds))
            self._check()
        await self._server._awake()
        self._check()

    def _check(self):
        if self._server._crashed:
            raise RequestEnded('crash')
        if self._reader.at_eof() or self._writer.transport.is_closing():
            raise RequestEnded('peer closed')

    async def _run(self, copy):
        work = orjson.loads(self._message.body)
        signature = (SIGNATURE, f'{self._server.identity}.{self._server._runs}')
        if work['events']:
            await self._stream(work, signature, copy)
            return
        await self._pause(work['ms'] / _MS_PER_SECOND)
        if copy is not None:
            self.write_copy(copy, 'due')
        if time.monotonic() > self._deadline:
            self._reply('504 Gateway Timeout', b'', signature)
        else:
            self._reply('200 OK', self._make_body(), signature)
        await self._writer.drain()
        self._record('end', why='whole')

    def _make_body(self):
        return b'answer to ' + self._request_id.encode() + b'.' * 300

    async def _stream(self, work, signature, copy):
        resumed = int(self._message.headers.get(LAST_EVENT, -1)) + 1
        await self._pause(work['ms'] / _MS_PER_SECOND)
        if copy is not None:
            self.write_copy(copy, 'due')
        self._reply(
            '200 OK', None, signature, ('content-type', 'text/event-stream')
        )
        for number in range(resumed, work['events']):
            event = f'id: {number}\ndata: {work["id"]} {number}\n\n'
            self._writer.write(format_chunk(event.encode()))
            await self._pause(work['gap_ms'] / _MS_PER_SECOND)
            if time.monotonic() > self._deadline:
                raise RequestEnded('deadline')
        self._writer.write(format_chunk(b''))
        await self._writer.drain()
        self._record('end', why='whole')
