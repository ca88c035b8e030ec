"""Answers of a simulated server to requests that it has not read to their end."""

from crankchute.platform.standin_exchange import make_body
from crankchute.platform.wire import REQUEST_ID, SIGNATURE

#: The header by which a request asks for such an answer, and for its size.
EARLY_ANSWER = 'x-early-answer'
_CHUNK = 65_536
#: How many answers there are to one that is reset at a random place.
_ANSWERS_PER_RESET = 2


async def answer_early(server, streams, request):
    """Send an answer without a length while the request is being written.

    The connection is reset within the answer, or closed behind it once the
    request is read.

    Args:
      server: The SimulatedServer.
      streams: The StreamReader and the StreamWriter of the connection.
      request: The Message, without its body.
    """
    reader, writer = streams
    request_id = request.headers[REQUEST_ID]
    identity = server.identity
    server.record('run', id=request_id, server=identity)
    body = make_body(request_id, int(request.headers[EARLY_ANSWER]))
    size = len(body)
    is_reset = not server.random.randrange(_ANSWERS_PER_RESET)
    if is_reset:
        size = server.random.randrange(size)
    writer.write(
        (
            'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            f'{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: {identity}\r\n\r\n'
        ).encode()
    )
    for start in range(0, size, _CHUNK):
        writer.write(body[start : min(start + _CHUNK, size)])
        await writer.drain()  # noqa: WPS476  (in turn)
    why = 'crash' if is_reset else 'whole'
    server.record('end', id=request_id, server=identity, why=why)
    if is_reset:
        writer.transport.abort()
        return
    writer.write_eof()
    await _discard(reader)


async def _discard(reader):
    rest = True
    while rest:
        rest = await reader.read(_CHUNK)
