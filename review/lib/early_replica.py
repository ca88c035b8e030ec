"""A replica of a plain service, as a process of its own.

Usage: early_replica.py HOST ID MODE; prints its port, then a line for each
request that it runs.  In mode `early` it answers a long request before it has
read all of it, and that answer has no length and ends with the connection.  It
runs until it is killed.
"""

import asyncio
import sys

_CHUNK = 65_536
#: Requests with more bytes than this are long.
_LONG_BYTES = 500_000
_EARLY_ANSWER_BYTES = 6_000_000
_ANSWER_BYTES = 800


class Replica:
    """Answers requests."""

    def __init__(self, identity, mode):
        """Create the replica.

        Args:
          identity: Its id.
          mode: `early` or `plain`.
        """
        self._identity = identity
        self._mode = mode

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _serve_one(self, reader, writer):
        """Serve one request; return whether the connection is kept."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        fields = _parse_fields(head)
        length = int(fields.get('content-length', 0))
        path = head.split(' ')[1]
        if path == '/healthz' or path.startswith('/api/'):
            status = '200 OK' if path == '/healthz' else '404 Not Found'
            writer.write(
                f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        request_id = fields['x-crankchute-request-id']
        is_long = length > _LONG_BYTES
        is_early = is_long and self._mode == 'early'
        print('early' if is_early else 'run', request_id, flush=True)
        if not is_early:
            await reader.readexactly(length)
        size = _EARLY_ANSWER_BYTES if is_early else _ANSWER_BYTES
        framing = 'Connection: close' if is_early else f'Content-Length: {size}'
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'X-Crankchute-Request-Id: {request_id}\r\n'
                f'X-Crankchute-Response-Signature: {self._identity}\r\n'
                f'{framing}\r\n\r\n'
            ).encode()
        )
        for sent in range(0, size, _CHUNK):
            writer.write(b'x' * min(_CHUNK, size - sent))
            await writer.drain()
        if not is_early:
            return True
        writer.write_eof()
        await reader.readexactly(length)
        await reader.read()
        return False


def _parse_fields(head):
    fields = {}
    for line in head.split('\r\n')[1:]:
        name, _colon, text = line.partition(':')
        fields[name.lower()] = text.strip()
    return fields


async def _main(host, identity, mode):
    replica = Replica(identity, mode)
    server = await asyncio.start_server(replica.serve, host, 0)
    print('port', server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:4]))
