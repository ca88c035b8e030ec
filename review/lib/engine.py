"""A model replica that runs in the process of a case.

Its answers are streams.  A request that names helpers is read in parts: the
replica asks each helper to read one, over a message of the replicas' own.
"""

import asyncio
import json

from replica import parse_fields

_EVENTS = 8
_PAUSE_S = 0.02


class Engine:
    """A model replica.

    Attributes:
      identity: Its id.
      service: The name of its service.
      address: "IP:port", after start().
      runs: The ids of the requests that it received and ran, a list.
      parts: The ids of the requests of which it read a part, a list.
      tickets: A map from ticket to tokens.
    """

    def __init__(self, stage, identity, service):
        """Create the replica.

        Args:
          stage: The Stage, whose record it writes to.
          identity: Its id.
          service: The name of its service.
        """
        self._stage = stage
        self._server = None
        self._writers = set()
        self.identity = identity
        self.service = service
        self.address = None
        self.runs = []
        self.parts = []
        self.tickets = {}

    async def start(self, host, port=0):
        """Listen on a loopback address, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def crash(self):
        """Close all connections and the listening socket."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = parse_fields(head)
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length)
                await self._answer(writer, head, fields, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, writer, head, fields, body):
        target = fields.get('x-crankchute-target-instance', self.identity)
        path = head.split(b' ')[1].decode()
        request_id = fields.get('x-crankchute-request-id')
        if target != self.identity:
            _reply(writer, 421, {}, request_id)
        elif path == '/api/report':
            _reply(writer, 200, self._report())
        elif path == '/api/order':
            self._take_order(writer, json.loads(body))
        elif path == '/part':
            self._read_part(writer, request_id, fields.get('ticket'))
        elif request_id is None:
            _reply(writer, 404, {})
        else:
            await self._run(writer, request_id, fields.get('helpers', ''))

    def _report(self):
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'waiting': 0,
            'running': 0,
            'kv-used': 0,
            'kv-total': 160_000,
            'handles': 0,
        }

    def _take_order(self, writer, order):
        self._stage.record.note(
            'order',
            at=self.identity,
            service=self.service,
            op=order['op'],
            ticket=order['id'],
        )
        if order['op'] == 'reserve':
            self.tickets[order['id']] = order['token-count']
        else:
            self.tickets.pop(order['id'], None)
        _reply(writer, 200, {'free': 0})

    def _read_part(self, writer, request_id, ticket):
        """Read a part of the prompt of another replica's request."""
        if ticket and ticket not in self.tickets:
            _reply(writer, 503, {})
            return
        self.parts.append(request_id)
        self._stage.record.note(
            'part',
            id=request_id,
            at=self.identity,
            service=self.service,
            ticket=ticket,
        )
        _reply(writer, 200, {})

    async def _run(self, writer, request_id, helpers):
        for helper in filter(None, helpers.split(',')):
            address, _slash, ticket = helper.partition('/')
            if not await self._ask_helper(address, ticket, request_id):
                _reply(writer, 503, {}, request_id, [f'At-Server: {address}'])
                return
        self.runs.append(request_id)
        self._stage.record.note(
            'run',
            id=request_id,
            at=self.identity,
            service=self.service,
            helpers=helpers,
        )
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'X-Crankchute-Request-Id: {request_id}\r\n'
                f'X-Crankchute-Response-Signature: {self.identity}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        for number in range(_EVENTS):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_PAUSE_S)
        writer.write(b'0\r\n\r\n')

    async def _ask_helper(self, address, ticket, request_id):
        host, _colon, port = address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(
            (
                'POST /part HTTP/1.1\r\nHost: x\r\n'
                f'X-Crankchute-Request-Id: {request_id}\r\n'
                f'Ticket: {ticket}\r\nContent-Length: 0\r\n\r\n'
            ).encode()
        )
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line


def _reply(writer, status, document, request_id=None, headers=()):
    body = json.dumps(document).encode()
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}', *headers]
    if request_id is not None:
        lines.append(f'X-Crankchute-Request-Id: {request_id}')
    if status == 503:
        lines.append('X-Crankchute-Not-Executed: 1')
    writer.write('\r\n'.join([*lines, '\r\n']).encode() + body)
