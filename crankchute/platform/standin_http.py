"""Reads and writes HTTP/1.1 messages for simulated peers of the platform."""

import asyncio

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_HEX = 16


class Message:
    """A request or response.

    Attributes:
      first_line: The request line or status line, a string.
      headers: A map from the lower-case name to the text.
      body: The body, bytes; of an answer that was cut, what arrived of it.
      is_whole: Whether the body is complete, a bool.
    """

    __slots__ = ('body', 'first_line', 'headers', 'is_whole')

    def __init__(self, head):
        """Parse the head.

        Args:
          head: The bytes of the head.
        Raises:
          ValueError: If a line is not a header.
        """
        lines = head.decode('latin-1').strip().split('\r\n')
        self.first_line = lines.pop(0)
        pairs = [line.split(':', 1) for line in lines]
        self.headers = {name.lower(): text.strip() for name, text in pairs}
        self.body = b''
        self.is_whole = False

    @property
    def target(self):
        """The path and query of a request."""
        return self.first_line.split(' ')[1]

    @property
    def status(self):
        """The status code of a response."""
        return int(self.first_line.split(' ')[1])


async def read_message(reader):
    """Read a message.

    Args:
      reader: A StreamReader.
    Returns:
      A Message, or None if the connection ended before its first byte; its
      body is cut short if the connection ended within it.
    Raises:
      ConnectionError: If the connection ended within the head.
      ValueError: If the bytes are no message.
    """
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


async def read_head(reader):
    """Read the head of a message; see read_message.

    Args:
      reader: A StreamReader.
    Returns:
      A Message without its body, or None.
    """
    try:
        return Message(await reader.readuntil(_HEAD_END))
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('closed within a head') from exc
        return None
    except asyncio.LimitOverrunError as exc:
        raise ValueError('head too long') from exc


async def read_body(reader, message):
    """Read the body of a message; see read_message.

    Args:
      reader: A StreamReader.
      message: The Message.
    """
    try:
        await _read_framed(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False


async def _read_framed(reader, message):
    if message.headers.get('transfer-encoding') == 'chunked':
        await _read_chunks(reader, message)
    else:
        length = int(message.headers.get('content-length', 0))
        message.body = await reader.readexactly(length)
    message.is_whole = True


async def _read_chunks(reader, message):
    length = await _read_chunk_size(reader)
    while length:
        message.body += await reader.readexactly(length)
        await reader.readexactly(len(_LINE_END))
        length = await _read_chunk_size(reader)
    await reader.readexactly(len(_LINE_END))


async def _read_chunk_size(reader):
    line = await reader.readuntil(_LINE_END)
    return int(line.split(b';')[0], _HEX)


def format_message(first_line, headers, body=None):
    """Return the bytes of a message.

    Args:
      first_line: The request line or status line.
      headers: Pairs of name and text.
      body: Bytes, or None if chunks follow.
    """
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    if body is None:
        lines.append('transfer-encoding: chunked')
    else:
        lines.append(f'content-length: {len(body)}')
    head = '\r\n'.join(lines).encode('latin-1')
    return head + _HEAD_END + (body or b'')


def format_chunk(payload):
    """Return the bytes of a chunk; that of an empty payload is the last."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)
