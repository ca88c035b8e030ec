"""A request and its answer at a simulated backend server."""

import asyncio
import time

import orjson

from crankchute.platform.standin_http import format_chunk, format_message
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

_HEALTH_PATH = '/healthz'
_MS_PER_SECOND = 1000
_NO_DEADLINE_MS = 60_000
_STEP_S = 0.02
_MEMORY = 200_000
#: How many answers are sent once more to one that is sent right before the next
#: answer, instead of when the next request arrives.
_COPIES_PER_DUE = 4
#: How many answers of a server there are to one that closes its connection.
_ANSWERS_PER_CLOSE = 100


class RequestEnded(Exception):  # noqa: N818  (it is no error)
    """A run ended early; the text tells what ended it."""


class Exchange:
    """A request and its answer on one connection of a server.

    Attributes:
      is_kept: Whether the connection stays open, a bool.
    """

    def __init__(self, server, streams, request):
        """Create the exchange.

        Args:
          server: The SimulatedServer.
          streams: The StreamReader and the StreamWriter of the connection.
          request: The Message.
        """
        self.is_kept = True
        self._server = server
        reader, writer = streams
        self._reader = reader
        self._writer = writer
        self._request = request
        self._request_id = request.headers.get(REQUEST_ID, '')
        deadline_ms = float(request.headers.get(DEADLINE_MS, _NO_DEADLINE_MS))
        self._deadline = time.monotonic() + deadline_ms / _MS_PER_SECOND
        self._due_copy = None
        self._sent = None

    async def process(self, copy):
        """Answer the request.

        Args:
          copy: The bytes of an earlier answer to send once more, or None.
        Returns:
          The bytes of an answer to send once more, or None.
        """
        if self._request.target in {REPORT_PATH, ORDER_PATH, _HEALTH_PATH}:
            self._reply('200 OK', orjson.dumps(self._report()))
            return copy
        if copy is not None and self._server.random.randrange(_COPIES_PER_DUE):
            copy = self.write_copy(copy)
        self._due_copy = copy
        await self._answer()
        draw = self._server.random.random()
        return self._sent if draw < self._server.fields['late_share'] else None

    def write_copy(self, copy):
        """Send the bytes of an earlier answer once more; returns None."""
        status = copy.split(b' ', 2)[1].decode()
        self._record('copy', status=status)
        self._writer.write(copy)

    def _record(self, event, **details):
        identity = self._server.identity
        self._server.record(
            event, id=self._request_id, server=identity, **details
        )

    def _report(self):
        server = self._server
        memory = {'kv-used': 0, 'kv-total': _MEMORY, 'free': _MEMORY}
        return {'waiting': server.waiting, 'running': server.running, **memory}

    def _reply(self, status, body, *headers):
        """Send a head, with a body unless it is None."""
        server = self._server
        fields = [(OWN_INCARNATION, server.identity), *headers]
        if self._request_id:
            fields.append((REQUEST_ID, self._request_id))
        self.is_kept = not server.is_leaving and bool(
            server.random.randrange(_ANSWERS_PER_CLOSE)
        )
        if self.is_kept:
            timeout = f'timeout={server.fields["idle_s"]}'
            fields.append(('keep-alive', timeout))
        else:
            fields.append(('connection', 'close'))
        payload = format_message(f'HTTP/1.1 {status}', fields, body)
        self._writer.write(payload)
        self._sent = None if body is None else payload

    def _reject(self, status):
        self._write_due_copy()
        self._record('reject', status=status)
        self._reply(status, b'', (NOT_RUN, 'true'))

    def _write_due_copy(self):
        if self._due_copy is not None:
            self.write_copy(self._due_copy)

    async def _answer(self):
        server = self._server
        target = self._request.headers.get(TARGET_INCARNATION)
        if target not in {None, server.identity}:
            self._reject('421 Misdirected Request')
            return
        if not await self._take_slot():
            self._reject('503 Service Unavailable')
            return
        server.running += 1
        server.runs += 1
        self._record('run')
        try:
            await self._run()
        except RequestEnded as exc:
            self._record('end', why=str(exc))
            self.is_kept = False
            self._writer.transport.abort()
        else:
            self._record('end', why='whole')
        server.running -= 1

    async def _take_slot(self):
        server = self._server
        if server.is_full:
            return False
        server.waiting += 1
        try:
            await self._wait_for_slot()
        except RequestEnded as exc:
            raise ConnectionError('closed while queued') from exc
        finally:
            server.waiting -= 1
        return server.has_slot

    async def _wait_for_slot(self):
        while not self._server.has_slot and time.monotonic() < self._deadline:
            await self._pause(_STEP_S)

    async def _pause(self, seconds):
        """Work for some seconds.

        Raises:
          RequestEnded: If the server crashed or the connection was closed.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(min(_STEP_S, seconds))
            self._check()
        await self._server.wait_awake()
        self._check()

    def _check(self):
        if self._server.has_crashed:
            raise RequestEnded('crash')
        if self._reader.at_eof() or self._writer.transport.is_closing():
            raise RequestEnded('peer closed')

    async def _run(self):
        work = orjson.loads(self._request.body)
        signature = (SIGNATURE, f'{self._server.identity}.{self._server.runs}')
        await self._pause(work['ms'] / _MS_PER_SECOND)
        self._write_due_copy()
        if work['events']:
            await self._stream(work, signature)
        elif time.monotonic() > self._deadline:
            self._reply('504 Gateway Timeout', b'', signature)
        else:
            body = make_body(self._request_id, work['size'])
            self._reply('200 OK', body, signature)
        await self._writer.drain()

    async def _stream(self, work, signature):
        stream_type = ('content-type', 'text/event-stream')
        self._reply('200 OK', None, signature, stream_type)
        number = int(self._request.headers.get(LAST_EVENT, -1)) + 1
        while number < work['events']:
            event = make_event(self._request_id, number)
            self._writer.write(format_chunk(event))
            await self._pause(work['gap_ms'] / _MS_PER_SECOND)
            if time.monotonic() > self._deadline:
                raise RequestEnded('deadline')
            number += 1
        self._writer.write(format_chunk(b''))


def make_body(request_id, size):
    """Return the body of the answer to a plain request.

    Args:
      request_id: The id of the request.
      size: The number of bytes in addition to the id.
    """
    return request_id.encode() + bytes(size)


def make_event(request_id, number):
    """Return an event of the answer to a stream.

    Args:
      request_id: The id of the request.
      number: The id of the event.
    """
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
