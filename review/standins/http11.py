"""A small HTTP/1.1 server and client on asyncio, for stand-ins."""

import asyncio

MAX_HEAD_BYTES = 65_536


class Request:
    """A request that a stand-in received.

    Attributes:
      method: The method, a string.
      target: Path and query, a string.
      headers: A map of lower-case names to strings.
      body: Bytes.
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Response:
    """A response that a client received.

    Attributes:
      status: An int, or None if the connection ended without a whole response.
      headers: A map of lower-case names to strings.
      body: Bytes.
      error: Why there is no whole response, or None.
    """

    def __init__(self, status, headers=None, body=b'', error=None):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


async def read_head(reader):
    """Return the first line and the headers of a message, or None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _colon, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(chunk[:-2])


def render(first, headers, body):
    """Return the bytes of a message with a length."""
    lines = [first, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def serve(host, port, respond):
    """Start a server.

    Args:
      host: The IP address.
      port: The port, 0 for a free one.
      respond: A coroutine function of a Request and the StreamWriter.  It
        returns the bytes of the response, or None if it has written one, or
        False to close the connection.
    Returns:
      The asyncio server.
    """

    async def on_connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _version = head[0].split(' ')
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                answer = await respond(request, writer)
                if answer is False:
                    break
                if answer:
                    writer.write(answer)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=MAX_HEAD_BYTES
    )


async def call(address, method, target, headers, body=b'', timeout_s=10):
    """Send a request on a new connection and return its Response.

    Args:
      address: The pair of IP address and port.
      method: The method, a string.
      target: Path and query, a string.
      headers: Pairs of strings.
      body: Bytes.
      timeout_s: How long to wait for the whole response, in seconds.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, target, headers, body), timeout_s
        )
    except asyncio.TimeoutError:
        return Response(None, error='no whole response in time')
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as exc:
        return Response(None, error=repr(exc))


async def _call(address, method, target, headers, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(render(f'{method} {target} HTTP/1.1', headers, body))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Response(None, error='the connection was closed')
        status = int(head[0].split(' ')[1])
        answer = await read_body(reader, head[1])
        return Response(status, head[1], answer)
    finally:
        writer.close()
