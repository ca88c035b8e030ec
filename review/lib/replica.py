"""A replica of a plain service that runs in the process of a case."""

import asyncio


class Replica:
    """Runs each request at once and answers it whole.

    Attributes:
      identity: Its id.
      address: "IP:port", after start().
      runs: The ids of the requests that it ran, a list.
    """

    def __init__(self, stage, identity):
        """Create the replica.

        Args:
          stage: The Stage, whose record it writes to.
          identity: Its id.
        """
        self._stage = stage
        self.identity = identity
        self.address = None
        self.runs = []

    async def start(self, host):
        """Listen on a free port of a loopback address."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = parse_fields(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
                writer.write(self._answer(head, fields))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    def _answer(self, head, fields):
        target = fields.get('x-crankchute-target-instance', self.identity)
        if target != self.identity:
            return b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'
        request_id = fields.get('x-crankchute-request-id')
        if head.startswith(b'GET /api/') or request_id is None:
            return b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
        self.runs.append(request_id)
        self._stage.record.note(
            'run',
            id=request_id,
            at=self.identity,
            tenant=fields.get('x-crankchute-tenant'),
        )
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Crankchute-Request-Id: {request_id}\r\n'
            f'X-Crankchute-Response-Signature: {self.identity}\r\n'
            'Content-Length: 4\r\n\r\ndone'
        ).encode()


def parse_fields(head):
    """Return the fields of a head, a map of lower-case names.

    Args:
      head: Bytes.
    """
    fields = {}
    for line in head.decode('latin-1').split('\r\n')[1:]:
        name, _colon, text = line.partition(':')
        fields[name.lower()] = text.strip()
    return fields
